/**
 * The batch of the engine stand-in: continuous batching on a token clock. Every tick
 * each running sequence either prefills up to `prefillTokensPerTick` prompt tokens or
 * emits one output token. It keeps a prefix cache of limited size, holds the KV cache
 * of sequences whose caller went away or that were exported, and takes KV imports.
 */
import {createHash} from 'node:crypto';
import {type EngineChunk, type EngineCompletionRequest, type KvSnapshot} from '../protocol/engine-api.js';
import {promptTokens} from '../protocol/tokens.js';
import {tokenAt} from './engine-output.js';

/** How the batch runs; times in milliseconds. */
export type BatchOptions = {
	prefillTokensPerTick: number;
	maxBatch: number;
	cacheBlocks: number;
	blockTokens: number;
	/** How long the KV cache of an abandoned or exported sequence is kept. */
	kvHoldMs: number;
};

/** Why a sequence's stream ended. */
export enum SequenceEnd {
	Finished = 'finished',
	/** Its KV cache was exported; the stream goes on elsewhere. */
	Exported = 'exported',
	Cancelled = 'cancelled',
}

/** Where a sequence sends its chunks. */
export type SequenceSink = {
	chunk: (chunk: EngineChunk) => void;
	end: (reason: SequenceEnd) => void;
};

/** A sequence in the batch or waiting for it. */
export class Sequence {
	next: number;
	prefillLeft = 0;
	cachedTokens = 0;
	/** Tokens this run had to compute before its first output. */
	prefilled = 0;
	started = false;
	done = false;

	constructor(
		readonly id: string,
		readonly request: EngineCompletionRequest,
		readonly arrival: number,
		readonly sink: SequenceSink,
	) {
		this.next = request.resume_from ?? 0;
	}

	get priority(): number {
		return this.request.priority ?? 0;
	}
}

/** A least-recently-used set of prompt-prefix block hashes. */
class PrefixCache {
	private readonly blocks = new Set<string>();

	constructor(private readonly capacity: number) {}

	get size(): number {
		return this.blocks.size;
	}

	/** Returns how many leading blocks are cached, then caches all of them. */
	admit(hashes: string[]): number {
		let hits = 0;
		while (hits < hashes.length && this.blocks.has(hashes[hits])) {
			hits++;
		}

		for (const hash of hashes) {
			this.blocks.delete(hash);
			this.blocks.add(hash);
		}

		while (this.blocks.size > this.capacity) {
			this.blocks.delete(this.blocks.values().next().value!);
		}

		return hits;
	}

	clear(): void {
		this.blocks.clear();
	}
}

function blockHashes(words: string[], blockTokens: number): string[] {
	const hashes: string[] = [];
	const hash = createHash('sha256');
	for (let start = 0; start + blockTokens <= words.length; start += blockTokens) {
		hash.update(words.slice(start, start + blockTokens).join(' '));
		hashes.push(hash.copy().digest('hex'));
	}

	return hashes;
}

type HeldKv = KvSnapshot & {untilMs: number};

/** The sequences of one engine. */
export class Batch {
	outputTokens = 0;
	prefillTokens = 0;
	private arrivals = 0;
	private readonly waiting: Sequence[] = [];
	private readonly running = new Map<string, Sequence>();
	private readonly cache: PrefixCache;
	private readonly held = new Map<string, HeldKv>();

	constructor(private readonly options: BatchOptions) {
		this.cache = new PrefixCache(options.cacheBlocks);
	}

	get runningCount(): number {
		return this.running.size;
	}

	get waitingCount(): number {
		return this.waiting.length;
	}

	get cacheBlocksUsed(): number {
		return this.cache.size;
	}

	/** Queues a request; a sequence with the same id is superseded. */
	submit(id: string, request: EngineCompletionRequest, sink: SequenceSink, nowMs: number): Sequence {
		const older = this.find(id);
		if (older) {
			this.abandon(older, nowMs);
			older.sink.end(SequenceEnd.Cancelled);
		}

		const sequence = new Sequence(id, request, this.arrivals++, sink);
		this.waiting.push(sequence);
		return sequence;
	}

	/** Stops a sequence whose caller went away and holds its KV cache for a reconnect. */
	abandon(sequence: Sequence, nowMs: number): void {
		if (!sequence.done) {
			this.hold(sequence, nowMs);
			this.remove(sequence);
		}
	}

	/** Stops a sequence; returns it if it was still there. */
	cancel(id: string): Sequence | undefined {
		const sequence = this.find(id);
		if (sequence) {
			this.remove(sequence);
			sequence.sink.end(SequenceEnd.Cancelled);
		}

		return sequence;
	}

