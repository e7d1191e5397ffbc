/**
 * One roll-out: the operator's order to move a service's traffic to a new version, and how far
 * the order has been carried out. Only the duty holder changes the phase; it commits each
 * change to the store before any daemon acts on it.
 */
import {type RolloutUpdate} from '../../protocol/fleet-messages.js';

/** The phases of a roll-out. */
export enum RolloutPhase {
	/** A small share of the requests tests the new version; the rest stays on the current one. */
	Canary = 'canary',
	/** All new requests go to the new version; streams leave the current one. */
	Shift = 'shift',
	Completed = 'completed',
	RolledBack = 'rolled-back',
}

/** Phases in the order in which they replace each other. An order that was rolled back stays so, whichever phase a late message states. */
const phaseOrder = [RolloutPhase.Canary, RolloutPhase.Shift, RolloutPhase.Completed, RolloutPhase.RolledBack];

/** A roll-out in one of its phases. */
export type Rollout = {
	service: string;
	/** Identifies the order: the offset of its record in the store. Later orders have higher ids. */
	orderId: number;
	/** The version that is to serve all traffic. */
	version: string;
	/** The versions that served when the order arrived. */
	currentVersions: string[];
	/** The versions of earlier orders that were not completed; they must not serve. */
	rejectedVersions?: string[];
	phase: RolloutPhase;
	/** When the order arrived. */
	startedAtMs: number;
	/** Time from then until the order is due. */
	durationMs: number;
};

/** Whether a phase is the last one of its roll-out. */
export function isFinalPhase(phase: RolloutPhase): boolean {
	return phase === RolloutPhase.Completed || phase === RolloutPhase.RolledBack;
}

/** Whether a roll-out replaces what is known of its service: it is a later order, or a later phase of the same one. */
export function supersedes(rollout: Rollout, known: Rollout | undefined): boolean {
	if (known?.orderId !== rollout.orderId) {
		return known === undefined || rollout.orderId > known.orderId;
	}

	return phaseOrder.indexOf(rollout.phase) > phaseOrder.indexOf(known.phase);
}

/** Encodes a roll-out for other daemons and for the store, with its age instead of times of this daemon's clock. */
export function toUpdate({startedAtMs, ...rest}: Rollout, nowMs: number): RolloutUpdate {
	return {...rest, ageMs: Math.round(nowMs - startedAtMs)};
}

/** Decodes an update that was created `delayMs` ago; undefined if its phase is unknown. */
export function fromUpdate({ageMs, phase, ...rest}: RolloutUpdate, delayMs: number, nowMs: number): Rollout | undefined {
	const known = phaseOrder.find(candidate => String(candidate) === phase);
	return known && {...rest, phase: known, startedAtMs: nowMs - ageMs - delayMs};
}
