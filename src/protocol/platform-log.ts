/**
 * The HTTP messages of the platform's append-only log service, as its stand-in serves
 * them: streams of JSON records with offsets and limited retention.
 *
 * - `POST /streams/{stream}/records` with {@link AppendRequest}: 200 {@link AppendAnswer};
 *   429 when the append rate is exceeded; 503 during an outage.
 * - `GET /streams/{stream}/records?from=N&limit=M&waitMs=W`: 200 {@link ReadAnswer},
 *   after waiting up to `waitMs` for a record at or after `from`; 410 {@link ReadAnswer}
 *   without records when records at `from` are no longer retained.
 */

/** A stored record, with its offset in the stream and the time at which the log stored it. */
export type LogRecord<T = unknown> = {
	offset: number;
	appendedAtMs: number;
	value: T;
};

/** A batch of records, which the log stores together and in order. */
export type AppendRequest = {
	records: unknown[];
};

/** The offset of the first appended record and the number of records; the others follow at consecutive offsets. */
export type AppendAnswer = {
	firstOffset: number;
	count: number;
};

/** The records from the requested offset on, the first retained offset (`start`) and the next offset to be written (`end`). */
export type ReadAnswer<T = unknown> = {
	start: number;
	end: number;
	records: Array<LogRecord<T>>;
};

/** The faults that the log stand-in injects, as posted to `/admin/faults`. */
export type LogFaults = {
	/** Every call answers 503. */
	outage?: boolean;
	/** The names, as in their user agent, of clients whose calls answer 503. */
	refuseClients?: string[];
	/** Additional delay of every answer, in milliseconds. */
	slowMs?: number;
	/** Share, from 0 to 1, of appends that take effect but whose answer is lost. */
	loseAnswers?: number;
};
