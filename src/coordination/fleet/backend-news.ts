/**
 * What all daemons should know of backend servers at once: which ended under which requests,
 * and which state limits. It goes in messages of its own, so that a fleet in which nothing of
 * the kind happens sends nothing more.
 */
import {
	type FleetMessage, FleetMessageKind, type LimitList, type Sender, type SuspectList,
} from '../../protocol/fleet-messages.js';
import {type Quarantine} from '../quarantine/quarantine.js';
import {type StatedLimits} from '../stated-limits.js';

/** Suspected requests or limits in one datagram: a hundred bytes each at most. */
const itemsPerMessage = 10;

/** The parts that the news come from and go to. */
export type BackendNewsParts = {quarantine: Quarantine; statedLimits: StatedLimits};

/** Tells and hears news of backend servers. */
export class BackendNews {
	constructor(private readonly parts: BackendNewsParts) {}

	/** Messages with what changed of late, and with `withAll` also with all that is in force, for daemons that have just started. */
	messages(sender: Sender, withAll: boolean, nowMs: number): Array<SuspectList | LimitList> {
		const {quarantine, statedLimits} = this.parts;
		const suspects = quarantine.isEmpty ? [] : quarantine.news(withAll, nowMs);
		const limits = statedLimits.isEmpty ? [] : statedLimits.news(withAll, nowMs);
		return [
			...chunk(suspects).map(part => ({kind: FleetMessageKind.Suspects as const, sender, suspects: part})),
			...chunk(limits).map(part => ({kind: FleetMessageKind.Limits as const, sender, limits: part})),
		];
	}

	/** Takes a message of another daemon, to be passed on by one that `passesOn`; false when it is of another kind. */
	hear(message: FleetMessage, passesOn: boolean, nowMs: number): message is SuspectList | LimitList {
		if (message.kind === FleetMessageKind.Suspects) {
			this.parts.quarantine.hear(message.suspects, passesOn, nowMs);
			return true;
		}

		if (message.kind === FleetMessageKind.Limits) {
			this.parts.statedLimits.hear(message.limits, passesOn, nowMs);
			return true;
		}

		return false;
	}
}

/** Cuts a list into parts that fit a datagram. */
function chunk<T>(items: T[]): T[][] {
	return Array.from({length: Math.ceil(items.length / itemsPerMessage)}, (_, index) => items.slice(index * itemsPerMessage, (index + 1) * itemsPerMessage));
}
