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
import {type Intent, journalStream} from '../protocol/journal-records.js';
import {type JournalTable} from '../state/journal-table.js';
import {type PlatformLog} from '../state/platform-log.js';
import {UnknownAppendError} from '../state/errors.js';
import {createLogger} from '../log.js';
import {followStream} from './stream-follower.js';

const log = createLogger('journal');

/** Default time intents wait to share one append, in milliseconds. */
export const defaultFlushMs = 5;
/** How long a claim waits to read its own intent back, in milliseconds. */
export const readBackMs = 5000;
const readBackPollMs = 5;

/** What became of a claim. */
export enum Claim {
	/** The intent is first for its key: dispatch the call, once. */
	Won = 'won',
	/** An earlier intent holds the key: do not dispatch; its outcome is not known here. */
	Taken = 'taken',
	/** The log refused the append: nothing was recorded and nothing will run. */
	NotRecorded = 'not-recorded',
	/** The append's answer was lost and the intent was not read back in time: it will not be dispatched. */
	Abandoned = 'abandoned',
}

type Pending = {intent: Intent; settle: (result: {firstOffset: number; index: number} | Error) => void};

/** The journal of one gateway: batches intents and decides claims. */
export class Journal {
	batches = 0;
	private queue: Pending[] = [];
	private flushScheduled = false;

	constructor(
		private readonly platformLog: PlatformLog,
		private readonly table: JournalTable,
		private readonly gateway: string,
		private readonly flushMs: number,
	) {}

	/** Tails the journal stream into the table until the signal aborts. */
	async follow(signal: AbortSignal): Promise<void> {
		await followStream<Intent>({
			platformLog: this.platformLog, stream: journalStream, from: this.table.appliedOffset + 1, log, apply: (offset, intent) => {
				this.table.apply(offset, intent);
			},
		}, signal);
	}

	/**
	 * Records the intent of a call and decides whether it may be dispatched.
	 *
	 * @param signal Aborts the wait for the read-back; the claim then counts as abandoned.
	 */
	async claim(account: string, key: string, service: string, signal: AbortSignal): Promise<Claim> {
		const intent: Intent = {
			id: randomUUID(), account, key, service, gateway: this.gateway,
		};
		const earlier = this.table.firstFor(account, key);
		if (earlier) {
			return Claim.Taken;
		}

		const appended = await new Promise<{firstOffset: number; index: number} | Error>(resolve => {
			this.queue.push({intent, settle: resolve});
			if (!this.flushScheduled) {
				this.flushScheduled = true;
				void this.flush();
			}
		});
		let offset: number | undefined;
		if (appended instanceof UnknownAppendError) {
			log.warn('intent append outcome unknown, reading back.', {key, account});
		} else if (appended instanceof Error) {
			return Claim.NotRecorded;
		} else {
			offset = appended.firstOffset + appended.index;
		}

		const deadline = Date.now() + readBackMs;
		while (!signal.aborted && Date.now() < deadline) {
			offset ??= this.table.offsetOf(intent.id);
			if (offset !== undefined && this.table.appliedOffset >= offset) {
				return this.table.firstFor(account, key)?.intent.id === intent.id ? Claim.Won : Claim.Taken;
			}

			// eslint-disable-next-line no-await-in-loop
			await delay(readBackPollMs);
		}

		log.warn('intent not read back, abandoning the call.', {key, account});
		return Claim.Abandoned;
	}

	private async flush(): Promise<void> {
		await delay(this.flushMs);
		const batch = this.queue;
		this.queue = [];
		this.flushScheduled = false;
		this.batches++;
		try {
			const answer = await this.platformLog.append(journalStream, batch.map(entry => entry.intent));
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
