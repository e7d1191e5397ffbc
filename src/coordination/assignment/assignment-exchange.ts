/**
 * Asks the coordinators of groups for backend servers on behalf of this daemon's requests, and
 * answers other daemons for the groups that this daemon coordinates. Without a decision in time,
 * the daemon places the request by itself, so that no request depends on a coordinator.
 */
import {
	type AssignmentAnswer, type AssignmentDecision, type AssignmentEnd, type AssignmentExplanation, AssignmentKind, type AssignmentRequest, AssignmentResult, type AssignmentTerms,
} from '../../protocol/assignment.js';
import {
	type AssignmentDecisionMessage, type AssignmentEndMessage, type AssignmentRequestMessage, type AssignmentWithdrawal, type FleetMessage, FleetMessageKind, type GroupName, type NamedAddress, type PeerAddress, type Sender,
} from '../../protocol/fleet-messages.js';
import {type Backend, type ReportedLoad} from '../../protocol/serving.js';
import {type SteadyClock} from '../../clock.js';
import {type MessageSender} from '../../transport/datagram-link.js';
import {backendKey} from '../fleet/backend-key.js';
import {CoordinatorRanking} from '../fleet/coordinator-ranking.js';
import {type FleetTable} from '../fleet/fleet-table.js';
import {type BackendPaces} from '../paces/backend-paces.js';
import {type AssignmentActivation} from './assignment-activation.js';
import {AssignmentCoordinator, type CoordinatorParts} from './assignment-coordinator.js';
import {
	type AssignmentGroup, type GroupIdentity, groupsOf, identifyGroup, rankGroups, toGroupName,
} from './assignment-groups.js';

/** How long the first answer of a coordinator is waited for, in milliseconds: dozens of round trips between failure domains. */
const answerTimeoutMs = 60;
/** Time for which a coordinator is not asked that did not answer or declined, in milliseconds: until it has settled, or another one has taken its place. */
const coordinatorBackoffMs = 300;
/** How long a queued request waits beyond twice the expected time without another message, in milliseconds. */
const queueMarginMs = 100;
/** Interval at which the queues of coordinated groups are checked, in milliseconds. */
const queueCheckMs = 10;
/** Age up to which the wait counts that a group has stated, in milliseconds. */
const statedWaitMaxAgeMs = 500;
/** Groups that are asked for one request. */
const maxGroups = 2;
/** Time after which ends and withdrawals are sent a second time, in milliseconds, if no later message to their coordinator has repeated them. */
const repeatDelayMs = 500;
/** Reason of an outcome whose client has left. */
const clientGoneReason = 'client gone';

/** What is asked for one request. */
export type AssignmentQuery = Omit<AssignmentRequest, 'daemon' | 'incarnation' | 'id' | 'excluded'> & {service: string; excluded: ReadonlySet<string>};

/** A backend server assigned to a request, which holds a place there until its end is reported. */
export type AssignedBackend = {
	backend: Backend;
	copyFrom: Backend | undefined;
	group: string;
	coordinator: string;
	terms: AssignmentTerms;
	/** Reports the end of the request; later calls do nothing. */
	end: (result: AssignmentResult, firstEventMs?: number, load?: ReportedLoad) => void;
};

/** The outcome of a query. */
export type AssignmentOutcome
	= | {kind: 'assigned'; assignment: AssignedBackend}
		| {kind: 'refused'; retryAfterMs: number; reason: string}
	/** The daemon uses its own placement. */
		| {kind: 'unavailable'; reason: string};

type UnidentifiedEnd = Omit<AssignmentEnd, 'daemon' | 'incarnation'>;

/** The last reports to the coordinator of a group, which are sent twice. */
type Repeats = {group: GroupIdentity; coordinator: NamedAddress; sinceMs: number; ends: UnidentifiedEnd[]; withdrawn: number[]};

type PendingRequest = {settle: (answer: AssignmentAnswer | undefined) => void; extend: (expectedMs: number) => void};

/** What an {@link AssignmentExchange} depends on. */
export type AssignmentExchangeParts = Omit<CoordinatorParts, 'isCoordinator' | 'paceFactor' | 'isGone'> & {
	activation: Pick<AssignmentActivation, 'isActive'>;
	/** Returns the services of the configuration in force. */
	services: () => string[];
	paces: Pick<BackendPaces, 'note' | 'factor'>;
	fleet: FleetTable;
	clock: SteadyClock;
	name: string;
	incarnation: string;
	failureDomain: string;
	createSender: (nowMs: number) => Sender;
};

