/**
 * Which daemon performs the singleton duties. Claims are records on a topic of the
 * platform's store, each appended only if the topic ends where the claimer read it, so log
 * order decides and a claim's offset is its fencing token. The holder acts only while a
 * read confirms that its claim is the newest; a new holder keeps quiet until its
 * predecessor must have noticed.
 *
 * Only the holder reads the topic; the others hear of it from their peers and read when it
 * falls silent. At rest that is one read a second for the whole system.
 */
import {Buffer} from 'node:buffer';
import {type RecordBatch, type Store, Topic} from '../protocol/platform.js';
import {type SteadyClock} from '../clock.js';
import {createLogger} from '../log.js';
import {type HolderNews} from '../protocol/fleet-messages.js';
import {fieldsOf, readOwnRecord} from './own-record.js';

const log = createLogger('lease');

/** The holder acts while the read that confirmed its claim was sent at most this long ago, in milliseconds. */
const confirmedMs = 1500;
/** How long a confirming read waits, in milliseconds. */
const readWaitMs = 600;
/** Time that the answer to a read may take beyond its wait, in milliseconds. */
const answerMs = 900;
/** Records of one read, in bytes: hundreds of claims and usage reports. */
const mostBytes = 1024 * 1024;
/** Added to the lease before a new holder acts, in milliseconds: with reads confirmed for 1.5 s, the same daemon cannot act on both sides of another within a lease. */
const quietMarginMs = 500;
/** Silence of the holder after which the first other claims, in milliseconds; eight rounds of messages. */
const silenceMs = 2000;
/** Each further daemon in rank waits this much longer, in milliseconds. */
const rankStepMs = 300;
/** Silence after which a daemon claims although it cannot hear most others, in milliseconds. */
const isolatedMs = 12_000;

/** Keys of the topic's records. */
export enum DutyKey {
	Claim = 'claim',
	Usage = 'usage',
}

/** A claim as it is written. */
type WrittenClaim = {holder: string};

type Claim = {holder: string; token: number; seenAtMs: number};

function isWrittenClaim(value: unknown): value is WrittenClaim {
	return typeof fieldsOf(value).holder === 'string';
}

/** What the decision to claim is made from. */
export type ClaimInputs = {
	/** Position of this daemon among those that may claim; undefined for one that leaves it to the relays, which hear of all daemons first. */
	rank: number | undefined;
	hearsMost: boolean;
	/** When the holder was last heard of; undefined before the first time. */
	holderHeardAtMs: number | undefined;
	startedAtMs: number;
};

/** Whether this daemon should try to claim the duties. */
export function shouldClaim(inputs: ClaimInputs, nowMs: number): boolean {
	const {rank, hearsMost, holderHeardAtMs, startedAtMs} = inputs;
	if (rank === undefined) {
		return false;
	}

	const silentForMs = nowMs - (holderHeardAtMs ?? startedAtMs);
	if (!hearsMost) {
		return silentForMs > isolatedMs;
	}

	// Where no holder was ever heard of, the first in rank need not wait.
	const neededMs = holderHeardAtMs === undefined ? rankStepMs : silenceMs;
	return silentForMs > neededMs + (rank * rankStepMs);
}

/** This daemon's part in the election. */
export class DutyLease {
	private next: number | undefined;
	private newest: Claim | undefined;
	private confirmedAtMs = Number.NEGATIVE_INFINITY;
	private holderHeardAtMs: number | undefined;
	private quietUntilMs = 0;
	private wasActing = false;
	private lastUsage: Uint8Array | undefined;

	/**
	 * @param holder Unique to this start of this daemon.
	 * @param leaseMs Two daemons may not act by turns within this time.
	 */
	constructor(
		private readonly store: Store,
		private readonly holder: string,
		private readonly leaseMs: number,
		private readonly clock: SteadyClock,
	) {}

	/** The newest record of a decided usage report. */
	get usageRecord(): Uint8Array | undefined {
		return this.lastUsage;
	}

	/** The fencing token, while this daemon may act. */
	tokenAt(nowMs: number): number | undefined {
		const isActing = this.isConfirmedAt(nowMs) && nowMs >= this.quietUntilMs;
		if (isActing !== this.wasActing) {
			this.wasActing = isActing;
			log.info(isActing ? 'acting.' : 'not acting.', {token: this.newest?.token, holder: this.newest?.holder, viewAgeMs: Math.round(nowMs - this.confirmedAtMs)});
		}

		return isActing ? this.newest!.token : undefined;
	}

	/** Whether a read confirmed not long ago that this daemon's claim is the newest. */
	isConfirmedAt(nowMs: number): boolean {
		return this.isHolder && nowMs - this.confirmedAtMs <= confirmedMs;
	}

