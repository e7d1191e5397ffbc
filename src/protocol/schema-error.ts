/** What a failed schema check says. Apart from `schema.ts`, so that a check that was compiled ahead of time needs no compiler. */
import {type ErrorObject, type ValidateFunction} from 'ajv';
import {ProtocolError} from './errors.js';

/** Formats the first schema error as `/path/to/setting: message`. */
export function describeSchemaError(error: ErrorObject): {setting: string; detail: string} {
	const base = error.instancePath === '' ? '' : error.instancePath;
	if (error.keyword === 'required') {
		const missing = (error.params as {missingProperty: string}).missingProperty;
		return {setting: `${base}/${missing}`, detail: 'is missing'};
	}

	if (error.keyword === 'additionalProperties') {
		const extra = (error.params as {additionalProperty: string}).additionalProperty;
		return {setting: `${base}/${extra}`, detail: 'is not a known setting'};
	}

	return {setting: base === '' ? '/' : base, detail: error.message ?? 'is invalid'};
}

/**
 * Narrows a value to `T` by its compiled check.
 *
 * @param what Named in the error.
 * @throws {ProtocolError} When the value fails the check.
 */
export function narrow<T>(validate: ValidateFunction, value: unknown, what: string): T {
	if (!validate(value)) {
		const {setting, detail} = describeSchemaError(validate.errors![0]);
		throw new ProtocolError(`${what}: ${setting} ${detail}`);
	}

	return value as T;
}
