/**
 * Sends and receives updates on backend servers that must reach all daemons quickly: which
 * backend servers ended while they ran which requests, which ones state limits, their pace or
 * that they fail under overload, and which versions are being rolled out. The updates are separate messages, so that a fleet without
 * such events has no extra traffic.
 */
import {
	type FleetMessage, FleetMessageKind, type LimitList, type PaceList, type RolloutList, type Sender, type SuspectList, type SuspectUpdate, type ToleranceList,
} from '../../protocol/fleet-messages.js';
import {type OverloadTolerances} from '../overload-tolerances.js';
import {type SharedPaces} from '../paces/shared-paces.js';
import {type Quarantine} from '../quarantine/quarantine.js';
import {type Rollouts} from '../rollout/rollouts.js';
import {type StatedLimits} from '../stated-limits.js';

/** Largest number of suspected requests, limits or roll-outs in one datagram; each takes up to a hundred bytes. */
const itemsPerMessage = 10;
/** Largest number of paces in one datagram; each takes up to 20 bytes. */
const pacesPerMessage = 50;

/** The sources and receivers of the updates. */
export type BackendUpdateParts = {quarantine: Quarantine; statedLimits: StatedLimits; tolerances: OverloadTolerances; paces: SharedPaces; rollouts: Rollouts};

/** What the messages of a round list beside the latest changes. */
export type RoundContent = {
	/** Whether they list everything in force, except paces. */
	includesAll: boolean;
	/** Whether they list all paces. */
	includesAllPaces: boolean;
};

/** The messages that carry the updates. */
export type BackendUpdateMessage = SuspectList | LimitList | ToleranceList | PaceList | RolloutList;

/** Creates and processes updates on backend servers. */
export class BackendUpdates {
	constructor(private readonly parts: BackendUpdateParts) {}

	/** Creates the messages of a round, with the latest changes and what else the content names. */
	createRoundMessages(sender: Sender, content: RoundContent, nowMs: number): BackendUpdateMessage[] {
		const {quarantine} = this.parts;
		return this.createMessages(sender, quarantine.isEmpty ? [] : quarantine.takeRoundUpdates(content.includesAll, nowMs), content, nowMs);
	}

	/** Creates messages with everything in force, for a daemon that has just started. */
	createFullMessages(sender: Sender, nowMs: number): BackendUpdateMessage[] {
		const {quarantine} = this.parts;
		return this.createMessages(sender, quarantine.isEmpty ? [] : quarantine.recentUpdates(true, nowMs), {includesAll: true, includesAllPaces: true}, nowMs);
	}

	/** Processes a message of another daemon, whose updates are forwarded with `shouldForward`; returns false if the message is of another kind. */
	receive(message: FleetMessage, shouldForward: boolean, nowMs: number): message is BackendUpdateMessage {
		if (message.kind === FleetMessageKind.Suspects) {
			this.parts.quarantine.applyUpdates(message.suspects, shouldForward, nowMs);
			return true;
		}

		if (message.kind === FleetMessageKind.Limits) {
			this.parts.statedLimits.applyUpdates(message.limits, shouldForward, nowMs);
			return true;
		}

		if (message.kind === FleetMessageKind.Tolerances) {
			this.parts.tolerances.applyUpdates(message.tolerances, shouldForward, nowMs);
			return true;
		}

		if (message.kind === FleetMessageKind.Paces) {
			this.parts.paces.applyUpdates(message.paces, shouldForward, nowMs);
			return true;
		}

		if (message.kind === FleetMessageKind.Rollouts) {
			// A roll-out that is under way is sent by every daemon in each round, so it needs no forwarding.
			this.parts.rollouts.applyUpdates(message.rollouts, nowMs);
			return true;
		}

		return false;
	}

	private createMessages(sender: Sender, suspects: SuspectUpdate[], {includesAll, includesAllPaces}: RoundContent, nowMs: number): BackendUpdateMessage[] {
		const {statedLimits, tolerances, paces, rollouts} = this.parts;
		const limits = statedLimits.isEmpty ? [] : statedLimits.updates(includesAll, nowMs);
		return [
			...chunk(suspects).map(part => ({kind: FleetMessageKind.Suspects as const, sender, suspects: part})),
			...chunk(limits).map(part => ({kind: FleetMessageKind.Limits as const, sender, limits: part})),
			...chunk(tolerances.isEmpty ? [] : tolerances.updates(includesAll, nowMs)).map(part => ({kind: FleetMessageKind.Tolerances as const, sender, tolerances: part})),
			...chunk(paces.isEmpty ? [] : paces.updates(includesAllPaces, nowMs), pacesPerMessage).map(part => ({kind: FleetMessageKind.Paces as const, sender, paces: part})),
			...chunk(rollouts.isEmpty ? [] : rollouts.updates(includesAll, nowMs)).map(part => ({kind: FleetMessageKind.Rollouts as const, sender, rollouts: part})),
		];
	}
}

/** Splits a list into parts that fit into a datagram each. */
function chunk<T>(items: T[], size = itemsPerMessage): T[][] {
	return Array.from({length: Math.ceil(items.length / size)}, (_, index) => items.slice(index * size, (index + 1) * size));
}