	/** Stops a sequence, ends its stream, and holds its KV cache for an import elsewhere. */
	export(id: string, nowMs: number): KvSnapshot | undefined {
		const sequence = this.find(id);
		if (!sequence) {
			return undefined;
		}

		const snapshot = this.hold(sequence, nowMs);
		this.remove(sequence);
		sequence.sink.end(SequenceEnd.Exported);
		return snapshot;
	}

	/** The KV cache held for a request, if any. */
	heldKv(id: string, nowMs: number): KvSnapshot | undefined {
		const held = this.held.get(id);
		return held && held.untilMs > nowMs ? {requestId: held.requestId, promptHash: held.promptHash, tokens: held.tokens} : undefined;
	}

	/** Takes a KV cache exported by another engine. */
	import(snapshot: KvSnapshot, nowMs: number): void {
		this.held.set(snapshot.requestId, {...snapshot, untilMs: nowMs + this.options.kvHoldMs});
	}

	/** Drops everything, as a loss of power does. */
	clear(): void {
		for (const sequence of [...this.running.values(), ...this.waiting]) {
			this.remove(sequence);
		}

		this.held.clear();
		this.cache.clear();
	}

	/** Advances the token clock by one tick. */
	tick(nowMs: number): void {
		this.admit(nowMs);
		for (const sequence of this.running.values()) {
			if (sequence.prefillLeft > 0) {
				sequence.prefillLeft = Math.max(0, sequence.prefillLeft - this.options.prefillTokensPerTick);
			} else {
				this.emitToken(sequence);
			}
		}

		for (const [id, held] of this.held) {
			if (held.untilMs <= nowMs) {
				this.held.delete(id);
			}
		}
	}

	private emitToken(sequence: Sequence): void {
		const {request} = sequence;
		const index = sequence.next++;
		const last = sequence.next >= request.max_tokens;
		const first = index === (request.resume_from ?? 0);
		this.outputTokens++;
		sequence.sink.chunk({
			id: sequence.id,
			object: 'text_completion',
			model: request.model,
			choices: [{index: 0, text: tokenAt(request.prompt, index), finish_reason: last ? 'length' : null}],
			seq: index,
			...(first ? {prefilled: sequence.prefilled} : {}),
		});
		if (last) {
			this.remove(sequence);
			sequence.sink.end(SequenceEnd.Finished);
		}
	}

	private admit(nowMs: number): void {
		this.waiting.sort((a, b) => a.priority - b.priority || a.arrival - b.arrival);
		while (this.running.size < this.options.maxBatch && this.waiting.length > 0) {
			const sequence = this.waiting.shift()!;
			const words = promptTokens(sequence.request.prompt);
			const hits = this.cache.admit(blockHashes(words, this.options.blockTokens));
			sequence.cachedTokens = hits * this.options.blockTokens;
			const total = words.length + sequence.next;
			const kv = this.heldKv(sequence.id, nowMs);
			const kvTokens = kv?.promptHash === promptHash(sequence.request.prompt) ? Math.min(kv.tokens, total) : 0;
			this.held.delete(sequence.id);
			sequence.prefillLeft = total - Math.max(kvTokens, sequence.cachedTokens);
			sequence.prefilled = sequence.prefillLeft;
			sequence.started = true;
			this.prefillTokens += sequence.prefillLeft;
			this.running.set(sequence.id, sequence);
		}
	}

	private hold(sequence: Sequence, nowMs: number): KvSnapshot {
		const computed = sequence.started ? promptTokens(sequence.request.prompt).length + sequence.next - sequence.prefillLeft : 0;
		const snapshot = {requestId: sequence.id, promptHash: promptHash(sequence.request.prompt), tokens: computed};
		this.held.set(sequence.id, {...snapshot, untilMs: nowMs + this.options.kvHoldMs});
		return snapshot;
	}

	private find(id: string): Sequence | undefined {
		return this.running.get(id) ?? this.waiting.find(candidate => candidate.id === id);
	}

	private remove(sequence: Sequence): void {
		sequence.done = true;
		if (this.running.get(sequence.id) === sequence) {
			this.running.delete(sequence.id);
		}

		const index = this.waiting.indexOf(sequence);
		if (index !== -1) {
			this.waiting.splice(index, 1);
		}
	}
}

function promptHash(prompt: string): string {
	return createHash('sha256').update(prompt).digest('hex');
}
