/**
 * Elects the daemon that performs the singleton duties. A claim is a record on a topic of
 * the platform's store. It is appended only if the topic still ends where the claiming
 * daemon last read it, so log order decides between concurrent claims, and the fencing
 * token of a claim follows from its offset. The holder acts only while a recent read
 * confirms that its claim is the newest. A new holder waits until its predecessor's last
 * confirmation must have expired.
 *
 * Only the holder polls the topic. The other daemons learn from their peers' messages that
 * the holder is alive, and read the topic when it becomes unresponsive. In the steady state
 * the whole system makes one read per second.
 *
 * A store that is restored from a copy may have lost a claim and show an older one as the
 * newest. So claims count only in the era in which they were made: after a restore the duties
 * are claimed again, and the new holder waits as after any other claim.
 */
import {Buffer} from 'node:buffer';
import {
	type ReadLimits, type RecordBatch, type Store, Topic,
} from '../protocol/platform.js';
import {type SteadyClock} from '../clock.js';
import {createLogger} from '../log.js';
import {type HolderUpdate} from '../protocol/fleet-messages.js';
import {type LogPosition, toSequenceNumber} from '../protocol/log-position.js';
import {fieldsOf, decodeDaemonRecord} from './daemon-record.js';

const log = createLogger('lease');

/** How long a confirmation of the claim stays valid, counted from when the read was sent, in milliseconds. */
const confirmationValidMs = 1500;
/** How long the store may hold a confirming read open to wait for new records, in milliseconds. */
const longPollMs = 600;
/** Time allowed for the answer to a read in addition to its wait, in milliseconds. */
const answerTimeoutMs = 900;
/** Time allowed for the answer to a read that renews a lost confirmation, in milliseconds: a read sent just before the store returns must not delay the next one until another daemon claims. */
const renewalTimeoutMs = 500;
/** Size of the records of one read, in bytes; enough for hundreds of claims and usage reports. */
const maxReadBytes = 1024 * 1024;
/** Delay of a new holder's first action in addition to the lease, in milliseconds. Together with confirmations that are valid for 1.5 s, it prevents a daemon from acting both before and after another one within the time of one lease. */
const takeoverMarginMs = 500;
/** Time without word of the holder after which the first daemon in rank claims, in milliseconds; eight rounds of messages. */
const holderTimeoutMs = 2000;
/** Additional time that each further daemon in rank waits, in milliseconds. */
const rankDelayMs = 300;
/** Time without word of the holder after which a daemon claims although most of its peers are silent, in milliseconds. */
const isolatedTimeoutMs = 12_000;

/** Time after the store's return during which only the holder may confirm its claim, in milliseconds: the renewal of its confirmation, and two rounds of messages. A claim in that time would stop the duties for {@link takeoverMarginMs} and a lease although the holder is alive. */
const holderReturnMs = 1000;

/** Keys of the topic's records. */
export enum DutyKey {
	Claim = 'claim',
	Usage = 'usage',
	Rollouts = 'rollouts',
}

/** The stored form of a claim, with the era whose end the claiming daemon had read; without one it is of the first. */
type ClaimRecord = {holder: string; era?: number};

/** A claim that was read or reported; the fencing token follows from its position, and rises over eras. */
type Claim = {holder: string; token: number};

function isClaimRecord(value: unknown): value is ClaimRecord {
	const {holder, era} = fieldsOf(value);
	return typeof holder === 'string' && (era === undefined || Number.isSafeInteger(era));
}

/** The inputs of the decision whether to claim the duties. */
export type ClaimInputs = {
	/** Position of this daemon among those that may claim; undefined for a daemon that leaves claims to the relays, which receive all daemons' updates first. */
	rank: number | undefined;
	/** Whether at least half of the recently seen daemons are responsive. */
	isMajorityResponsive: boolean;
	/** When the holder was last known to be alive; undefined if it never was. */
	holderLastSeenAtMs: number | undefined;
	startedAtMs: number;
	/** How long the store has answered this daemon's reads without a failure, in milliseconds. */
	storeAnsweringForMs: number;
};

/** Whether this daemon should try to claim the duties. */
export function shouldClaim(inputs: ClaimInputs, nowMs: number): boolean {
	const {rank, isMajorityResponsive, holderLastSeenAtMs, startedAtMs, storeAnsweringForMs} = inputs;
	const isHolderReturning = holderLastSeenAtMs !== undefined && storeAnsweringForMs < holderReturnMs;
	if (rank === undefined || isHolderReturning) {
		return false;
	}

	const silentForMs = nowMs - (holderLastSeenAtMs ?? startedAtMs);
	if (!isMajorityResponsive) {
		return silentForMs > isolatedTimeoutMs;
	}

	// If no holder was ever seen, the first daemon in rank need not wait for one to time out.
	const timeoutMs = holderLastSeenAtMs === undefined ? rankDelayMs : holderTimeoutMs;
	return silentForMs > timeoutMs + (rank * rankDelayMs);
}

