/**
 * Schema checking of settings and messages with `ajv`. One shared validator instance
 * so that schemas compile once per process.
 */
import process from 'node:process';
import {Ajv, type ErrorObject, type ValidateFunction} from 'ajv';
import {ProtocolError} from './errors.js';

const ajv = new Ajv({allErrors: false, useDefaults: true, strict: true});

/** A compiled check that narrows an unknown value to `T` or throws. */
export type Check<T> = {
	(value: unknown): T;
	readonly validate: ValidateFunction;
};

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
 * Compiles a JSON schema into a check.
 *
 * @throws {ProtocolError} From the returned check, when a value fails the schema.
 */
export function compileCheck<T>(schema: Record<string, unknown>, what: string): Check<T> {
	const validate = ajv.compile(schema);
	const check = (value: unknown): T => {
		if (!validate(value)) {
			const {setting, detail} = describeSchemaError(validate.errors![0]);
			throw new ProtocolError(`${what}: ${setting} ${detail}`);
		}

		return value as T;
	};

	return Object.assign(check, {validate});
}
