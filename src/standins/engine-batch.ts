/**
 * The scheduler of the engine stand-in: continuous batching in fixed time steps (ticks). In
 * every tick each running sequence either prefills up to `prefillTokensPerTick` prompt tokens
 * or emits one output token. The scheduler has a prefix cache of limited size, holds the KV
 * caches of sequences whose caller disconnected or that were exported, and imports KV caches.
 */
import {createHash} from 'node:crypto';
import {type EngineChunk, type EngineCompletionRequest, type KvSnapshot} from '../protocol/engine-api.js';
import {tokenizePrompt} from '../protocol/tokens.js';
import {generateToken} from './engine-output.js';

/** Options of the scheduler. */
export type BatchOptions = {
	/** Prompt tokens that a sequence prefills per tick. */
	prefillTokensPerTick: number;
	/** Maximum number of running sequences. */
	maxBatch: number;
	/** Size of the prefix cache, in blocks of `blockTokens`. */
	cacheBlocks: number;
	blockTokens: number;
	/** How long the KV cache of an abandoned or exported sequence is held, in milliseconds. */
	kvHoldMs: number;
};

/** The reasons why a sequence's stream ended. */
export enum SequenceEnd {
	Finished = 'finished',
	/** The KV cache was exported; the sequence continues on another engine. */
	Exported = 'exported',
	Cancelled = 'cancelled',
}

/** Callbacks that receive the chunks of a sequence and the end of its stream. */
export type SequenceSink = {
	onChunk: (chunk: EngineChunk) => void;
	onEnd: (reason: SequenceEnd) => void;
};

/** A sequence that is running or waiting. */
export class Sequence {
	/** Index of the next output token, counted from the start of the whole answer. */
	nextIndex: number;
	remainingPrefillTokens = 0;
	/** Prompt tokens found in the prefix cache. */
	cachedTokens = 0;
	/** Tokens that this run had to compute before its first output token. */
	prefillTokens = 0;
	/** Whether the sequence was admitted to the running batch. */
	hasStarted = false;
	isRemoved = false;

	constructor(
		readonly id: string,
		readonly request: EngineCompletionRequest,
		readonly arrivalIndex: number,
		readonly sink: SequenceSink,
	) {
		this.nextIndex = request.resume_from ?? 0;
	}

	/** The priority of the request; lower numbers run first. */
	get priority(): number {
		return this.request.priority ?? 0;
	}
}

/** A cache of prompt-prefix block hashes with least-recently-used eviction. */
class PrefixCache {
	private readonly blocks = new Set<string>();

	constructor(private readonly capacity: number) {}

	get size(): number {
		return this.blocks.size;
	}

	/** Returns how many leading blocks are cached, then adds all of them to the cache. */
	matchAndInsert(hashes: string[]): number {
		let hitBlocks = 0;
		while (hitBlocks < hashes.length && this.blocks.has(hashes[hitBlocks])) {
			hitBlocks++;
		}

		for (const hash of hashes) {
			this.blocks.delete(hash);
			this.blocks.add(hash);
		}

		while (this.blocks.size > this.capacity) {
			this.blocks.delete(this.blocks.values().next().value!);
		}

		return hitBlocks;
	}

	clear(): void {
		this.blocks.clear();
	}
}

/** Hashes each full block of tokens together with all blocks before it. */
function hashBlocks(tokens: string[], blockTokens: number): string[] {
	const hashes: string[] = [];
	const hash = createHash('sha256');
	for (let start = 0; start + blockTokens <= tokens.length; start += blockTokens) {
		hash.update(tokens.slice(start, start + blockTokens).join(' '));
		hashes.push(hash.copy().digest('hex'));
	}

	return hashes;
}

type HeldKv = KvSnapshot & {untilMs: number};

/** Schedules the sequences of one engine. */
export class BatchScheduler {
	/** Output tokens generated so far. */
	outputTokens = 0;
	/** Tokens computed by prefill so far, without those taken from a cache. */
	prefillTokens = 0;
	private arrivalCount = 0;
	private readonly waiting: Sequence[] = [];
	private readonly running = new Map<string, Sequence>();
	private readonly cache: PrefixCache;
	private readonly heldKvById = new Map<string, HeldKv>();

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

	/** Queues a request; an existing sequence with the same id is cancelled, its KV cache held. */
	submit(id: string, request: EngineCompletionRequest, sink: SequenceSink, nowMs: number): Sequence {
		const previous = this.findSequence(id);
		if (previous) {
			this.abandonSequence(previous, nowMs);
			previous.sink.onEnd(SequenceEnd.Cancelled);
		}

		const sequence = new Sequence(id, request, this.arrivalCount++, sink);
		this.waiting.push(sequence);
		return sequence;
	}

	/** Stops a sequence whose caller disconnected and holds its KV cache for a reconnect. */
	abandonSequence(sequence: Sequence, nowMs: number): void {
		if (!sequence.isRemoved) {
			this.holdKv(sequence, nowMs);
			this.removeSequence(sequence);
		}
	}

	/** Stops a sequence and returns it; undefined when there is none with this id. */
	cancelSequence(id: string): Sequence | undefined {
		const sequence = this.findSequence(id);
		if (sequence) {
			this.removeSequence(sequence);
			sequence.sink.onEnd(SequenceEnd.Cancelled);
		}

		return sequence;
	}

