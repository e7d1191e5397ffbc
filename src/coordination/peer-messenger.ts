/**
 * What daemons tell each other, and how they find each other: each writes its address to
 * the platform's store once and reads the others'; from then on messages go by datagram.
 * The holder of the duties also writes the sums of the accounts' limits to the store, for
 * the case that all daemons are lost at once and nobody remembers.
 */
import {Buffer} from 'node:buffer';
import {type FrontSettings, type Store, Topic} from '../protocol/platform.js';
import {type SteadyClock} from '../clock.js';
import {DatagramLink, type PeerAddress} from '../transport/datagram-link.js';
import {type DutyLease} from './duty-lease.js';
import {type PeerMessage, type PeerTable} from './peer-table.js';
import {type Placement} from './placement.js';
import {type QuotaLedger} from './quota-ledger.js';
import {type UsageLedger} from './usage-ledger.js';

/** Time between messages to peers, in milliseconds, up to a dozen daemons; it grows with their number beyond. */
const messageMs = 250;
const messageDaemons = 12;
/** Age up to which written sums are taken over at a start, in milliseconds: older ones miss too much. */
const sumsFreshMs = 6000;
/** Key of the written sums among the daemons' records; no daemon is called so. */
const sumsKey = '#sums';

/** Sums of the accounts' limits as the store keeps them. */
type WrittenSums = {
	/** When they were written, in milliseconds since 1970. */
	atMs: number;
	sums: Record<string, number>;
};

/** The parts a messenger works with. */
export type MessengerParts = {
	settings: FrontSettings;
	/** Differs for each start of the daemon. */
	incarnation: string;
	store: Store;
	peers: PeerTable;
	quota: QuotaLedger;
	usage: UsageLedger;
	placement: Placement;
	lease: DutyLease;
	clock: SteadyClock;
	startedAtMs: number;
};

/** Speaks with the other daemons. */
export class PeerMessenger {
	/** Whether this daemon is about to stop. */
	isStopping = false;
	private link: DatagramLink | undefined;
	private isAnnounced = false;

	constructor(private readonly parts: MessengerParts) {}

	/** Time until the next message, in milliseconds. */
	get intervalMs(): number {
		const {peers, clock} = this.parts;
		return messageMs * Math.max(1, peers.daemons(clock.now()) / messageDaemons);
	}

	/** @throws {TransportError} When the port for datagrams cannot be bound. */
	async open(signal: AbortSignal): Promise<void> {
		const {settings} = this.parts;
		this.link = await DatagramLink.open({host: settings.host, port: settings.peerPort}, message => {
			this.hear(message as PeerMessage);
		}, signal);
	}

	/** Sends this daemon's state to the peers that are heard of, or to all that are known. */
	send(toAll: boolean): void {
		const {
			settings, incarnation, peers, quota, usage, placement, lease, clock, startedAtMs,
		} = this.parts;
		const nowMs = clock.now();
		const message: PeerMessage = {
			name: settings.name,
			incarnation,
			address: this.address,
			uptimeMs: Math.round(nowMs - startedAtMs),
			holder: lease.news(nowMs),
			spent: quota.spent(),
			windowSums: quota.sums(nowMs),
			usage: usage.own(),
			inFlight: placement.inFlight(),
			isStopping: this.isStopping,
		};
		for (const address of peers.targets(toAll, nowMs)) {
			this.link?.send(message, address);
		}
	}

	/**
	 * Writes this daemon's address to the store once, and reads the others'.
	 *
	 * @throws {StateError} When the store does not answer.
	 */
	async discover(signal: AbortSignal): Promise<void> {
		const {settings, store, peers} = this.parts;
		if (!this.isAnnounced) {
			await store.append(Topic.Members, {key: settings.name, value: encode(this.address)}, undefined, signal);
			this.isAnnounced = true;
		}

		const batch = await store.newest(Topic.Members, signal);
		for (const {key, value} of batch.records) {
			if (key === sumsKey && value) {
				this.takeSums(decode(value));
			} else if (value) {
				peers.learn(key, decode(value));
			}
		}

		this.send(true);
	}

	/**
	 * Writes what all daemons admitted in the window, while this one holds the duties.
	 *
	 * @throws {StateError} When the store does not take it.
	 */
	async saveSums(signal: AbortSignal): Promise<void> {
		const {quota, lease, clock, store} = this.parts;
		const nowMs = clock.now();
		const sums = quota.sums(nowMs);
		if (lease.tokenAt(nowMs) !== undefined && sums) {
			const written: WrittenSums = {atMs: clock.wallNow(), sums};
			await store.append(Topic.Members, {key: sumsKey, value: encode(written)}, undefined, signal);
		}
	}

	private get address(): PeerAddress {
		return {host: this.parts.settings.host, port: this.parts.settings.peerPort};
	}

	private hear(message: PeerMessage): void {
		const {peers, quota, usage, lease, clock} = this.parts;
		const nowMs = clock.now();
		for (const [account, cost] of Object.entries(peers.note(message, nowMs))) {
			quota.notePeerSpent(account, cost, nowMs);
		}

		if (message.windowSums) {
			quota.adopt(message.windowSums, nowMs);
		}

		for (const [window, counts] of message.usage) {
			usage.note(message.incarnation, window, counts);
		}

		if (message.holder) {
			lease.hear(message.holder, nowMs);
		}
	}

	/** Takes sums over that were written shortly before this daemon started. */
	private takeSums(written: WrittenSums): void {
		const {quota, clock} = this.parts;
		if (Math.abs(clock.wallNow() - written.atMs) <= sumsFreshMs) {
			quota.adopt(written.sums, clock.now());
		}
	}
}

function encode(value: unknown): Uint8Array {
	return Buffer.from(JSON.stringify(value));
}

function decode<T>(value: Uint8Array): T {
	return JSON.parse(Buffer.from(value).toString('utf8')) as T;
}
