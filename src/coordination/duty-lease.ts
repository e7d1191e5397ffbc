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
 */
import {Buffer} from 'node:buffer';
import {
	type ReadLimits, type RecordBatch, type Store, Topic,
} from '../protocol/platform.js';
import {type SteadyClock} from '../clock.js';
import {createLogger} from '../log.js';
import {type HolderUpdate} from '../protocol/fleet-messages.js';
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

/** The stored form of a claim. */
type ClaimRecord = {holder: string};

/** A claim that was read or reported; the fencing token is its offset plus one. */
type Claim = {holder: string; token: number};

function isClaimRecord(value: unknown): value is ClaimRecord {
	return typeof fieldsOf(value).holder === 'string';
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
	private nextOffset: number | undefined;
	private newestClaim: Claim | undefined;
	/** When the request that last confirmed the newest claim was sent. */
	private confirmedAtMs = Number.NEGATIVE_INFINITY;
	private holderLastSeenAtMs: number | undefined;
	/** When this daemon may start to act on its claim. */
	private mayActFromMs = 0;
	private wasActing = false;
	/** The newest committed record of each key. */
	private readonly committed = new Map<string, Uint8Array>();

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
		}

		this.holderLastSeenAtMs = Math.max(this.holderLastSeenAtMs ?? Number.NEGATIVE_INFINITY, nowMs - update.ageMs);
	}

	/** Runs one step of the election: reads the topic to confirm this daemon's claim if it is the newest, otherwise claims if {@link shouldClaim} allows it. */
	async step(inputs: Omit<ClaimInputs, 'holderLastSeenAtMs'>, signal: AbortSignal): Promise<void> {
		if (this.isHolder) {
			const isConfirmed = this.isConfirmedAt(this.clock.now());
			await this.readClaims(isConfirmed ? {waitMs: longPollMs, answerMs: answerTimeoutMs} : {waitMs: 0, answerMs: renewalTimeoutMs}, signal);
			return;
		}

		if (!shouldClaim({...inputs, holderLastSeenAtMs: this.holderLastSeenAtMs}, this.clock.now())) {
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
		const at = this.nextOffset;
		const result = await this.store.append(Topic.Duties, {key, value}, at, signal);
		if (result.kind === 'conflict') {
			return false;
		}

		this.committed.set(key, value);
		// A concurrent confirming read may already have read past this record.
		this.nextOffset = Math.max(this.nextOffset ?? 0, result.offset + 1);
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
		const claimRecord: ClaimRecord = {holder: this.holder};
		const value = Buffer.from(JSON.stringify(claimRecord));
		const result = await this.store.append(Topic.Duties, {key: DutyKey.Claim, value}, this.nextOffset, signal);
		if (result.kind === 'conflict') {
			log.info('claim rejected, the topic has newer records.', {at: this.nextOffset, end: result.end});
			this.holderLastSeenAtMs = this.clock.now();
			return;
		}

		this.applyClaim(this.holder, result.offset, this.clock.now());
		this.nextOffset = result.offset + 1;
		this.confirmedAtMs = sentAtMs;
		log.info('claimed the duties.', {token: this.newestClaim?.token, quietMs: Math.round(this.mayActFromMs - this.clock.now())});
	}

	private async readClaims(timing: Pick<ReadLimits, 'waitMs' | 'answerMs'>, signal: AbortSignal): Promise<void> {
		const sentAtMs = this.clock.now();
		let batch: RecordBatch | undefined;
		if (this.nextOffset !== undefined) {
			batch = await this.store.read(Topic.Duties, this.nextOffset, {...timing, maxBytes: maxReadBytes}, signal);
		}

		batch ??= await this.store.readNewest(Topic.Duties, timing.answerMs, signal);
		for (const record of batch.records) {
			if (record.key === String(DutyKey.Claim) && record.value) {
				const claim = decodeDaemonRecord(record.value, isClaimRecord, 'claim of the duties');
				if (claim) {
					this.applyClaim(claim.holder, record.offset, this.clock.now());
				}
			} else if (record.value) {
				this.committed.set(record.key, record.value);
			}
		}

		this.nextOffset = Math.max(this.nextOffset ?? 0, batch.next);
		// A read that leaves records unread confirms nothing, because another claim may be among them.
		this.confirmedAtMs = batch.next < batch.end ? this.confirmedAtMs : sentAtMs;
	}

	private applyClaim(holder: string, offset: number, nowMs: number): void {
		const token = offset + 1;
		if (token < (this.newestClaim?.token ?? 0) || (token === this.newestClaim?.token && holder === this.newestClaim.holder)) {
			return;
		}

		if (this.isHolder && holder !== this.holder) {
			log.info('another daemon claimed the duties.', {holder, token, own: this.newestClaim?.token});
			this.holderLastSeenAtMs = nowMs;
		}

		this.newestClaim = {holder, token};
		// There is no predecessor before the first claim of the topic.
		this.mayActFromMs = offset === 0 ? nowMs : nowMs + this.leaseMs + takeoverMarginMs;
	}
}