/** This daemon's participation in the election. */
export class DutyLease {
	/** Position of the first record that was not read. */
	private next: LogPosition | undefined;
	private newestClaim: Claim | undefined;
	/** When the request that last confirmed the newest claim was sent. */
	private confirmedAtMs = Number.NEGATIVE_INFINITY;
	private holderLastSeenAtMs: number | undefined;
	/** When this daemon may start to act on its claim. */
	private mayActFromMs = 0;
	private wasActing = false;
	/** The newest committed record of each key. */
	private committed = new Map<string, Uint8Array>();
	/** Whether this daemon held the duties until the store was restored: it knows best what was committed, and claims first. */
	private isFormerHolder = false;
	/** Whether what it had committed must be written again. */
	private isRewriteDue = false;

	/**
	 * @param holder An id that is unique to this start of this daemon.
	 * @param leaseMs Time after an action of one holder during which no other may act, in milliseconds.
	 */
	constructor(
		private readonly store: Store,
		private readonly holder: string,
		private readonly leaseMs: number,
		private readonly clock: SteadyClock,
	) {}

	/** Returns the newest record that a holder committed under a key. */
	record(key: Exclude<DutyKey, DutyKey.Claim>): Uint8Array | undefined {
		return this.committed.get(key);
	}

	/** The era of the store that this daemon last read; undefined before its first read. */
	get era(): number | undefined {
		return this.next?.era;
	}

	/** Returns the fencing token while this daemon may act, otherwise undefined. */
	tokenAt(nowMs: number): number | undefined {
		const isActing = this.isConfirmedAt(nowMs) && nowMs >= this.mayActFromMs;
		if (isActing !== this.wasActing) {
			this.wasActing = isActing;
			log.info(isActing ? 'started to perform the duties.' : 'stopped performing the duties.', {
				token: this.newestClaim?.token, holder: this.newestClaim?.holder, viewAgeMs: Math.round(nowMs - this.confirmedAtMs),
			});
		}

		return isActing ? this.newestClaim!.token : undefined;
	}

	/** Whether a recent read confirmed that this daemon's claim is the newest. */
	isConfirmedAt(nowMs: number): boolean {
		return this.isHolder && nowMs - this.confirmedAtMs <= confirmationValidMs;
	}

	/** Creates the update about the holder that this daemon sends to its peers; undefined when it has seen no holder, or when its own claim lacks a recent confirmation. */
	createHolderUpdate(nowMs: number): HolderUpdate | undefined {
		if (this.isConfirmedAt(nowMs)) {
			return {token: this.newestClaim!.token, ageMs: 0};
		}

		return this.holderLastSeenAtMs === undefined || !this.newestClaim || this.isHolder ? undefined : {token: this.newestClaim.token, ageMs: Math.round(nowMs - this.holderLastSeenAtMs)};
	}

	/** Applies the update about the holder that a peer sent. */
	applyHolderUpdate(update: HolderUpdate, nowMs: number): void {
		if (update.token < (this.newestClaim?.token ?? 0)) {
			return;
		}

		if (update.token > (this.newestClaim?.token ?? 0)) {
			// The holder's id is unknown until this daemon reads the record, which it does before it claims.
			this.newestClaim = {holder: '', token: update.token};
			this.isFormerHolder = false;
			this.isRewriteDue = false;
		}

		this.holderLastSeenAtMs = Math.max(this.holderLastSeenAtMs ?? Number.NEGATIVE_INFINITY, nowMs - update.ageMs);
	}

	/** Runs one step of the election: reads the topic to confirm this daemon's claim if it is the newest, otherwise claims if {@link shouldClaim} allows it. */
	async step(inputs: Omit<ClaimInputs, 'holderLastSeenAtMs'>, signal: AbortSignal): Promise<void> {
		if (this.isHolder) {
			const isConfirmed = this.isConfirmedAt(this.clock.now());
			await this.readClaims(isConfirmed ? {waitMs: longPollMs, answerMs: answerTimeoutMs} : {waitMs: 0, answerMs: renewalTimeoutMs}, signal);
			await this.rewriteCommitted(signal);
			return;
		}

		if (!this.isFormerHolder && !shouldClaim({...inputs, holderLastSeenAtMs: this.holderLastSeenAtMs}, this.clock.now())) {
			return;
		}

		const tokenBefore = this.newestClaim?.token ?? 0;
		await this.readClaims({waitMs: 0, answerMs: answerTimeoutMs}, signal);
		if (this.newestClaim && this.newestClaim.token > tokenBefore) {
			// Another daemon claimed in the meantime, or before this one started: its updates are given time to arrive.
			this.holderLastSeenAtMs = this.clock.now();
			return;
		}

		await this.claim(signal);
	}

	/**
	 * Appends a decision of the holder, unless other records were appended since this daemon's last read.
	 *
	 * @returns Whether the record was appended.
	 */
	async commit(key: Exclude<DutyKey, DutyKey.Claim>, value: Uint8Array, signal: AbortSignal): Promise<boolean> {
		const at = this.next;
		const result = await this.store.append(Topic.Duties, {key, value}, at?.offset, signal);
		if (result.kind === 'conflict' || result.era !== this.next?.era || result.era !== at?.era) {
			return false;
		}

		this.committed.set(key, value);
		// A concurrent confirming read may already have read past this record.
		this.next = {era: result.era, offset: Math.max(this.next.offset, result.offset + 1)};
		return true;
	}

