/**
 * Schema checking of settings and messages with `ajv`. One shared validator instance
 * so that schemas compile once per process.
 */
import process from 'node:process';
import {Ajv, type ValidateFunction} from 'ajv';
import {narrow} from './schema-error.js';

const ajv = new Ajv({allErrors: false, useDefaults: true, strict: true});

/** A compiled check that narrows an unknown value to `T` or throws. */
export type Check<T> = {
	(value: unknown): T;
	readonly validate: ValidateFunction;
};

/**
 * Compiles a JSON schema into a check.
 *
 * @throws {ProtocolError} From the returned check, when a value fails the schema.
 */
export function compileCheck<T>(schema: Record<string, unknown>, what: string): Check<T> {
	const validate = ajv.compile(schema);
	const check = (value: unknown): T => narrow<T>(validate, value, what);
	return Object.assign(check, {validate});
}
