/**
 * Reads JSON bodies whose senders are not trusted. A parsed body of a few megabytes that has a
 * value in every three bytes takes some twenty times its length, so the number of values is
 * bounded too.
 */
import {Buffer} from 'node:buffer';
import Bourne from '@hapi/bourne';
import {TransportError} from './errors.js';

/** Most values of a body, with the keys of its objects. */
export const maxJsonValues = 100_000;

const quote = 0x22;
const backslash = 0x5C;
/** The characters before a value: comma, colon, opening bracket and brace. */
const beforeValue = new Set([0x2C, 0x3A, 0x5B, 0x7B]);

/** A body is not JSON. */
export class MalformedJsonError extends TransportError {}

/** A body has too many values. */
export class TooManyValuesError extends TransportError {}

/**
 * Parses a body; returns null for an empty one.
 *
 * @throws {MalformedJsonError} When it is not JSON, or sets a prototype.
 * @throws {TooManyValuesError} When it has more than {@link maxJsonValues} values.
 */
export function parseJsonBody(body: Uint8Array): unknown {
	if (hasMoreValues(body, maxJsonValues)) {
		throw new TooManyValuesError(`more than ${maxJsonValues} values`);
	}

	const text = Buffer.from(body.buffer, body.byteOffset, body.length).toString();
	if (text === '') {
		return null;
	}

	try {
		return Bourne.parse(text);
	} catch (error) {
		throw new MalformedJsonError('body is not JSON', {cause: error});
	}
}

/** Whether JSON has more than a number of values. */
function hasMoreValues(json: Uint8Array, maxValues: number): boolean {
	if (json.length <= maxValues) {
		return false;
	}

	let values = 1;
	for (let index = 0; index < json.length; index++) {
		if (json[index] === quote) {
			index = findStringEnd(json, index);
		} else if (beforeValue.has(json[index]) && ++values > maxValues) {
			return true;
		}
	}

	return false;
}

/** Returns the position of the quote that ends a string, or the end of the text. */
function findStringEnd(json: Uint8Array, start: number): number {
	let end = json.indexOf(quote, start + 1);
	while (end !== -1 && isEscaped(json, end)) {
		end = json.indexOf(quote, end + 1);
	}

	return end === -1 ? json.length : end;
}

/** Whether an odd number of backslashes stands before a position. */
function isEscaped(json: Uint8Array, position: number): boolean {
	let first = position;
	while (json[first - 1] === backslash) {
		first--;
	}

	return (position - first) % 2 === 1;
}
