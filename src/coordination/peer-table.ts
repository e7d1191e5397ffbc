/**
 * The other daemons, as this one last heard of them. Peers are found through the
 * platform's store and then speak to each other by datagrams; each message repeats what
 * its sender admitted, counted and sent, so the newest one says everything.
 */
import {type PeerAddress} from '../transport/datagram-link.js';
import {type WindowCounts} from './usage-ledger.js';

/** Who holds the singleton duties, and how long ago that was known. */
export type HolderNews = {token: number; ageMs: number};

/** What one daemon tells the others. */
export type PeerMessage = {
	name: string;
	/** Differs for each start of the daemon. */
	incarnation: string;
	address: PeerAddress;
	/** Time since the daemon started, in milliseconds. */
	uptimeMs: number;
	holder: HolderNews | undefined;
	/** Cost units admitted since the start, by client account. */
	spent: Record<string, number>;
	/** Cost units that all daemons admitted in the window of the limits; undefined while the sender does not know. */
	windowSums: Record<string, number> | undefined;
	usage: Array<[number, WindowCounts]>;
	/** Requests in flight, by backend server. */
	inFlight: Record<string, number>;
	/** Whether the sender is about to stop. */
	isStopping: boolean;
};

/** Age after which a message says nothing of the load any more, in milliseconds: three rounds. */
const freshMs = 1000;
/** A peer not heard of for this long is silent, in milliseconds. */
const silentMs = 1500;
/** A silent peer is taken to be gone after this, in milliseconds. */
const goneMs = 20_000;
/** A peer counts for shares of limits this long after it was last heard, in milliseconds. */
const countedMs = 60_000;

type Peer = {message: PeerMessage; heardAtMs: number};

/** The peers of one daemon. */
export class PeerTable {
	private readonly peers = new Map<string, Peer>();
	private readonly addresses = new Map<string, PeerAddress>();

	constructor(
		private readonly self: string,
		private readonly startedAtMs: number,
	) {}

	/** Notes an address from the platform's store. */
	learn(name: string, address: PeerAddress): void {
		if (name !== this.self) {
			this.addresses.set(name, address);
		}
	}

	/**
	 * Takes a message.
	 *
	 * @returns Cost units that its sender admitted since its last message, by account.
	 */
	note(message: PeerMessage, nowMs: number): Record<string, number> {
		const before = this.peers.get(message.name)?.message;
		this.addresses.set(message.name, message.address);
		this.peers.set(message.name, {message, heardAtMs: nowMs});
		const isContinued = before?.incarnation === message.incarnation;
		// What an older peer admitted before this daemon started is in nobody's window here.
		const isHistory = !isContinued && message.uptimeMs > nowMs - this.startedAtMs;
		const spent: Record<string, number> = {};
		for (const [account, total] of Object.entries(message.spent)) {
			spent[account] = isHistory ? 0 : total - (isContinued ? before.spent[account] ?? 0 : 0);
		}

		return spent;
	}

	/** Addresses to send the next message to: all that are heard of, and with `all` also the silent ones. */
	targets(all: boolean, nowMs: number): PeerAddress[] {
		return [...this.addresses].filter(([name]) => all || nowMs - (this.peers.get(name)?.heardAtMs ?? Number.NEGATIVE_INFINITY) <= goneMs).map(([, address]) => address);
	}

	/** Daemons that share the limits, this one included. */
	daemons(nowMs: number): number {
		return 1 + this.heardWithin(countedMs, nowMs).filter(peer => !peer.message.isStopping).length;
	}

	/** Daemons that were heard of not long ago and are silent now. */
	silent(nowMs: number): number {
		return this.heardWithin(goneMs, nowMs).length - this.heardWithin(silentMs, nowMs).length;
	}

	/** Whether at least half of the daemons of late can be heard; true where there are none. */
	hearsMost(nowMs: number): boolean {
		return this.heardWithin(silentMs, nowMs).length * 2 >= this.heardWithin(goneMs, nowMs).length;
	}

	/** Names of the daemons that can be heard now. */
	audible(nowMs: number): string[] {
		return this.heardWithin(silentMs, nowMs).map(peer => peer.message.name);
	}

	/** Requests that the other daemons have in flight at a backend server. */
	inFlight(backendId: string, nowMs: number): number {
		let sum = 0;
		for (const {message, heardAtMs} of this.peers.values()) {
			sum += nowMs - heardAtMs <= freshMs ? message.inFlight[backendId] ?? 0 : 0;
		}

		return sum;
	}

	/** What a state dump shows. */
	toJson(nowMs: number): unknown {
		return [...this.peers.values()].map(({message, heardAtMs}) => ({name: message.name, incarnation: message.incarnation, silentMs: Math.round(nowMs - heardAtMs)}));
	}

	private heardWithin(ageMs: number, nowMs: number): Peer[] {
		return [...this.peers.values()].filter(peer => nowMs - peer.heardAtMs <= ageMs);
	}
}
