/** Guards against small pieces without end, and against rejecting sound answers that arrive in small pieces. */
import {describe, expect, it} from 'vitest';
import {BodyPieces} from '../body-pieces.js';

describe('BodyPieces', () => {
	it.each([
		{
			name: 'a few bytes at a time, each in a read of its own', count: 16_384, pieceBytes: 1, piecesInRead: 1, areTooSmall: false,
		},
		{
			name: 'a few bytes at a time for too long', count: 16_385, pieceBytes: 1, piecesInRead: 1, areTooSmall: true,
		},
		{
			name: 'a thousand small pieces in one read', count: 1024, pieceBytes: 1, piecesInRead: 1024, areTooSmall: false,
		},
		{
			name: 'more small pieces in one read', count: 1025, pieceBytes: 1, piecesInRead: 1025, areTooSmall: true,
		},
		{
			name: 'short events without end', count: 100_000, pieceBytes: 16, piecesInRead: 4000, areTooSmall: false,
		},
	])('decides on $name', ({count, pieceBytes, piecesInRead, areTooSmall}) => {
		const pieces = new BodyPieces();
		for (let index = 0; index < count; index++) {
			pieces.add(new Uint8Array(pieceBytes), 1 + Math.floor(index / piecesInRead));
		}

		expect(pieces.areTooSmall).toBe(areTooSmall);
		expect(pieces.bytes).toBe(count * pieceBytes);
	});
});