/** Exchanges assignments with the other daemons. */
export class AssignmentExchange {
	readonly coordinator: AssignmentCoordinator;
	private link: MessageSender | undefined;
	/** It begins at random, so that an answer to an earlier start of this daemon matches no request. */
	private nextId = Math.floor(Math.random() * (2 ** 31));
	private readonly pending = new Map<number, PendingRequest>();
	private readonly pausedUntilMs = new Map<string, number>();
	private readonly statedWaits = new Map<string, {ms: number; atMs: number}>();
	private readonly ranking: CoordinatorRanking;
	private readonly repeats = new Map<string, Repeats>();
	private readonly addresses = new Map<string, PeerAddress>();
	private queueTimer: NodeJS.Timeout | undefined;

	constructor(private readonly parts: AssignmentExchangeParts) {
		this.ranking = new CoordinatorRanking(parts.fleet, parts.name);
		this.coordinator = new AssignmentCoordinator({
			...parts, paceFactor: (backend, nowMs) => parts.paces.factor(backend, nowMs), isCoordinator: (group, nowMs) => this.ranking.isCoordinator(backendKey(group), nowMs), isGone: (daemon, nowMs) => parts.fleet.isGone(daemon, nowMs),
		});
	}

	/** Starts to send messages through a link. */
	open(link: MessageSender): void {
		this.link = link;
	}

	/** Whether requests of a service are assigned. */
	isActive(service: string, nowMs: number): boolean {
		return this.parts.activation.isActive(service, nowMs);
	}

	/** Asks for a backend server for a request; `signal` ends the wait. */
	async assign(query: AssignmentQuery, signal: AbortSignal): Promise<AssignmentOutcome> {
		const startedAtMs = this.parts.clock.now();
		let refusal: AssignmentOutcome | undefined;
		for (const group of this.rank(query, startedAtMs).slice(0, maxGroups)) {
			const elapsedMs = this.parts.clock.now() - startedAtMs;
			// eslint-disable-next-line no-await-in-loop -- a further group is asked only after a refusal.
			const outcome = await this.ask(group, {...query, targetMs: query.targetMs - elapsedMs, remainingMs: query.remainingMs - elapsedMs}, signal);
			if (outcome.kind === 'assigned') {
				return outcome;
			}

			if (outcome.kind === 'unavailable') {
				return refusal ?? outcome;
			}

			refusal = refusal?.kind === 'refused' && refusal.retryAfterMs <= outcome.retryAfterMs ? refusal : outcome;
		}

		return refusal ?? {kind: 'unavailable', reason: 'no group of backend servers'};
	}

	/** Returns the groups in the order in which they would be asked, each with the decision if this daemon coordinates it. */
	explain(query: AssignmentQuery, nowMs: number): Array<{group: string; coordinator: {name: string; host: string} | undefined; statedWaitMs: number; explanation: AssignmentExplanation | undefined}> {
		return this.rank(query, nowMs).map(group => ({
			group: group.name,
			coordinator: this.ranking.coordinators(backendKey(group.name), nowMs).slice(0, 1).map(({name, address: {host}}) => ({name, host})).at(0),
			statedWaitMs: this.statedWait(group, query.priority, nowMs),
			explanation: this.coordinator.explain(group, this.createRequest(query, 0), nowMs),
		}));
	}

	/** Repeats unconfirmed reports, updates the groups that this daemon coordinates, and checks their queues; called in each round. */
	sendRound(nowMs: number): void {
		const {services, activation} = this.parts;
		const groups = services().filter(service => activation.isActive(service, nowMs)).flatMap(service => this.groups(service, nowMs));
		this.sendRepeats(nowMs);
		this.ranking.prune(nowMs);
		this.coordinator.update(groups, nowMs);
		for (const group of groups) {
			this.deliver(group, this.coordinator.check(group, nowMs), [], undefined, nowMs);
		}
	}

	/** Processes a message of another daemon; returns false if it is of another kind. */
	receive(message: FleetMessage, nowMs: number): message is AssignmentRequestMessage | AssignmentDecisionMessage | AssignmentEndMessage | AssignmentWithdrawal {
		const {fleet} = this.parts;
		if (message.kind === FleetMessageKind.AssignmentRequest) {
			this.addresses.set(message.sender.name, message.sender.address);
			const {name: daemon, incarnation} = message.sender;
			this.decide(identifyGroup(message.group), {...message.request, daemon, incarnation}, nowMs);
			return true;
		}

		if (message.kind === FleetMessageKind.AssignmentDecision) {
			fleet.noteAnswered(message.sender);
			this.applyDecisions(message, nowMs);
			return true;
		}

		if (message.kind === FleetMessageKind.AssignmentEnd) {
			const {name: daemon, incarnation} = message.sender;
			const group = identifyGroup(message.group);
			for (const end of message.ends) {
				this.noteEnd(group, {...end, daemon, incarnation}, nowMs);
			}

			return true;
		}

		if (message.kind === FleetMessageKind.AssignmentWithdrawal) {
			const {name: daemon, incarnation} = message.sender;
			const group = identifyGroup(message.group);
			for (const id of message.ids) {
				this.deliver(group, this.coordinator.withdraw(group, {daemon, incarnation, id}, nowMs), [], undefined, nowMs);
			}

			return true;
		}

		return false;
	}

