/**
 * Reads what daemons wrote to their own topics of the store. Another writer may have put
 * something else there: it is passed over with a log line, and the records around it count.
 */
import {Buffer} from 'node:buffer';
import {createLogger} from '../log.js';

const log = createLogger('store');

/** The fields of an object, none for anything else. */
export function fieldsOf(value: unknown): Record<string, unknown> {
	return typeof value === 'object' && value && !Array.isArray(value) ? value as Record<string, unknown> : {};
}

/** Decodes a record's value; undefined when it is not what `isWhole` expects. */
export function readOwnRecord<T>(value: Uint8Array, isValid: (value: unknown) => value is T, what: string): T | undefined {
	let parsed: unknown;
	try {
		parsed = JSON.parse(Buffer.from(value).toString('utf8'));
	} catch (error) {
		log.error('record unreadable, skipped.', {what, error: String(error)});
		return undefined;
	}

	if (!isValid(parsed)) {
		log.error('record of another form, skipped.', {what});
		return undefined;
	}

	return parsed;
}
