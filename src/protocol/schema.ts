/**
 * Compiles JSON schemas of settings and messages with `ajv`. All schemas share one `ajv`
 * instance, so that each is compiled once per process.
 */
import process from 'node:process';
import {Ajv, type ValidateFunction} from 'ajv';
import {narrow} from './schema-error.js';

const ajv = new Ajv({allErrors: false, useDefaults: true, strict: true});

/** A compiled schema check, which narrows an unknown value to `T` or throws. */
export type Check<T> = {
	(value: unknown): T;
	readonly validate: ValidateFunction;
};

/**
 * Compiles a JSON schema into a check.
 *
 * @param subject What the checked values are, for the error message.
 * @throws {ProtocolError} From the returned check, when a value fails the schema.
 */
export function compileCheck<T>(schema: Record<string, unknown>, subject: string): Check<T> {
	const validate = ajv.compile(schema);
	const check = (value: unknown): T => narrow<T>(validate, value, subject);
	return Object.assign(check, {validate});
}
