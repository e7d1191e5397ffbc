/**
 * Client of the platform's append-only log (see `protocol/platform-log.ts`).
 */
import {type AppendAnswer, type ReadAnswer} from '../protocol/platform-log.js';
import {requestJson} from '../transport/http-client.js';
import {TransportError} from '../transport/errors.js';
import {StateError, UnknownAppendError} from './errors.js';

/** Time beyond its wait after which a read counts as failed, in milliseconds. */
const readMarginMs = 3000;

/** The answer of a read: kept records, or `expired` when `from` is older than retention. */
export type ReadResult<T> = ReadAnswer<T> & {expired: boolean};

/** Reads and appends records of the platform log at one base URL. */
export class PlatformLog {
	/** Appends made, for the capacity bench. */
	appends = 0;

	private readonly headers: Record<string, string>;

	/** @param client The name under which this process reads and writes. */
	constructor(
		private readonly url: string,
		client: string,
	) {
		this.headers = {'user-agent': `sesametally/${client}`};
	}

	/**
	 * Appends records as one append.
	 *
	 * @throws {StateError} When the log refused the append (it did not take effect).
	 * @throws {UnknownAppendError} When the answer was lost: the append may have taken effect.
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
	 * Reads records from an offset, waiting up to `waitMs` for one to arrive.
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
				timeoutMs: waitMs + readMarginMs,
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