	/** What this daemon tells its peers of the holder. */
	news(nowMs: number): HolderNews | undefined {
		if (this.isConfirmedAt(nowMs)) {
			return {token: this.newest!.token, ageMs: 0};
		}

		return this.holderHeardAtMs === undefined || !this.newest || this.isHolder ? undefined : {token: this.newest.token, ageMs: Math.round(nowMs - this.holderHeardAtMs)};
	}

	/** Takes what a peer tells of the holder. */
	hear(news: HolderNews, nowMs: number): void {
		if (news.token < (this.newest?.token ?? 0)) {
			return;
		}

		if (news.token > (this.newest?.token ?? 0)) {
			// The record itself is read when this daemon claims.
			this.newest = {holder: '', token: news.token, seenAtMs: nowMs};
		}

		this.holderHeardAtMs = Math.max(this.holderHeardAtMs ?? Number.NEGATIVE_INFINITY, nowMs - news.ageMs);
	}

	/** One step: confirms the claim while it is this daemon's, or claims when `inputs` say so. */
	async step(inputs: Omit<ClaimInputs, 'holderHeardAtMs'>, signal: AbortSignal): Promise<void> {
		if (this.isHolder) {
			await this.refresh(readWaitMs, signal);
			return;
		}

		if (!shouldClaim({...inputs, holderHeardAtMs: this.holderHeardAtMs}, this.clock.now())) {
			return;
		}

		const tokenBefore = this.newest?.token ?? 0;
		await this.refresh(0, signal);
		if (this.newest && this.newest.token > tokenBefore) {
			// Somebody claimed meanwhile, or long before this daemon started: it gets the time to be heard.
			this.holderHeardAtMs = this.clock.now();
			return;
		}

		await this.claim(signal);
	}

	/**
	 * Appends a decided usage report, unless the topic has moved on.
	 *
	 * @returns Whether it was appended.
	 */
	async recordUsage(value: Uint8Array, signal: AbortSignal): Promise<boolean> {
		const at = this.next;
		const result = await this.store.append(Topic.Duties, {key: DutyKey.Usage, value}, at, signal);
		if (result.kind === 'conflict') {
			return false;
		}

		this.lastUsage = value;
		// The confirming read may have passed this record already.
		this.next = Math.max(this.next ?? 0, result.offset + 1);
		return true;
	}

	/** Gives the duties up: the next confirming read decides again. */
	doubt(): void {
		this.confirmedAtMs = Number.NEGATIVE_INFINITY;
	}

	private get isHolder(): boolean {
		return this.newest?.holder === this.holder;
	}

	private async claim(signal: AbortSignal): Promise<void> {
		const sentAtMs = this.clock.now();
		const written: WrittenClaim = {holder: this.holder};
		const value = Buffer.from(JSON.stringify(written));
		const result = await this.store.append(Topic.Duties, {key: DutyKey.Claim, value}, this.next, signal);
		if (result.kind === 'conflict') {
			log.info('claim lost.', {at: this.next, end: result.end});
			this.holderHeardAtMs = this.clock.now();
			return;
		}

		this.takeClaim(this.holder, result.offset, this.clock.now());
		this.next = result.offset + 1;
		this.confirmedAtMs = sentAtMs;
		log.info('claimed.', {token: this.newest?.token, quietMs: Math.round(this.quietUntilMs - this.clock.now())});
	}

	private async refresh(waitMs: number, signal: AbortSignal): Promise<void> {
		const sentAtMs = this.clock.now();
		let batch: RecordBatch | undefined;
		if (this.next !== undefined) {
			batch = await this.store.read(Topic.Duties, this.next, {waitMs, answerMs, mostBytes}, signal);
		}

		batch ??= await this.store.newest(Topic.Duties, answerMs, signal);
		for (const record of batch.records) {
			if (record.key === String(DutyKey.Claim) && record.value) {
				const claim = readOwnRecord(record.value, isWrittenClaim, 'claim of the duties');
				if (claim) {
					this.takeClaim(claim.holder, record.offset, this.clock.now());
				}
			} else if (record.key === String(DutyKey.Usage)) {
				this.lastUsage = record.value;
			}
		}

		this.next = Math.max(this.next ?? 0, batch.next);
		// A claim may be among the records that are still to be read.
		this.confirmedAtMs = batch.next < batch.end ? this.confirmedAtMs : sentAtMs;
	}

	private takeClaim(holder: string, offset: number, nowMs: number): void {
		const token = offset + 1;
		if (token < (this.newest?.token ?? 0) || (token === this.newest?.token && holder === this.newest.holder)) {
			return;
		}

		if (this.isHolder && holder !== this.holder) {
			log.info('another daemon claimed.', {holder, token, own: this.newest?.token});
			this.holderHeardAtMs = nowMs;
		}

		this.newest = {holder, token, seenAtMs: nowMs};
		// Nobody can have acted before the first claim there is.
		this.quietUntilMs = offset === 0 ? nowMs : nowMs + this.leaseMs + quietMarginMs;
	}
}