	/** Returns a plain copy for state dumps. */
	toJson(nowMs: number): unknown {
		return {
			pending: this.pending.size,
			paused: [...this.pausedUntilMs].filter(([, untilMs]) => untilMs > nowMs).map(([name]) => name),
			coordinated: this.coordinator.toJson(nowMs),
		};
	}

	private rank({service, promptParts, targetMs, priority}: AssignmentQuery, nowMs: number): AssignmentGroup[] {
		return rankGroups(this.groups(service, nowMs), {
			promptParts, targetMs, failureDomain: this.parts.failureDomain, waitMs: group => this.statedWait(group, priority, nowMs),
		});
	}

	private groups(service: string, nowMs: number): AssignmentGroup[] {
		return groupsOf(service, this.parts.engine(service) !== undefined, this.parts.backends({service, failureDomain: undefined}, nowMs));
	}

	private statedWait({name}: AssignmentGroup, priority: number, nowMs: number): number {
		const stated = this.statedWaits.get(`${name} ${priority}`);
		return stated && nowMs - stated.atMs <= statedWaitMaxAgeMs ? stated.ms : 0;
	}

	private createRequest({service: _, excluded, ...query}: AssignmentQuery, id: number): AssignmentRequest {
		const {name: daemon, incarnation} = this.parts;
		return {
			...query, excluded: [...excluded].map(backend => backendKey(backend)), id, daemon, incarnation,
		};
	}

	/** Asks the coordinator of one group. */
	private async ask(group: AssignmentGroup, query: AssignmentQuery, signal: AbortSignal): Promise<AssignmentOutcome> {
		const {clock, fleet, name, createSender} = this.parts;
		const nowMs = clock.now();
		const coordinator = this.ranking.coordinators(backendKey(group.name), nowMs).at(0);
		if (!coordinator || nowMs < (this.pausedUntilMs.get(coordinator.name) ?? 0)) {
			return {kind: 'unavailable', reason: coordinator ? 'coordinator timed out or declined a moment ago' : 'no coordinator'};
		}

		if (signal.aborted) {
			return {kind: 'unavailable', reason: clientGoneReason};
		}

		const id = this.nextId++;
		const request = this.createRequest(query, id);
		const answer = this.waitForAnswer(id, group, coordinator, signal);
		if (coordinator.name === name) {
			this.decide(group, request, nowMs);
		} else {
			const {daemon: _, incarnation: __, ...sent} = request;
			this.link?.send({
				kind: FleetMessageKind.AssignmentRequest, sender: createSender(nowMs), group: toGroupName(group), request: sent,
			}, [coordinator.address]);
			fleet.noteAskedByName(coordinator.name, nowMs);
		}

		const decision = await answer;
		if (decision?.kind === AssignmentKind.Assigned) {
			return this.accept(group, coordinator, decision);
		}

		return decision?.kind === AssignmentKind.Refused ? {kind: 'refused', retryAfterMs: decision.retryAfterMs, reason: decision.reason} : {kind: 'unavailable', reason: signal.aborted ? clientGoneReason : 'no decision'};
	}

	/** Waits for the final answer on a request; undefined if none comes in time. */
	private async waitForAnswer(id: number, group: GroupIdentity, coordinator: NamedAddress, signal: AbortSignal): Promise<AssignmentAnswer | undefined> {
		return new Promise(resolve => {
			let timer: NodeJS.Timeout;
			const settle = (answer: AssignmentAnswer | undefined) => {
				clearTimeout(timer);
				signal.removeEventListener('abort', giveUp);
				this.pending.delete(id);
				resolve(answer);
			};

			const giveUp = () => {
				this.withdraw([id], group, coordinator);
				settle(undefined);
			};

			timer = setTimeout(() => {
				this.pause(coordinator.name);
				giveUp();
			}, answerTimeoutMs);
			signal.addEventListener('abort', giveUp, {once: true});
			this.pending.set(id, {
				settle, extend(expectedMs) {
					clearTimeout(timer);
					// A lost notice of one request is no reason to keep the others from the coordinator.
					timer = setTimeout(giveUp, (2 * expectedMs) + queueMarginMs);
				},
			});
		});
	}

