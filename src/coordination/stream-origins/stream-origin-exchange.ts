/**
 * Exchanges the origins of streams with other daemons. In a full mesh every daemon tells all
 * others of its streams; in a large fleet the relays know all streams, and the other daemons
 * ask them. Nothing is sent while each service has one version only.
 */
import {
	type FleetMessage, FleetMessageKind, type PeerAddress, type Sender, type StreamOrigin, type StreamOriginAnswer, type StreamOriginList, type StreamOriginQuery,
} from '../../protocol/fleet-messages.js';
import {type SteadyClock} from '../../clock.js';
import {type MessageSender} from '../../transport/datagram-link.js';
import {FleetRole, type FleetTable} from '../fleet/fleet-table.js';
import {packOrigins, unpackOrigins} from './stream-origin-codec.js';
import {type ServiceVersions} from './service-versions.js';
import {type StreamOrigins} from './stream-origins.js';

/** How long new entries are collected before they are sent, in milliseconds. */
const batchMs = 20;
/** Largest number of entries in one datagram; each takes some ten bytes. */
const entriesPerMessage = 100;
/** How long the answers of other daemons are waited for, in milliseconds: some round trips between failure domains, and one delayed by other work. */
const answerTimeoutMs = 150;
/** Daemons of a large fleet that are asked about a stream. */
const askedRelays = 6;

/** What a {@link StreamOriginExchange} depends on. */
export type StreamOriginExchangeDependencies = {
	origins: StreamOrigins;
	versions: ServiceVersions;
	fleet: FleetTable;
	clock: SteadyClock;
	failureDomain: string;
	/** Describes this daemon as the sender of a message. */
	createSender: (nowMs: number) => Sender;
	/** Reads the origins that the store keeps, if this daemon has not run long enough to know them itself. */
	restore: () => Promise<void>;
};

type PendingQuery = {answers: StreamOriginAnswer[]; expected: number; finish: () => void};

/** Tells other daemons of streams, and asks them. */
export class StreamOriginExchange {
	private link: MessageSender | undefined;
	private isFlushScheduled = false;
	private readonly queries = new Map<number, PendingQuery>();

	constructor(private readonly dependencies: StreamOriginExchangeDependencies) {}

	/** Starts to send messages through a link. */
	open(link: MessageSender): void {
		this.link = link;
	}

	/** Records a stream that this daemon serves, and tells others of it. */
	note(key: number, origin: StreamOrigin): void {
		this.dependencies.origins.note(key, origin, this.dependencies.clock.now());
		this.scheduleFlush();
	}

	/** Processes a message of another daemon; returns false if it is of another kind. */
	receive(message: FleetMessage, nowMs: number): message is StreamOriginList | StreamOriginQuery | StreamOriginAnswer {
		const {origins, fleet, failureDomain} = this.dependencies;
		if (message.kind === FleetMessageKind.StreamOrigins) {
			const shouldForward = fleet.roleAt(nowMs) === FleetRole.Relay && message.sender.failureDomain === failureDomain;
			origins.learn(unpackOrigins(message), shouldForward, nowMs);
			this.scheduleFlush();
			return true;
		}

		if (message.kind === FleetMessageKind.StreamOriginQuery) {
			void this.answer(message);
			return true;
		}

		if (message.kind === FleetMessageKind.StreamOriginAnswer) {
			this.noteAnswer(message);
			return true;
		}

		return false;
	}

	/** Asks other daemons about a stream; resolves with their answers and the number asked as soon as one of them knows it, or after {@link answerTimeoutMs}. */
	async ask(stream: number, service: string): Promise<{answers: StreamOriginAnswer[]; asked: number}> {
		const {clock, createSender} = this.dependencies;
		const nowMs = clock.now();
		const receivers = this.queryReceivers(nowMs);
		if (!this.link || receivers.length === 0) {
			return {answers: [], asked: 0};
		}

		const query: StreamOriginQuery = {
			kind: FleetMessageKind.StreamOriginQuery, sender: createSender(nowMs), stream, service,
		};
		return new Promise(resolve => {
			const pending: PendingQuery = {
				answers: [],
				expected: receivers.length,
				finish: () => {
					clearTimeout(timer);
					this.queries.delete(stream);
					resolve({answers: pending.answers, asked: receivers.length});
				},
			};
			const timer = setTimeout(pending.finish, answerTimeoutMs);
			this.queries.get(stream)?.finish();
			this.queries.set(stream, pending);
			this.link?.send(query, receivers);
		});
	}

	private async answer({sender, stream, service}: StreamOriginQuery): Promise<void> {
		const {origins, versions, clock, createSender, restore} = this.dependencies;
		if (origins.originOf(stream, clock.now()) === undefined && versions.isMixed(service, clock.now())) {
			await restore();
		}

		const nowMs = clock.now();
		const answer: StreamOriginAnswer = {
			kind: FleetMessageKind.StreamOriginAnswer, sender: createSender(nowMs), stream, origin: origins.originOf(stream, nowMs), knowledge: versions.knowledge(service, nowMs),
		};
		this.link?.send(answer, [sender.address]);
	}

	private noteAnswer(answer: StreamOriginAnswer): void {
		const pending = this.queries.get(answer.stream);
		if (!pending) {
			return;
		}

		pending.answers.push(answer);
		if (answer.origin !== undefined || pending.answers.length >= pending.expected) {
			pending.finish();
		}
	}

	private scheduleFlush(): void {
		if (!this.isFlushScheduled) {
			this.isFlushScheduled = true;
			setTimeout(() => {
				this.flush();
			}, batchMs);
		}
	}

	/** Sends the new entries to the daemons that must know them. */
	private flush(): void {
		this.isFlushScheduled = false;
		const {origins, clock, createSender} = this.dependencies;
		const entries = origins.takePending();
		const nowMs = clock.now();
		const receivers = entries.length > 0 ? this.listReceivers(nowMs) : [];
		for (let index = 0; index < entries.length; index += entriesPerMessage) {
			this.link?.send({kind: FleetMessageKind.StreamOrigins, sender: createSender(nowMs), ...packOrigins(entries.slice(index, index + entriesPerMessage))}, receivers);
		}
	}

	/** All other daemons of a full mesh; in a large fleet the relays of this failure domain, and from a relay also those of the others. */
	private listReceivers(nowMs: number): PeerAddress[] {
		const {fleet, failureDomain} = this.dependencies;
		const role = fleet.roleAt(nowMs);
		if (role === FleetRole.Mesh) {
			return fleet.addresses(false, nowMs);
		}

		return fleet.relayAddresses(role === FleetRole.Relay ? [failureDomain, ...fleet.otherDomains()] : [failureDomain], nowMs);
	}

	/** The daemons that may know a stream: the relays of this failure domain and some of the others; in a full mesh all, and while none was heard from, all whose addresses are known. */
	private queryReceivers(nowMs: number): PeerAddress[] {
		const {fleet, failureDomain} = this.dependencies;
		if (fleet.roleAt(nowMs) === FleetRole.Mesh) {
			const heard = fleet.addresses(false, nowMs);
			return heard.length > 0 ? heard : fleet.addresses(true, nowMs).slice(0, askedRelays);
		}

		return fleet.relayAddresses([failureDomain, ...fleet.otherDomains()], nowMs).slice(0, askedRelays);
	}
}
