/**
 * Keeps the slots that this daemon uses at backend servers, and asks their coordinators for
 * further ones before it sends a request to a backend server that fails under overload. A
 * request that it gave up still counts for a while, since the backend server may be working on
 * it, or may not have read it yet.
 */
import {type SlotClaim, type SlotDecision} from '../../protocol/fleet-messages.js';
import {type Backend} from '../../protocol/serving.js';
import {backendKey} from '../fleet/backend-key.js';
import {type OverloadTolerances} from '../overload-tolerances.js';
import {RunningMean} from '../running-mean.js';

/** How long a coordinator's decision is waited for, in milliseconds: dozens of round trips between failure domains. */
export const decisionTimeoutMs = 100;
/** Time for which a backend server is passed over whose coordinator did not decide, in milliseconds. */
const unansweredPauseMs = 500;
/** Time for which a backend server is passed over while as many slots are asked for as it has, in milliseconds: some round trips between failure domains. */
const busyPauseMs = 20;
/** Longest time for which a request counts that was given up, in milliseconds: until the backend server has noticed that its connection closed. It is shorter where requests usually end sooner. */
const maxLingerMs = 500;
/** The same for a request that was given up long after it should have been answered: the backend server may be silent for a second or so, and has not read it yet. */
const silentLingerMs = 1500;
/** Multiple of the usual time of a run within which nearly all end. */
const usualTimeFactor = 2;
/** Shortest time without an answer after which a backend server may be silent, in milliseconds. */
const minSilenceMs = 200;
/** Time for which the use of a backend server is reported after its last change, in milliseconds: four rounds, since messages may be lost. */
const reportAfterChangeMs = 1000;
/** Age up to which a reported load is passed on, in milliseconds. */
const loadMaxAgeMs = 50;
/** Longest time for which a request counts whose deadline is not known, in milliseconds. */
const maxLeaseMs = 60_000;

/** How the use of a slot ended. */
export enum SlotEnd {
	/** No connection opened, or the answer was complete. */
	Free = 'free',
	/** The backend server refused the request. */
	Refused = 'refused',
	/** The answer broke off, or the daemon gave it up after it had begun. */
	Broken = 'broken',
	/** The daemon gave it up before there was an answer. */
	Unanswered = 'unanswered',
}

/** A claim without its sender. */
export type OwnSlotClaim = Omit<SlotClaim, 'kind' | 'sender'>;

/** A decision that is waited for. */
type PendingRequest = {askedAtMs: number; deadlineAtMs: number; onDecision: (lease: SlotLease | undefined) => void};

/** What this daemon uses at one backend server. */
type BackendUse = {
	backend: number;
	service: string;
	slots: number;
	active: Set<SlotLease>;
	/** Until when each request counts that was given up. */
	lingering: number[];
	pending: Map<number, PendingRequest>;
	refusals: number;
	/** The load that the backend server last reported, until it is passed on. */
	load: {count: number; atMs: number} | undefined;
	/** Until when no slot is asked for, since there was none. */
	pausedUntilMs: number;
	changedAtMs: number;
};

/** The use of one slot, from before the request is sent until it has ended. */
export class SlotLease {
	private hasEnded = false;

	constructor(readonly beganAtMs: number, readonly deadlineAtMs: number, private readonly onEnd: (end: SlotEnd, nowMs: number) => void) {}

	/** Records the end of the request; later calls do nothing. */
	end(end: SlotEnd, nowMs: number): void {
		if (!this.hasEnded) {
			this.hasEnded = true;
			this.onEnd(end, nowMs);
		}
	}
}

/** The slots that this daemon uses. */
export class SlotLeases {
	private readonly uses = new Map<string, BackendUse>();
	/** The ids of the backend servers in use, by their numeric keys. */
	private readonly idByKey = new Map<number, string>();
	/** The usual time of a run in milliseconds, by service. */
	private readonly runTimes = new Map<string, RunningMean>();
	private nextRequest = 1;
	private nextSequence = 1;

	/**
	 * @param send Sends a claim to the coordinator of its backend server.
	 * @param random Returns a uniform random number from 0 to 1.
	 */
	constructor(
		private readonly tolerances: Pick<OverloadTolerances, 'tolerance' | 'isBinding'>,
		private readonly send: (claim: OwnSlotClaim, nowMs: number) => void,
		private readonly random: () => number,
	) {}