	private accept(group: AssignmentGroup, coordinator: NamedAddress, {id, backend: key, copyFrom, terms}: Extract<AssignmentAnswer, {kind: AssignmentKind.Assigned}>): AssignmentOutcome {
		const backends = this.parts.backends(group, this.parts.clock.now());
		const backend = backends.find(candidate => backendKey(candidate.id) === key);
		let hasEnded = false;
		const end = (result: AssignmentResult, firstEventMs?: number, load?: ReportedLoad) => {
			if (!hasEnded) {
				hasEnded = true;
				this.sendEnd(group, coordinator, {
					id, backend: key, result, firstEventMs, load,
				});
			}
		};

		if (!backend) {
			end(AssignmentResult.NotSent);
			return {kind: 'unavailable', reason: 'assigned backend server is not in use'};
		}

		return {
			kind: 'assigned',
			assignment: {
				backend, copyFrom: backends.find(candidate => backendKey(candidate.id) === copyFrom), group: group.name, coordinator: coordinator.name, terms, end,
			},
		};
	}

	/** Reports the end of an assigned request, together with those reported last, in case their datagram was lost. */
	private sendEnd(group: GroupIdentity, coordinator: NamedAddress, end: UnidentifiedEnd): void {
		const {clock, name, incarnation} = this.parts;
		const nowMs = clock.now();
		if (coordinator.name === name) {
			this.noteEnd(group, {...end, daemon: name, incarnation}, nowMs);
			return;
		}

		const repeats = this.repeatsOf(group, coordinator, nowMs);
		this.sendEnds(group, coordinator, [end, ...repeats.ends], nowMs);
		// The load was true when it was first sent.
		repeats.ends = [{...end, load: undefined}];
	}

	/** Withdraws requests, together with those withdrawn last. */
	private withdraw(ids: number[], group: GroupIdentity, coordinator: NamedAddress): void {
		const {clock, name, incarnation} = this.parts;
		const nowMs = clock.now();
		if (coordinator.name === name) {
			for (const id of ids) {
				this.deliver(group, this.coordinator.withdraw(group, {daemon: name, incarnation, id}, nowMs), [], undefined, nowMs);
			}

			return;
		}

		const repeats = this.repeatsOf(group, coordinator, nowMs);
		this.sendWithdrawal(group, coordinator, [...ids, ...repeats.withdrawn], nowMs);
		repeats.withdrawn = ids;
	}

	private repeatsOf(group: GroupIdentity, coordinator: NamedAddress, nowMs: number): Repeats {
		const key = `${coordinator.name} ${group.name}`;
		const repeats = this.repeats.get(key) ?? {
			group, coordinator, sinceMs: nowMs, ends: [], withdrawn: [],
		};
		this.repeats.set(key, repeats);
		return repeats;
	}

	/** Repeats the reports that no later one has repeated: the place of a request whose end is lost would stay taken until its deadline. */
	private sendRepeats(nowMs: number): void {
		for (const [key, {group, coordinator, sinceMs, ends, withdrawn}] of this.repeats) {
			if (nowMs - sinceMs < repeatDelayMs) {
				continue;
			}

			this.repeats.delete(key);
			if (ends.length > 0) {
				this.sendEnds(group, coordinator, ends, nowMs);
			}

			if (withdrawn.length > 0) {
				this.sendWithdrawal(group, coordinator, withdrawn, nowMs);
			}
		}
	}

	private sendEnds(group: GroupIdentity, {address}: NamedAddress, ends: UnidentifiedEnd[], nowMs: number): void {
		this.link?.send({
			kind: FleetMessageKind.AssignmentEnd, sender: this.parts.createSender(nowMs), group: toGroupName(group), ends,
		}, [address]);
	}

	private sendWithdrawal(group: GroupIdentity, {address}: NamedAddress, ids: number[], nowMs: number): void {
		this.link?.send({
			kind: FleetMessageKind.AssignmentWithdrawal, sender: this.parts.createSender(nowMs), group: toGroupName(group), ids,
		}, [address]);
	}

	private pause(coordinator: string): void {
		this.pausedUntilMs.set(coordinator, this.parts.clock.now() + coordinatorBackoffMs);
	}

	/** Decides on a request as its coordinator. */
	private decide(group: GroupIdentity, request: AssignmentRequest, nowMs: number): void {
		const result = this.ranking.isCoordinator(backendKey(group.name), nowMs) ? this.coordinator.request(group, request, nowMs) : undefined;
		if (result) {
			this.deliver(group, result.decisions, [], {daemon: request.daemon, priority: request.priority, ms: result.waitMs}, nowMs);
		} else {
			this.deliver(group, [], [request], undefined, nowMs);
		}
	}

