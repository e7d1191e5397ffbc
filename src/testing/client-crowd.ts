/** Clients that do not behave: each sends as fast as the server reads, reads no answer, and connects again when its connection is closed. */
import {Buffer} from 'node:buffer';
import {type ChildProcess} from 'node:child_process';
import {readdirSync, readFileSync} from 'node:fs';
import {connect, type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';

/** How long a client waits before it connects again, in milliseconds. */
const reconnectDelayMs = 20;
/** Interval at which the server's memory and descriptors are read, in milliseconds. */
const sampleIntervalMs = 20;
/** Connections that are opened at once, and the pause before further ones, in milliseconds: a backlog that overflows drops them. */
const connectionsAtOnce = 50;
const openingIntervalMs = 20;

/** What the clients of a crowd send. */
export type CrowdOptions = {
	port: number;
	host?: string;
	connections: number;
	/** What each connection sends first. */
	first?: string;
	/** What it sends after that, again and again; nothing if empty. */
	repeated?: Uint8Array;
	/** Bytes that it sends in all; without a bound if undefined. */
	totalBytes?: number;
};

/** The largest values that were measured of a server. */
export type Peaks = {megabytes: number; descriptors: number};

/** A crowd of clients of one server. */
export class ClientCrowd {
	private readonly sockets = new Set<Socket>();
	private isClosed = false;
	private isSending = false;

	constructor(private readonly options: CrowdOptions) {}

	/** Connects the crowd, lets it send for a while, and measures the server's process meanwhile. */
	async play(server: ChildProcess, durationMs: number): Promise<Peaks> {
		const peaks: Peaks = {megabytes: 0, descriptors: 0};
		const sampler = setInterval(() => {
			peaks.megabytes = Math.max(peaks.megabytes, readResidentMegabytes(server));
			peaks.descriptors = Math.max(peaks.descriptors, countDescriptors(server));
		}, sampleIntervalMs);
		const {connections} = this.options;
		for (let opened = 0; opened < connections; opened += connectionsAtOnce) {
			for (let index = opened; index < Math.min(connections, opened + connectionsAtOnce); index++) {
				this.open();
			}

			await delay(openingIntervalMs); // eslint-disable-line no-await-in-loop -- some connections after the others.
		}

		this.isSending = true;
		for (const socket of this.sockets) {
			this.send(socket);
		}

		const endMs = performance.now() + durationMs;
		while (performance.now() < endMs && isRunning(server)) {
			await delay(sampleIntervalMs); // eslint-disable-line no-await-in-loop -- until the time is over or the server has ended.
		}

		this.isSending = false;
		clearInterval(sampler);
		return peaks;
	}

	/** Closes all connections. */
	close(): void {
		this.isClosed = true;
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	private open(): void {
		if (this.isClosed) {
			return;
		}

		const {port, host = '127.0.0.1'} = this.options;
		const socket = connect(port, host);
		this.sockets.add(socket);
		socket.on('error', () => undefined);
		socket.once('close', () => {
			this.sockets.delete(socket);
			setTimeout(() => {
				this.open();
			}, reconnectDelayMs).unref();
		});
		if (this.isSending) {
			this.send(socket);
		}
	}

	/** Sends on a connection as fast as the server reads. */
	private send(socket: Socket): void {
		const {first = '', repeated = Buffer.alloc(0), totalBytes = Number.POSITIVE_INFINITY} = this.options;
		socket.write(first);
		let sentBytes = 0;
		const sendPieces = () => {
			while (this.isSending && !socket.destroyed && repeated.length > 0 && sentBytes < totalBytes) {
				const piece = repeated.subarray(0, Math.min(repeated.length, totalBytes - sentBytes));
				sentBytes += piece.length;
				if (!socket.write(piece)) {
					socket.once('drain', sendPieces);
					return;
				}
			}
		};

		sendPieces();
	}
}

/** Whether a process has not ended. */
export function isRunning({exitCode, signalCode}: ChildProcess): boolean {
	return exitCode === null && signalCode === null;
}

/** Returns the resident memory of a process in megabytes; 0 once it has ended. */
function readResidentMegabytes({pid}: ChildProcess): number {
	try {
		return Number(/VmRSS:\s+(\d+)/v.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? 0) / 1024;
	} catch {
		return 0;
	}
}

/** Returns the number of descriptors that a process has open; 0 once it has ended. */
function countDescriptors({pid}: ChildProcess): number {
	try {
		return readdirSync(`/proc/${pid}/fd`).length;
	} catch {
		return 0;
	}
}

/** Repeats a text to a piece of some tens of kilobytes, which is sent at once. */
export function repeatText(text: string): Uint8Array {
	return Buffer.from(text.repeat(Math.ceil(65_536 / text.length)));
}
