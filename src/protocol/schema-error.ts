/** Describes failed schema checks. Separate from `schema.ts`, so that validators compiled ahead of time do not load the schema compiler. */
import {type ErrorObject, type ValidateFunction} from 'ajv';
import {ProtocolError} from './errors.js';

/** Returns the JSON pointer of the invalid setting and what is wrong with it. */
export function describeSchemaError(error: ErrorObject): {setting: string; detail: string} {
	const pointer = error.instancePath === '' ? '' : error.instancePath;
	if (error.keyword === 'required') {
		const missing = (error.params as {missingProperty: string}).missingProperty;
		return {setting: `${pointer}/${missing}`, detail: 'is missing'};
	}

	if (error.keyword === 'additionalProperties') {
		const extra = (error.params as {additionalProperty: string}).additionalProperty;
		return {setting: `${pointer}/${extra}`, detail: 'is not a known setting'};
	}

	return {setting: pointer === '' ? '/' : pointer, detail: error.message ?? 'is invalid'};
}

/**
 * Validates a value with a compiled check, and narrows its type to `T`.
 *
 * @param subject What the value is, for the error message.
 * @throws {ProtocolError} When the value is invalid.
 */
export function narrow<T>(validate: ValidateFunction, value: unknown, subject: string): T {
	if (!validate(value)) {
		const {setting, detail} = describeSchemaError(validate.errors![0]);
		throw new ProtocolError(`${subject}: ${setting} ${detail}`);
	}

	return value as T;
}
