/**
 * Ensures that a non-idempotent call runs at most once. Before a call is dispatched, its
 * intent is appended to the platform log's `journal` stream; each gateway batches its
 * intents into one append per `flushMs`. The call may be dispatched only if its intent is
 * the first one in log order for its client account and idempotency key, and is never
 * dispatched again once any of it may have been sent. A call whose intent is not the first
 * is answered at once, without waiting for the outcome of the call that won.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {randomUUID} from 'node:crypto';
import {
	type Intent, type JournalRecord, JournalRecordKind, journalStream,
} from '../protocol/journal-records.js';
import {type JournalTable} from '../state/journal-table.js';
import {type PlatformLog} from '../state/platform-log.js';
import {UnknownAppendError} from '../state/errors.js';
import {createLogger} from '../log.js';
import {followStream} from './stream-follower.js';

const log = createLogger('journal');

/** How long a claim waits until its own intent is read back from the log, in milliseconds. */
export const readBackTimeoutMs = 5000;
/** Interval between checks whether the intent was read back, in milliseconds. */
const readBackPollMs = 5;

/** The outcomes of a claim. */
export enum ClaimOutcome {
	/** The intent is the first one for its key: the call may be dispatched, once. */
	Won = 'won',
	/** An earlier intent has the key: the call must not be dispatched, and the earlier call's outcome is unknown here. */
	Taken = 'taken',
	/** The log refused the append: nothing was recorded, so the call must not be dispatched. */
	NotRecorded = 'not-recorded',
	/** The intent was not read back in time: the call must not be dispatched. */
	Abandoned = 'abandoned',
}

/** The call to claim: its client account, idempotency key and service. */
export type ClaimRequest = {account: string; key: string; service: string};

/** The outcome of a claim, and the intent that was written. */
export type ClaimResult = {outcome: ClaimOutcome; intent: Intent};

type PendingAppend = {record: JournalRecord; settle: (result: {firstOffset: number; index: number} | Error) => void};

/** The journal of one gateway: batches intents and decides on claims. */
export class Journal {
	/** Number of batches appended. */
	batches = 0;
	private queue: PendingAppend[] = [];
	private isFlushScheduled = false;

	constructor(
		private readonly platformLog: PlatformLog,
		private readonly table: JournalTable,
		private readonly gateway: string,
		private readonly flushMs: number,
	) {}

	/** Applies the records of the journal stream to the table until the signal aborts. */
	async follow(signal: AbortSignal): Promise<void> {
		await followStream<JournalRecord>({
			platformLog: this.platformLog, stream: journalStream, from: this.table.appliedOffset + 1, log, apply: record => {
				this.table.apply(record);
			},
		}, signal);
	}

	/**
	 * Records the intent of a call and decides whether the call may be dispatched.
	 *
	 * @param signal Aborts the wait for the read-back; the outcome is then {@link ClaimOutcome.Abandoned}.
	 */
	async claim({account, key, service}: ClaimRequest, signal: AbortSignal): Promise<ClaimResult> {
		const intent: Intent = {
			kind: JournalRecordKind.Intent, id: randomUUID(), account, key, service, gateway: this.gateway,
		};
		const outcome = await this.appendAndDecide(intent, signal);
		if (outcome === ClaimOutcome.Abandoned) {
			// The intent may still be appended; the release frees the key whether it arrives before or after the intent.
			void this.release(intent);
		}

		return {outcome, intent};
	}

	/** Releases an intent whose call was never sent. If the log refuses the release, the key stays taken. */
	async release({id, account, key}: Intent): Promise<void> {
		const appended = await this.enqueue({
			kind: JournalRecordKind.Release, id, account, key,
		});
		if (appended instanceof Error) {
			log.warn('release of an intent record not confirmed, its idempotency key may stay taken.', {intent: id, error: String(appended)});
		}
	}

	private async appendAndDecide(intent: Intent, signal: AbortSignal): Promise<ClaimOutcome> {
		const {account, key} = intent;
		if (this.table.firstIntentFor(account, key)) {
			return ClaimOutcome.Taken;
		}

		const appended = await this.enqueue(intent);
		let offset: number | undefined;
		if (appended instanceof UnknownAppendError) {
			log.warn('outcome of the intent append unknown, waiting to read the intent back.', {key, account});
		} else if (appended instanceof Error) {
			return ClaimOutcome.NotRecorded;
		} else {
			offset = appended.firstOffset + appended.index;
		}

		const deadlineAtMs = Date.now() + readBackTimeoutMs;
		while (!signal.aborted && Date.now() < deadlineAtMs) {
			offset ??= this.table.offsetOf(intent.id);
			if (offset !== undefined && this.table.appliedOffset >= offset) {
				return this.table.firstIntentFor(account, key)?.id === intent.id ? ClaimOutcome.Won : ClaimOutcome.Taken;
			}

			// eslint-disable-next-line no-await-in-loop
			await delay(readBackPollMs);
		}

		log.warn('intent record not read back from the platform log, the call will not be sent.', {key, account});
		return ClaimOutcome.Abandoned;
	}

	private async enqueue(record: JournalRecord): Promise<{firstOffset: number; index: number} | Error> {
		return new Promise(resolve => {
			this.queue.push({record, settle: resolve});
			if (!this.isFlushScheduled) {
				this.isFlushScheduled = true;
				void this.flush();
			}
		});
	}

	private async flush(): Promise<void> {
		await delay(this.flushMs);
		const batch = this.queue;
		this.queue = [];
		this.isFlushScheduled = false;
		this.batches++;
		try {
			const answer = await this.platformLog.append(journalStream, batch.map(entry => entry.record));
			for (const [index, entry] of batch.entries()) {
				entry.settle({firstOffset: answer.firstOffset, index});
			}
		} catch (error) {
			for (const entry of batch) {
				entry.settle(error instanceof Error ? error : new Error(String(error)));
			}
		}
	}
}