	/** Whether a slot of a backend server may be asked for now. */
	hasRoom(backendId: string, nowMs: number): boolean {
		return nowMs >= (this.uses.get(backendId)?.pausedUntilMs ?? Number.NEGATIVE_INFINITY) || !this.tolerances.isBinding(backendId, nowMs);
	}

	/** Returns the time until a slot of one of these backend servers may be asked for, in milliseconds; undefined when none of them lacks slots. */
	retryAfterMs(backendIds: string[], nowMs: number): number | undefined {
		const waits = backendIds.filter(id => !this.hasRoom(id, nowMs)).map(id => this.uses.get(id)!.pausedUntilMs - nowMs);
		return waits.length > 0 ? Math.min(...waits) : undefined;
	}

	/**
	 * Asks for a slot; the decision may be made before this returns. A backend server that doesn't
	 * fail under overload always has one.
	 *
	 * @param remainingMs Time after which the backend server stops work on the request.
	 */
	request({id, service, slots}: Pick<Backend, 'id' | 'service' | 'slots'>, remainingMs: number, nowMs: number, onDecision: PendingRequest['onDecision']): void {
		const use = this.useOf({id, service, slots});
		const deadlineAtMs = nowMs + Math.min(remainingMs, maxLeaseMs);
		if (!this.tolerances.isBinding(id, nowMs)) {
			onDecision(this.begin(id, use, deadlineAtMs, nowMs));
			return;
		}

		// More than all of its slots are not asked for at a time.
		if (use.pending.size >= slots) {
			use.pausedUntilMs = Math.max(use.pausedUntilMs, nowMs + busyPauseMs);
		}

		if (nowMs < use.pausedUntilMs) {
			onDecision(undefined);
			return;
		}

		use.pending.set(this.nextRequest++, {askedAtMs: nowMs, deadlineAtMs, onDecision});
		this.sendClaim(id, use, nowMs);
	}

	/** Applies the decision of a coordinator. */
	applyDecision(decision: Pick<SlotDecision, 'backend' | 'granted' | 'denied' | 'retryAfterMs'>, nowMs: number): void {
		const id = this.idByKey.get(decision.backend);
		const use = id === undefined ? undefined : this.uses.get(id);
		if (id === undefined || !use) {
			return;
		}

		if (decision.denied.length > 0) {
			use.pausedUntilMs = nowMs + (decision.retryAfterMs * (0.5 + this.random()));
		}

		for (const request of decision.granted) {
			const pending = use.pending.get(request);
			use.pending.delete(request);
			pending?.onDecision(this.begin(id, use, pending.deadlineAtMs, nowMs));
		}

		for (const request of decision.denied) {
			const pending = use.pending.get(request);
			use.pending.delete(request);
			pending?.onDecision(undefined);
		}
	}

	/** Gives up the requests for slots that were not decided on in time. */
	expire(nowMs: number): void {
		for (const [id, use] of this.uses) {
			const expired = [...use.pending].filter(([, {askedAtMs}]) => nowMs - askedAtMs >= decisionTimeoutMs);
			for (const [request, {onDecision}] of expired) {
				use.pending.delete(request);
				use.pausedUntilMs = nowMs + unansweredPauseMs;
				onDecision(undefined);
			}

			if (expired.length > 0) {
				this.sendClaim(id, use, nowMs);
			}
		}
	}

	/** Creates the claims of a round: for the backend servers that fail under overload and that are in use, or were a moment ago. */
	createRoundClaims(nowMs: number): OwnSlotClaim[] {
		const claims: OwnSlotClaim[] = [];
		for (const [id, use] of this.uses) {
			use.lingering = use.lingering.filter(untilMs => untilMs > nowMs);
			const isUsed = use.active.size + use.lingering.length + use.pending.size > 0;
			if (this.tolerances.tolerance(id, nowMs) !== undefined && (isUsed || nowMs - use.changedAtMs <= reportAfterChangeMs)) {
				claims.push(this.createClaim(use, nowMs));
			} else if (!isUsed) {
				this.uses.delete(id);
				this.idByKey.delete(use.backend);
			}
		}

		return claims;
	}

