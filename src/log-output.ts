/**
 * Writes log lines to standard output without blocking and with a bounded volume. Lines
 * beyond a rate limit, or beyond the amount that a slow reader may leave unread, are dropped
 * and counted; the count is logged with the next line that is written.
 */
import {createWriteStream, fstatSync} from 'node:fs';
import {Socket} from 'node:net';
import {type Writable} from 'node:stream';
import {finished} from 'node:stream/promises';
import {setTimeout as delay} from 'node:timers/promises';

/** Sustained rate limit, in lines per second: three times what a daemon writes at peak load. */
const maxLinesPerSecond = 150;
/** Burst size of the rate limit, in lines. */
const maxBurstLines = 400;
/** Amount of unread output beyond which lines are dropped, in bytes. */
const maxUnreadBytes = 256 * 1024;
const standardOutputFd = 1;

/** Opens standard output so that writes never block; `process.stdout` of Node.js blocks on a full pipe. */
function openOutput(): Writable {
	const status = fstatSync(standardOutputFd);
	return status.isFIFO() || status.isSocket()
		? new Socket({fd: standardOutputFd, readable: false, writable: true})
		: createWriteStream('', {fd: standardOutputFd, autoClose: false});
}

/** Writes lines within a rate limit and a buffer limit. */
export class LogOutput {
	private availableLines = maxBurstLines;
	private refilledAtMs = 0;
	private droppedLines = 0;
	private isClosed = false;

	constructor(private readonly output: Writable = openOutput()) {
		// The loss of the reader must not end the process; lines without a reader are lost.
		output.on('error', () => undefined);
	}

	/** Writes one line, or drops it beyond the limits. */
	write(line: string, nowMs: number): void {
		this.availableLines = Math.min(maxBurstLines, this.availableLines + (Math.max(0, nowMs - this.refilledAtMs) / 1000 * maxLinesPerSecond));
		this.refilledAtMs = nowMs;
		if (this.isClosed || this.availableLines < 1 || this.output.writableLength > maxUnreadBytes) {
			this.droppedLines++;
			return;
		}

		if (this.droppedLines > 0) {
			this.output.write(`{"message":"log: lines dropped.","context":{"part":"log","dropped":${this.droppedLines}}}\n`);
			this.droppedLines = 0;
		}

		this.availableLines--;
		this.output.write(line + '\n');
	}

	/** Closes the output once all lines have been read, after `timeoutMs` at the latest: unread lines would keep the process running. */
	async close(timeoutMs: number): Promise<void> {
		this.isClosed = true;
		this.output.end();
		const timeout = new AbortController();
		await Promise.race([
			finished(this.output).catch(() => undefined),
			delay(timeoutMs, undefined, {signal: timeout.signal}).catch(() => undefined),
		]);
		timeout.abort();
		this.output.destroy();
	}
}
