/**
 * Sends and receives updates on backend servers that must reach all daemons quickly: which
 * backend servers ended while they ran which requests, and which ones state limits. The updates
 * are separate messages, so that a fleet without such events has no extra traffic.
 */
import {
	type FleetMessage, FleetMessageKind, type LimitList, type Sender, type SuspectList,
} from '../../protocol/fleet-messages.js';
import {type Quarantine} from '../quarantine/quarantine.js';
import {type StatedLimits} from '../stated-limits.js';

/** Largest number of suspected requests or limits in one datagram; each takes up to a hundred bytes. */
const itemsPerMessage = 10;

/** The sources and receivers of the updates. */
export type BackendUpdateParts = {quarantine: Quarantine; statedLimits: StatedLimits};

/** Creates and processes updates on backend servers. */
export class BackendUpdates {
	constructor(private readonly parts: BackendUpdateParts) {}

	/** Creates messages with the latest changes, and with `includesAll` also with everything in force, for daemons that have just started. */
	createMessages(sender: Sender, includesAll: boolean, nowMs: number): Array<SuspectList | LimitList> {
		const {quarantine, statedLimits} = this.parts;
		const suspects = quarantine.isEmpty ? [] : quarantine.recentUpdates(includesAll, nowMs);
		const limits = statedLimits.isEmpty ? [] : statedLimits.updates(includesAll, nowMs);
		return [
			...chunk(suspects).map(part => ({kind: FleetMessageKind.Suspects as const, sender, suspects: part})),
			...chunk(limits).map(part => ({kind: FleetMessageKind.Limits as const, sender, limits: part})),
		];
	}

	/** Processes a message of another daemon, whose updates are forwarded with `shouldForward`; returns false if the message is of another kind. */
	receive(message: FleetMessage, shouldForward: boolean, nowMs: number): message is SuspectList | LimitList {
		if (message.kind === FleetMessageKind.Suspects) {
			this.parts.quarantine.applyUpdates(message.suspects, shouldForward, nowMs);
			return true;
		}

		if (message.kind === FleetMessageKind.Limits) {
			this.parts.statedLimits.applyUpdates(message.limits, shouldForward, nowMs);
			return true;
		}

		return false;
	}
}

/** Splits a list into parts that fit into a datagram each. */
function chunk<T>(items: T[]): T[][] {
	return Array.from({length: Math.ceil(items.length / itemsPerMessage)}, (_, index) => items.slice(index * itemsPerMessage, (index + 1) * itemsPerMessage));
}