	/** Records the load that a backend server reported. */
	noteLoad(backendId: string, count: number, nowMs: number): void {
		const use = this.uses.get(backendId);
		if (use) {
			use.load = {count, atMs: nowMs};
		}
	}

	/** Returns a plain copy for state dumps. */
	toJson(nowMs: number): unknown {
		return [...this.uses].filter(([id]) => this.tolerances.tolerance(id, nowMs) !== undefined).map(([backend, {active, lingering, pending, pausedUntilMs}]) => ({
			backend, active: active.size, lingering: lingering.length, pending: pending.size, pausedForMs: Math.max(0, Math.round(pausedUntilMs - nowMs)),
		}));
	}

	private begin(id: string, use: BackendUse, deadlineAtMs: number, beganAtMs: number): SlotLease {
		const lease = new SlotLease(beganAtMs, deadlineAtMs, (end, nowMs) => {
			this.end(id, use, {lease, end}, nowMs);
		});
		use.active.add(lease);
		return lease;
	}

	private end(id: string, use: BackendUse, {lease, end}: {lease: SlotLease; end: SlotEnd}, nowMs: number): void {
		use.active.delete(lease);
		use.changedAtMs = nowMs;
		if (end === SlotEnd.Free) {
			this.noteRunTime(use.service, nowMs - lease.beganAtMs);
		} else if (end === SlotEnd.Refused) {
			use.refusals++;
		} else {
			use.lingering.push(Math.max(nowMs, Math.min(nowMs + this.lingerMs(use.service, end, nowMs - lease.beganAtMs), lease.deadlineAtMs)));
		}

		if (this.tolerances.isBinding(id, nowMs)) {
			this.sendClaim(id, use, nowMs);
		}
	}

	/** Returns how long a request may still occupy its backend server that was given up after a time. */
	private lingerMs(service: string, end: SlotEnd, waitedMs: number): number {
		const usualMs = (this.runTimes.get(service)?.value ?? maxLingerMs) * usualTimeFactor;
		return end === SlotEnd.Unanswered && waitedMs > Math.max(minSilenceMs, usualMs) ? silentLingerMs : Math.min(maxLingerMs, usualMs);
	}

	private noteRunTime(service: string, runMs: number): void {
		const mean = this.runTimes.get(service) ?? new RunningMean();
		mean.add(runMs);
		this.runTimes.set(service, mean);
	}

	private sendClaim(id: string, use: BackendUse, nowMs: number): void {
		this.keep(id, use);

		this.send(this.createClaim(use, nowMs), nowMs);
	}

	/** Keeps the use of a backend server, also one that was dropped while it seemed unused. */
	private keep(id: string, use: BackendUse): void {
		this.uses.set(id, use);
		this.idByKey.set(use.backend, id);
	}

	private createClaim(use: BackendUse, nowMs: number): OwnSlotClaim {
		const {backend, slots, pending, refusals} = use;
		const load = use.load && nowMs - use.load.atMs <= loadMaxAgeMs ? use.load.count : undefined;
		use.lingering = use.lingering.filter(untilMs => untilMs > nowMs);
		// A backend server stops work at the deadline.
		use.active = new Set([...use.active].filter(({deadlineAtMs}) => deadlineAtMs > nowMs));
		use.load = undefined;
		const ends = [...use.active, ...pending.values()].map(({deadlineAtMs}) => deadlineAtMs);
		return {
			backend, slots, sequence: this.nextSequence++, running: use.active.size, lingeringMs: use.lingering.map(untilMs => Math.ceil(untilMs - nowMs)), untilMs: Math.max(0, Math.ceil(Math.max(nowMs, ...ends) - nowMs)), pending: [...pending.keys()], refusals, load,
		};
	}

	private useOf({id, service, slots}: Pick<Backend, 'id' | 'service' | 'slots'>): BackendUse {
		let use = this.uses.get(id);
		if (!use) {
			use = {
				backend: backendKey(id), service, slots, active: new Set(), lingering: [], pending: new Map(), refusals: 0, load: undefined, pausedUntilMs: Number.NEGATIVE_INFINITY, changedAtMs: Number.NEGATIVE_INFINITY,
			};
			this.keep(id, use);
		}

		use.slots = slots;
		return use;
	}
}
