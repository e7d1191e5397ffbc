/**
 * At-most-once for non-idempotent calls. Before a call is dispatched, its intent
 * goes to the platform log's `journal` stream, batched per gateway into one append
 * every `flushMs`; the call may be dispatched only when that intent is the first
 * in log order for its client account and idempotency key. A call is never
 * retried after dispatch. Ids to deduplicate on, as in the outbox reference
 * (../given/docs, "claims that skip rather than wait"): a loser does not wait for
 * the winner, it answers at once.
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

/** How long a claim waits to read its own intent back, in milliseconds. */
export const readBackMs = 5000;
const readBackPollMs = 5;

/** What became of a claim. */
export enum ClaimOutcome {
	/** The intent is first for its key: dispatch the call, once. */
	Won = 'won',
	/** An earlier intent holds the key: do not dispatch; its outcome is not known here. */
	Taken = 'taken',
	/** The log refused the append: nothing was recorded and nothing will run. */
	NotRecorded = 'not-recorded',
	/** The append's answer was lost and the intent was not read back in time: it will not be dispatched. */
	Abandoned = 'abandoned',
}

/** Whose call is to run, and under which key. */
export type ClaimRequest = {account: string; key: string; service: string};

/** What became of a claim, and the intent it wrote. */
export type ClaimAnswer = {claim: ClaimOutcome; intent: Intent};

type PendingAppend = {record: JournalRecord; settle: (result: {firstOffset: number; index: number} | Error) => void};

/** The journal of one gateway: batches intents and decides claims. */
export class Journal {
	batches = 0;
	private queue: PendingAppend[] = [];
	private isFlushScheduled = false;

	constructor(
		private readonly platformLog: PlatformLog,
		private readonly table: JournalTable,
		private readonly gateway: string,
		private readonly flushMs: number,
	) {}

	/** Tails the journal stream into the table until the signal aborts. */
	async follow(signal: AbortSignal): Promise<void> {
		await followStream<JournalRecord>({
			platformLog: this.platformLog, stream: journalStream, from: this.table.appliedOffset + 1, log, apply: record => {
				this.table.apply(record);
			},
		}, signal);
	}

	/**
	 * Records the intent of a call and decides whether it may be dispatched.
	 *
	 * @param signal Aborts the wait for the read-back; the claim then counts as abandoned.
	 */
	async claim({account, key, service}: ClaimRequest, signal: AbortSignal): Promise<ClaimAnswer> {
		const intent: Intent = {
			kind: JournalRecordKind.Intent, id: randomUUID(), account, key, service, gateway: this.gateway,
		};
		const claim = await this.appendAndDecide(intent, signal);
		if (claim === ClaimOutcome.Abandoned) {
			// The intent may still land: its release frees the key whichever comes first.
			void this.release(intent);
		}

		return {claim, intent};
	}

	/** Withdraws an intent whose call was never sent. If the log refuses, the key stays taken. */
	async release({id, account, key}: Intent): Promise<void> {
		const appended = await this.enqueue({
			kind: JournalRecordKind.Release, id, account, key,
		});
		if (appended instanceof Error) {
			log.warn('intent not released, its key stays taken.', {intent: id, error: String(appended)});
		}
	}

	private async appendAndDecide(intent: Intent, signal: AbortSignal): Promise<ClaimOutcome> {
		const {account, key} = intent;
		if (this.table.firstFor(account, key)) {
			return ClaimOutcome.Taken;
		}

		const appended = await this.enqueue(intent);
		let offset: number | undefined;
		if (appended instanceof UnknownAppendError) {
			log.warn('intent append outcome unknown, reading back.', {key, account});
		} else if (appended instanceof Error) {
			return ClaimOutcome.NotRecorded;
		} else {
			offset = appended.firstOffset + appended.index;
		}

		const deadlineMs = Date.now() + readBackMs;
		while (!signal.aborted && Date.now() < deadlineMs) {
			offset ??= this.table.offsetOf(intent.id);
			if (offset !== undefined && this.table.appliedOffset >= offset) {
				return this.table.firstFor(account, key)?.id === intent.id ? ClaimOutcome.Won : ClaimOutcome.Taken;
			}

			// eslint-disable-next-line no-await-in-loop
			await delay(readBackPollMs);
		}

		log.warn('intent not read back, abandoning the call.', {key, account});
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