	/** Stops acting until the next read confirms the claim again. */
	discardConfirmation(): void {
		this.confirmedAtMs = Number.NEGATIVE_INFINITY;
	}

	private get isHolder(): boolean {
		return this.newestClaim?.holder === this.holder;
	}

	private async claim(signal: AbortSignal): Promise<void> {
		const sentAtMs = this.clock.now();
		const {era, offset} = this.next!;
		const claimRecord: ClaimRecord = {holder: this.holder, era};
		const value = Buffer.from(JSON.stringify(claimRecord));
		const result = await this.store.append(Topic.Duties, {key: DutyKey.Claim, value}, offset, signal);
		if (result.kind === 'conflict' || result.era !== era) {
			log.info('claim rejected, the topic has newer records.', {at: offset, era, storeEra: result.kind === 'appended' ? result.era : undefined});
			this.holderLastSeenAtMs = this.clock.now();
			return;
		}

		this.applyClaim(this.holder, {era, offset: result.offset}, this.clock.now());
		this.next = {era, offset: result.offset + 1};
		this.confirmedAtMs = sentAtMs;
		log.info('claimed the duties.', {token: this.newestClaim?.token, quietMs: Math.round(this.mayActFromMs - this.clock.now())});
	}

	private async readClaims(timing: Pick<ReadLimits, 'waitMs' | 'answerMs'>, signal: AbortSignal): Promise<void> {
		const sentAtMs = this.clock.now();
		let batch: RecordBatch | undefined;
		if (this.next !== undefined) {
			batch = await this.store.read(Topic.Duties, this.next.offset, {...timing, maxBytes: maxReadBytes}, signal);
		}

		if (batch?.era !== this.next?.era || !batch) {
			batch = await this.store.readNewest(Topic.Duties, timing.answerMs, signal);
		}

		if (this.next && batch.era < this.next.era) {
			return;
		}

		if (batch.era !== this.next?.era) {
			this.beginEra(batch.era);
		}

		for (const record of batch.records) {
			if (record.key === String(DutyKey.Claim) && record.value) {
				const claim = decodeDaemonRecord(record.value, isClaimRecord, 'claim of the duties');
				if (claim && (claim.era ?? 0) === batch.era) {
					this.isFormerHolder = false;
					this.isRewriteDue &&= claim.holder === this.holder;
					this.applyClaim(claim.holder, {era: batch.era, offset: record.offset}, this.clock.now());
				}
			} else if (record.value && !(this.isFormerHolder && this.committed.has(record.key))) {
				this.committed.set(record.key, record.value);
			}
		}

		this.next = {era: batch.era, offset: Math.max(this.next?.era === batch.era ? this.next.offset : 0, batch.next)};
		// A read that leaves records unread confirms nothing, because another claim may be among them.
		this.confirmedAtMs = batch.next < batch.end ? this.confirmedAtMs : sentAtMs;
	}

	/** Begins to follow another era: the claims of before are void. Whoever held the duties keeps what it has committed, since the copy may lack it. */
	private beginEra(era: number): void {
		if (this.next) {
			log.warn('store was restored from a copy, the duties must be claimed again.', {
				era, before: this.next.era, token: this.newestClaim?.token, wasHolder: this.isHolder,
			});
		}

		this.isFormerHolder = this.next !== undefined && this.isHolder;
		this.isRewriteDue = this.isFormerHolder;
		this.committed = this.isFormerHolder ? this.committed : new Map<string, Uint8Array>();
		this.newestClaim = undefined;
		this.confirmedAtMs = Number.NEGATIVE_INFINITY;
		this.next = {era, offset: 0};
	}

	/** Writes again what this daemon had committed before the store was restored. */
	private async rewriteCommitted(signal: AbortSignal): Promise<void> {
		if (!this.isRewriteDue || !this.isConfirmedAt(this.clock.now())) {
			return;
		}

		for (const [key, value] of this.committed) {
			// eslint-disable-next-line no-await-in-loop -- each append expects the end that the one before left.
			if (!await this.commit(key as Exclude<DutyKey, DutyKey.Claim>, value, signal)) {
				return;
			}
		}

		this.isRewriteDue = false;
	}

	private applyClaim(holder: string, position: LogPosition, nowMs: number): void {
		const token = toSequenceNumber(position) + 1;
		if (token < (this.newestClaim?.token ?? 0) || (token === this.newestClaim?.token && holder === this.newestClaim.holder)) {
			return;
		}

		if (this.isHolder && holder !== this.holder) {
			log.info('another daemon claimed the duties.', {holder, token, own: this.newestClaim?.token});
			this.holderLastSeenAtMs = nowMs;
		}

		this.newestClaim = {holder, token};
		// There is no predecessor before the first claim of a topic that no restore has shortened.
		this.mayActFromMs = position.era === 0 && position.offset === 0 ? nowMs : nowMs + this.leaseMs + takeoverMarginMs;
	}
}
