/**
 * Remembers at which software version each resumable stream began, while replicas of several
 * versions serve a service. A client that lost its connection may take its stream up at any
 * daemon, and that daemon must send it to the same version.
 */
import {createHash} from 'node:crypto';
import {type StreamOrigin, type StreamOriginEntry} from '../../protocol/fleet-messages.js';

/** Number of bytes of the hash that identify a stream: a number holds them exactly, and among 100,000 streams a lookup finds a wrong one with a probability of 1 in 2.8 billion. */
const keyBytes = 6;
/** Most streams that are remembered; the oldest ones are dropped first. */
const maxStreams = 200_000;

/** Identifies a stream by the client's attempt that began it. The account is part of it, so that nobody finds the streams of another account. */
export function computeStreamKey(account: string | undefined, requestId: string): number {
	// JSON keeps the fields apart, whatever they contain.
	return createHash('md5').update(JSON.stringify([account, requestId])).digest().readUIntBE(0, keyBytes);
}

/** The origins of running streams, as far as this daemon knows them. */
export class StreamOrigins {
	/** Number of entries that were ever added; it tells whether there are new ones. */
	added = 0;
	/** By key of the stream, the one that was noted longest ago first. */
	private readonly entries = new Map<number, {origin: StreamOrigin; atMs: number}>();
	private pending: StreamOriginEntry[] = [];

	/** @param retentionMs Returns how long a stream is remembered, in milliseconds: longer than streams and their clients' retries last. */
	constructor(private readonly retentionMs: () => number) {}

	get size(): number {
		return this.entries.size;
	}

	/** Records a stream whose events this daemon delivers, and which other daemons must learn of. */
	note(key: number, origin: StreamOrigin, nowMs: number): void {
		this.set(key, origin, nowMs);
		this.pending.push([key, origin]);
	}

	/** Records streams that another daemon or the store told of; with `shouldForward` other daemons learn of the new ones from this one. */
	learn(entries: StreamOriginEntry[], shouldForward: boolean, nowMs: number): void {
		for (const [key, origin] of entries) {
			if (this.entries.has(key)) {
				continue;
			}

			this.set(key, origin, nowMs);
			if (shouldForward) {
				this.pending.push([key, origin]);
			}
		}
	}

	/** Returns where a stream began; undefined if that is not known. */
	originOf(key: number, nowMs: number): StreamOrigin | undefined {
		this.dropExpired(nowMs);
		return this.entries.get(key)?.origin;
	}

	/** Returns the entries that other daemons must learn of, once. */
	takePending(): StreamOriginEntry[] {
		const {pending} = this;
		this.pending = [];
		return pending;
	}

	/** Returns all entries, for the record in the store. */
	all(nowMs: number): StreamOriginEntry[] {
		this.dropExpired(nowMs);
		return [...this.entries].map(([key, {origin}]) => [key, origin]);
	}

	private set(key: number, origin: StreamOrigin, nowMs: number): void {
		this.entries.delete(key);
		this.entries.set(key, {origin, atMs: nowMs});
		this.added++;
		if (this.entries.size > maxStreams) {
			this.entries.delete(this.entries.keys().next().value!);
		}
	}

	private dropExpired(nowMs: number): void {
		const retentionMs = this.retentionMs();
		for (const [key, {atMs}] of this.entries) {
			if (nowMs - atMs <= retentionMs) {
				return;
			}

			this.entries.delete(key);
		}
	}
}