	/**
	 * Stops a sequence, ends its stream, and holds its KV cache for import by another engine.
	 * Returns undefined when there is no sequence with this id.
	 */
	exportKv(id: string, nowMs: number): KvSnapshot | undefined {
		const sequence = this.findSequence(id);
		if (!sequence) {
			return undefined;
		}

		const snapshot = this.holdKv(sequence, nowMs);
		this.removeSequence(sequence);
		sequence.sink.onEnd(SequenceEnd.Exported);
		return snapshot;
	}

	/** Returns the KV cache held for a request, if there is one that has not expired. */
	findHeldKv(id: string, nowMs: number): KvSnapshot | undefined {
		const held = this.heldKvById.get(id);
		return held && held.untilMs > nowMs ? {requestId: held.requestId, promptHash: held.promptHash, tokens: held.tokens} : undefined;
	}

	/** Holds a KV cache that another engine exported. */
	importKv(snapshot: KvSnapshot, nowMs: number): void {
		this.heldKvById.set(snapshot.requestId, {...snapshot, untilMs: nowMs + this.options.kvHoldMs});
	}

	/** Drops all sequences and caches without notice to callers, as a power loss does. */
	clear(): void {
		for (const sequence of [...this.running.values(), ...this.waiting]) {
			this.removeSequence(sequence);
		}

		this.heldKvById.clear();
		this.cache.clear();
	}

	/** Runs one tick: admits waiting sequences, advances the running ones, drops expired KV caches. */
	tick(nowMs: number): void {
		this.admitWaiting(nowMs);
		for (const sequence of this.running.values()) {
			if (sequence.remainingPrefillTokens > 0) {
				sequence.remainingPrefillTokens = Math.max(0, sequence.remainingPrefillTokens - this.options.prefillTokensPerTick);
			} else {
				this.emitToken(sequence);
			}
		}

		for (const [id, held] of this.heldKvById) {
			if (held.untilMs <= nowMs) {
				this.heldKvById.delete(id);
			}
		}
	}

	private emitToken(sequence: Sequence): void {
		const {request} = sequence;
		const index = sequence.nextIndex++;
		const isLast = sequence.nextIndex >= request.max_tokens;
		const isFirst = index === (request.resume_from ?? 0);
		this.outputTokens++;
		sequence.sink.onChunk({
			id: sequence.id,
			object: 'text_completion',
			model: request.model,
			choices: [{index: 0, text: generateToken(request.prompt, index), finish_reason: isLast ? 'length' : null}],
			seq: index,
			...(isFirst ? {prefilled: sequence.prefillTokens} : {}),
		});
		if (isLast) {
			this.removeSequence(sequence);
			sequence.sink.onEnd(SequenceEnd.Finished);
		}
	}

	private admitWaiting(nowMs: number): void {
		this.waiting.sort((a, b) => a.priority - b.priority || a.arrivalIndex - b.arrivalIndex);
		while (this.running.size < this.options.maxBatch && this.waiting.length > 0) {
			const sequence = this.waiting.shift()!;
			const tokens = tokenizePrompt(sequence.request.prompt);
			const hitBlocks = this.cache.matchAndInsert(hashBlocks(tokens, this.options.blockTokens));
			sequence.cachedTokens = hitBlocks * this.options.blockTokens;
			const totalTokens = tokens.length + sequence.nextIndex;
			const kv = this.findHeldKv(sequence.id, nowMs);
			const kvTokens = kv?.promptHash === hashPrompt(sequence.request.prompt) ? Math.min(kv.tokens, totalTokens) : 0;
			this.heldKvById.delete(sequence.id);
			sequence.remainingPrefillTokens = totalTokens - Math.max(kvTokens, sequence.cachedTokens);
			sequence.prefillTokens = sequence.remainingPrefillTokens;
			sequence.hasStarted = true;
			this.prefillTokens += sequence.remainingPrefillTokens;
			this.running.set(sequence.id, sequence);
		}
	}

	private holdKv(sequence: Sequence, nowMs: number): KvSnapshot {
		const computedTokens = sequence.hasStarted ? tokenizePrompt(sequence.request.prompt).length + sequence.nextIndex - sequence.remainingPrefillTokens : 0;
		const snapshot = {requestId: sequence.id, promptHash: hashPrompt(sequence.request.prompt), tokens: computedTokens};
		this.heldKvById.set(sequence.id, {...snapshot, untilMs: nowMs + this.options.kvHoldMs});
		return snapshot;
	}

	private findSequence(id: string): Sequence | undefined {
		return this.running.get(id) ?? this.waiting.find(candidate => candidate.id === id);
	}

	private removeSequence(sequence: Sequence): void {
		sequence.isRemoved = true;
		if (this.running.get(sequence.id) === sequence) {
			this.running.delete(sequence.id);
		}

		const index = this.waiting.indexOf(sequence);
		if (index !== -1) {
			this.waiting.splice(index, 1);
		}
	}
}

function hashPrompt(prompt: string): string {
	return createHash('sha256').update(prompt).digest('hex');
}
