/** Writes to a client's socket in pieces, so that the progress of a slow client is seen. */
import {Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {type Duplex} from 'node:stream';

/** Longest piece that is written at once, in bytes. */
const maxPieceBytes = 65_536;

/** The callback of a write, with the error if there is one. */
export type WriteCallback = Parameters<Duplex['_final']>[0];

/** A part of what is written. */
export type Chunk = {chunk: Uint8Array | string; encoding: BufferEncoding};

/** Writes chunks, and calls back once all have been sent; `onProgress` is called whenever some have been. */
export function writeChunks(socket: Socket, chunks: Chunk[], onProgress: () => void, callback: WriteCallback): void {
	if (chunks.some(({chunk}) => chunk.length > maxPieceBytes)) {
		writePieces(socket, splitChunks(chunks), onProgress, callback);
		return;
	}

	socket.cork();
	for (const [index, {chunk, encoding}] of chunks.entries()) {
		socket.write(chunk, encoding, index < chunks.length - 1
			? undefined
			: error => {
				onProgress();
				callback(error);
			});
	}

	socket.uncork();
}

/** Writes one piece after the other, each once the one before it has been sent. */
function writePieces(socket: Socket, pieces: Chunk[], onProgress: () => void, callback: WriteCallback): void {
	const [{chunk, encoding}, ...rest] = pieces;
	socket.write(chunk, encoding, error => {
		onProgress();
		if (error ?? rest.length === 0) {
			callback(error);
		} else {
			writePieces(socket, rest, onProgress, callback);
		}
	});
}

function splitChunks(chunks: Chunk[]): Chunk[] {
	return chunks.flatMap(({chunk, encoding}) => {
		const bytes = typeof chunk === 'string' ? Buffer.from(chunk, encoding) : chunk;
		return Array.from({length: Math.ceil(bytes.length / maxPieceBytes)}, (_, index) => ({
			chunk: bytes.subarray(index * maxPieceBytes, (index + 1) * maxPieceBytes), encoding,
		}));
	});
}