	private noteEnd(group: GroupIdentity, end: AssignmentEnd, nowMs: number): void {
		const percent = end.load?.pacePercent;
		const backend = percent === undefined || end.daemon === this.parts.name ? undefined : this.parts.backends(group, nowMs).find(({id}) => backendKey(id) === end.backend);
		if (backend) {
			this.parts.paces.note(backend, percent!, nowMs);
		}

		this.deliver(group, this.coordinator.end(group, end, nowMs), [], undefined, nowMs);
	}

	/** Sends decisions to the daemons that asked. */
	private deliver(group: GroupIdentity, decisions: AssignmentDecision[], declined: AssignmentRequest[], wait: {daemon: string; priority: number; ms: number} | undefined, nowMs: number): void { // eslint-disable-line max-params
		const {name, incarnation, createSender} = this.parts;
		const decisionsByDaemon = groupByDaemon(decisions);
		const declinedByDaemon = groupByDaemon(declined);
		for (const daemon of new Set([...decisionsByDaemon.keys(), ...declinedByDaemon.keys()])) {
			const ownDecisions = decisionsByDaemon.get(daemon) ?? [];
			const message: AssignmentDecisionMessage = {
				kind: FleetMessageKind.AssignmentDecision,
				sender: createSender(nowMs),
				group: toGroupName(group),
				decisions: ownDecisions.map(({daemon: _, incarnation: __, ...answer}) => answer),
				declined: (declinedByDaemon.get(daemon) ?? []).map(({id}) => id),
				wait: wait?.daemon === daemon ? {priority: wait.priority, ms: wait.ms} : undefined,
			};
			const address = this.addresses.get(daemon);
			if (daemon === name) {
				const isPresent = ownDecisions.every(decision => decision.incarnation === incarnation);
				this.applyDecisions(isPresent ? message : {...message, decisions: []}, nowMs);
			} else if (address) {
				this.link?.send(message, [address]);
			}
		}

		this.scheduleQueueCheck();
	}

	private applyDecisions({sender, group, decisions, declined, wait}: AssignmentDecisionMessage, nowMs: number): void {
		const {name} = identifyGroup(group);
		if (wait) {
			this.statedWaits.set(`${name} ${wait.priority}`, {ms: wait.ms, atMs: nowMs});
		}

		for (const id of declined) {
			this.pause(sender.name);
			this.pending.get(id)?.settle(undefined);
		}

		const unknown: number[] = [];
		for (const decision of decisions) {
			const pending = this.pending.get(decision.id);
			if (decision.kind === AssignmentKind.Queued) {
				pending?.extend(decision.expectedMs);
				if (!pending) {
					unknown.push(decision.id);
				}
			} else if (pending) {
				pending.settle(decision);
			} else if (decision.kind === AssignmentKind.Assigned) {
				// It came too late: the request has been placed without it, or its client has left.
				this.sendEnd(identifyGroup(group), sender, {id: decision.id, backend: decision.backend, result: AssignmentResult.NotSent});
			}
		}

		// Their withdrawals were lost or overtaken: the requests would hold up others until their deadline.
		if (unknown.length > 0) {
			this.withdraw(unknown, identifyGroup(group), sender);
		}
	}

	/** Checks the queues of the coordinated groups while requests wait. */
	private scheduleQueueCheck(): void {
		if (this.queueTimer !== undefined || !this.coordinator.groups.some(({name}) => this.coordinator.hasQueue(name))) {
			return;
		}

		this.queueTimer = setInterval(() => {
			this.checkQueues();
		}, queueCheckMs);
		this.queueTimer.unref();
	}

	private checkQueues(): void {
		const nowMs = this.parts.clock.now();
		const queued = this.coordinator.groups.filter(({name}) => this.coordinator.hasQueue(name));
		if (queued.length === 0) {
			clearInterval(this.queueTimer);
			this.queueTimer = undefined;
			return;
		}

		for (const group of queued) {
			const decisions = this.coordinator.check(group, nowMs);
			this.deliver(group, [...decisions, ...this.coordinator.queueNotices(group, nowMs)], [], undefined, nowMs);
		}
	}
}

function groupByDaemon<T extends {daemon: string}>(items: T[]): Map<string, T[]> {
	const groups = new Map<string, T[]>();
	for (const item of items) {
		const group = groups.get(item.daemon);
		if (group) {
			group.push(item);
		} else {
			groups.set(item.daemon, [item]);
		}
	}

	return groups;
}
