/**
 * Standard output for log lines. Writing never blocks and its volume is bounded: lines
 * beyond a rate, or beyond what a slow reader has left unread, are counted and dropped,
 * and the count is logged when lines flow again.
 */
import {createWriteStream, fstatSync} from 'node:fs';
import {Socket} from 'node:net';
import {type Writable} from 'node:stream';

/** Lines a second; three times what a daemon writes at the deployments' peak. */
const linesPerSecond = 150;
/** Lines that may be written at once beyond the rate. */
const burstLines = 400;
/** Bytes left unread by the reader beyond which lines are dropped. */
const mostUnreadBytes = 256 * 1024;
const standardOutput = 1;

/** Opens standard output so that a write never waits: node's own stream blocks on a full pipe. */
function openOutput(): Writable {
	const status = fstatSync(standardOutput);
	return status.isFIFO() || status.isSocket()
		? new Socket({fd: standardOutput, readable: false, writable: true})
		: createWriteStream('', {fd: standardOutput, autoClose: false});
}

/** A bounded writer of lines. */
export class LogOutput {
	private allowance = burstLines;
	private refilledAtMs = 0;
	private dropped = 0;

	constructor(private readonly output: Writable = openOutput()) {
		// A reader that went away must not end the process; its lines are lost with it.
		output.on('error', () => undefined);
	}

	/** Writes one line, or drops it. */
	write(line: string, nowMs: number): void {
		this.allowance = Math.min(burstLines, this.allowance + (Math.max(0, nowMs - this.refilledAtMs) / 1000 * linesPerSecond));
		this.refilledAtMs = nowMs;
		if (this.allowance < 1 || this.output.writableLength > mostUnreadBytes) {
			this.dropped++;
			return;
		}

		if (this.dropped > 0) {
			this.output.write(`{"message":"log: lines dropped.","context":{"part":"log","dropped":${this.dropped}}}\n`);
			this.dropped = 0;
		}

		this.allowance--;
		this.output.write(line + '\n');
	}
}
