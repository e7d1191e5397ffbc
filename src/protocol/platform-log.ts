/**
 * The HTTP shapes of the platform's append-only log service, as its stand-in
 * serves them: streams of JSON records with offsets, limited retention.
 *
 * - `POST /streams/{stream}/records` with {@link AppendRequest}: 200 {@link AppendAnswer};
 *   429 when over the append rate; 503 during an outage.
 * - `GET /streams/{stream}/records?from=N&limit=M&waitMs=W`: 200 {@link ReadAnswer},
 *   waiting up to `waitMs` for a record at or after `from`; 410 {@link ReadAnswer} with
 *   no records when `from` is older than what retention kept.
 */

/** A record as stored: its offset in the stream and the time the log took it. */
export type LogRecord<T = unknown> = {
	offset: number;
	appendedAtMs: number;
	value: T;
};

/** One append: a batch of records that the log stores in order, as one append. */
export type AppendRequest = {
	records: unknown[];
};

/** The offset of the first record appended; the others follow it. */
export type AppendAnswer = {
	firstOffset: number;
	count: number;
};

/** A read: records from `from`, the first offset still kept, the next offset to be written. */
export type ReadAnswer<T = unknown> = {
	start: number;
	end: number;
	records: Array<LogRecord<T>>;
};

/** The fault switches of the log stand-in, posted to `/admin/faults`. */
export type LogFaults = {
	/** Every call answers 503. */
	outage?: boolean;
	/** Clients, by the name in their user agent, whose calls answer 503. */
	refuseClients?: string[];
	/** Added delay of every answer, in milliseconds. */
	slowMs?: number;
	/** Share, from 0 to 1, of appends that take effect but whose answer is lost. */
	loseAnswers?: number;
};
