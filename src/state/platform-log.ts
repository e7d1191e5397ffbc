/**
 * Client of the platform's append-only log (see `protocol/platform-log.ts`).
 */
import {type AppendAnswer, type ReadAnswer} from '../protocol/platform-log.js';
import {requestJson} from '../transport/http-client.js';
import {TransportError} from '../transport/errors.js';
import {StateError, UnknownAppendError} from './errors.js';

/** How long after the end of its long-poll wait an unanswered read counts as failed, in milliseconds. */
const readTimeoutMarginMs = 3000;

/** The answer to a read; `expired` is set when records at the requested offset are no longer retained. */
export type ReadResult<T> = ReadAnswer<T> & {expired: boolean};

/** Reads and appends records of the platform's log at one base URL. */
export class PlatformLog {
	/** Number of appends sent; the capacity bench reads it. */
	appends = 0;

	private readonly headers: Record<string, string>;

	/** @param client The name of this process, sent as its user agent. */
	constructor(
		private readonly url: string,
		client: string,
	) {
		this.headers = {'user-agent': `sesametally/${client}`};
	}

	/**
	 * Appends a batch of records in one call.
	 *
	 * @throws {StateError} When the log refused the append, so that it did not take effect.
	 * @throws {UnknownAppendError} When no answer arrived, so that the append may have taken effect.
	 */
	async append(stream: string, records: unknown[], signal?: AbortSignal): Promise<AppendAnswer> {
		this.appends++;
		let response;
		try {
			response = await requestJson<AppendAnswer>({
				method: 'POST',
				url: `${this.url}/streams/${stream}/records`,
				payload: {records},
				headers: this.headers,
				signal,
			});
		} catch (error) {
			throw new UnknownAppendError(`append to ${stream} has an unknown outcome`, {cause: error});
		}

		if (response.statusCode !== 200) {
			throw new StateError(`append to ${stream} refused with ${response.statusCode}`);
		}

		return response.body;
	}

	/**
	 * Reads records from an offset on, waiting up to `waitMs` milliseconds for one to arrive.
	 *
	 * @throws {StateError} When the log cannot be read.
	 */
	async read<T>(stream: string, from: number, waitMs: number, signal?: AbortSignal): Promise<ReadResult<T>> {
		let response;
		try {
			response = await requestJson<ReadAnswer<T>>({
				method: 'GET',
				url: `${this.url}/streams/${stream}/records?from=${from}&waitMs=${waitMs}`,
				headers: this.headers,
				timeoutMs: waitMs + readTimeoutMarginMs,
				signal,
			});
		} catch (error) {
			throw new StateError(`read of ${stream} from ${from} failed`, {cause: error instanceof TransportError ? error : undefined});
		}

		if (response.statusCode === 410) {
			return {...response.body, expired: true};
		}

		if (response.statusCode !== 200) {
			throw new StateError(`read of ${stream} from ${from} answered ${response.statusCode}`);
		}

		return {...response.body, expired: false};
	}
}
