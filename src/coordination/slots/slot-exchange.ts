/**
 * Exchanges claims for slots, and decisions on them, with other daemons. All daemons agree by
 * rendezvous hashing on the coordinator of a backend server, and on a standby that receives the
 * claims of each round as well. Nothing is sent while no backend server fails under overload.
 */
import {
	type FleetMessage, FleetMessageKind, type Sender, type SlotClaim, type SlotDecision,
} from '../../protocol/fleet-messages.js';
import {type Backend} from '../../protocol/serving.js';
import {type SteadyClock} from '../../clock.js';
import {type MessageSender} from '../../transport/datagram-link.js';
import {CoordinatorRanking} from '../fleet/coordinator-ranking.js';
import {type FleetTable} from '../fleet/fleet-table.js';
import {type OverloadTolerances} from '../overload-tolerances.js';
import {SlotLedger} from './slot-ledger.js';
import {
	decisionTimeoutMs, type OwnSlotClaim, type SlotLease, SlotLeases,
} from './slot-leases.js';

/** Coordinators that receive the claims of a round: the one that leases, and its standby. */
const informedCoordinators = 2;

/** Timers may fire up to this many milliseconds early. */
const timerToleranceMs = 5;

/** What a {@link SlotExchange} depends on. */
export type SlotExchangeDependencies = {
	tolerances: OverloadTolerances;
	fleet: FleetTable;
	clock: SteadyClock;
	/** This daemon's name. */
	name: string;
	/** Describes this daemon as the sender of a message. */
	createSender: (nowMs: number) => Sender;
	/** Returns a uniform random number from 0 to 1. */
	random: () => number;
};

/** Leases slots from and to other daemons. */
export class SlotExchange {
	readonly leases: SlotLeases;
	private readonly ledger = new SlotLedger();
	private link: MessageSender | undefined;
	private readonly ranking: CoordinatorRanking;

	constructor(private readonly dependencies: SlotExchangeDependencies) {
		this.ranking = new CoordinatorRanking(dependencies.fleet, dependencies.name);
		this.leases = new SlotLeases(dependencies.tolerances, (claim, nowMs) => {
			this.sendClaim(claim, 1, nowMs);
		}, dependencies.random);
	}

	/** Starts to send messages through a link. */
	open(link: MessageSender): void {
		this.link = link;
	}

	/** Acquires a slot of a backend server, at once if it needs no decision of another daemon; undefined if there is none now. */
	acquire(backend: Backend, remainingMs: number): SlotLease | undefined | Promise<SlotLease | undefined> {
		const {clock} = this.dependencies;
		let decided: {lease: SlotLease | undefined} | undefined;
		let resolveLate: ((lease: SlotLease | undefined) => void) | undefined;
		this.leases.request(backend, remainingMs, clock.now(), lease => {
			decided = {lease};
			resolveLate?.(lease);
		});
		if (decided) {
			return decided.lease;
		}

		return this.waitForDecision(resolve => {
			resolveLate = resolve;
		});
	}

	/** Sends the claims of a round to the coordinators and their standbys. */
	sendRound(nowMs: number): void {
		this.leases.expire(nowMs);
		this.ranking.prune(nowMs);
		this.ledger.update(this.dependencies.tolerances.stated(nowMs).filter(backend => this.ranking.isCoordinator(backend, nowMs)), nowMs);
		for (const claim of this.leases.createRoundClaims(nowMs)) {
			this.sendClaim(claim, informedCoordinators, nowMs);
		}
	}

	/** Processes a message of another daemon; returns false if it is of another kind. */
	receive(message: FleetMessage, nowMs: number): message is SlotClaim | SlotDecision {
		const {fleet, createSender} = this.dependencies;
		if (message.kind === FleetMessageKind.SlotClaim) {
			const decision = this.decide(message, nowMs);
			if (message.pending.length > 0) {
				this.link?.send({
					kind: FleetMessageKind.SlotDecision, sender: createSender(nowMs), backend: message.backend, ...decision,
				}, [message.sender.address]);
			}

			return true;
		}

		if (message.kind === FleetMessageKind.SlotDecision) {
			fleet.noteAnswered(message.sender);
			this.leases.applyDecision(message, nowMs);
			return true;
		}

		return false;
	}

	/** Returns a plain copy for state dumps. */
	toJson(nowMs: number): unknown {
		return {own: this.leases.toJson(nowMs), ledger: this.ledger.toJson(nowMs)};
	}

	private async waitForDecision(listen: (resolve: (lease: SlotLease | undefined) => void) => void): Promise<SlotLease | undefined> {
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				this.leases.expire(this.dependencies.clock.now());
			}, decisionTimeoutMs + timerToleranceMs);
			listen(lease => {
				clearTimeout(timer);
				resolve(lease);
			});
		});
	}

	private sendClaim(own: OwnSlotClaim, receivers: number, nowMs: number): void {
		const {name, fleet, createSender} = this.dependencies;
		const claim: SlotClaim = {kind: FleetMessageKind.SlotClaim, sender: createSender(nowMs), ...own};
		for (const [rank, coordinator] of this.ranking.coordinators(own.backend, nowMs).slice(0, receivers).entries()) {
			if (coordinator.name === name) {
				const decision = this.decide(claim, nowMs);
				if (rank === 0) {
					this.leases.applyDecision({backend: own.backend, ...decision}, nowMs);
				}

				continue;
			}

			// The standby denies what it is asked for, so it is not asked.
			this.link?.send(rank === 0 ? claim : {...claim, pending: []}, [coordinator.address]);
			if (rank === 0 && own.pending.length > 0) {
				fleet.noteAskedByName(coordinator.name, nowMs);
			}
		}
	}

	private decide(claim: SlotClaim, nowMs: number): ReturnType<SlotLedger['receive']> {
		return this.ledger.receive(claim, this.ranking.isCoordinator(claim.backend, nowMs), nowMs);
	}
}
