/**
 * Decodes records that daemons write to the store for each other. Other writers may have
 * put something else into the same topics: such a record is logged and skipped, and does
 * not affect the records around it.
 */
import {Buffer} from 'node:buffer';
import {createLogger} from '../log.js';

const log = createLogger('store');

/** Returns the fields of an object, or no fields for any other value. */
export function fieldsOf(value: unknown): Record<string, unknown> {
	return typeof value === 'object' && value && !Array.isArray(value) ? value as Record<string, unknown> : {};
}

/**
 * Decodes a record's value as JSON.
 *
 * @param what A name of the record for the log.
 * @returns Undefined when the value is not valid JSON or `isValid` rejects it.
 */
export function decodeDaemonRecord<T>(value: Uint8Array, isValid: (value: unknown) => value is T, what: string): T | undefined {
	let parsed: unknown;
	try {
		parsed = JSON.parse(Buffer.from(value).toString('utf8'));
	} catch (error) {
		log.error('cannot parse the record, skipping it.', {what, error: String(error)});
		return undefined;
	}

	if (!isValid(parsed)) {
		log.error('record has an unexpected form, skipping it.', {what});
		return undefined;
	}

	return parsed;
}
