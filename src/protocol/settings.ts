/**
 * The parts that the JSON settings of all processes share, and the loader that checks them.
 * A process learns its addresses and failure domain only from its settings. The settings
 * of a gateway are in `gateway-settings.ts`, those of the stand-ins in `standins/settings.ts`.
 */
import {readFileSync} from 'node:fs';
import {type ValidateFunction} from 'ajv';
import {describeSchemaError} from './schema-error.js';
import {SettingsError} from './errors.js';

/** The address at which a server listens. */
export type Listen = {
	host: string;
	port: number;
};

/** The schema of {@link Listen}. */
export const listenSchema = {
	type: 'object',
	properties: {
		host: {type: 'string', minLength: 1},
		port: {type: 'integer', minimum: 0, maximum: 65_535},
	},
	required: ['host', 'port'],
	additionalProperties: false,
};

/** The schema of an id: lower-case letters, digits and dashes. */
export const idSchema = {type: 'string', pattern: '^[a-z0-9][a-z0-9-]*$'};
/** The schema of the URL of another process. */
export const urlSchema = {type: 'string', pattern: '^(https?|wss?)://'};

/**
 * Reads a JSON settings file, checks it against a schema and fills in defaults.
 *
 * @param file The path of the JSON file.
 * @param validate The compiled validator of the settings.
 * @throws {SettingsError} When the file is missing, is not JSON or fails the schema; the
 * error names the file and the setting.
 */
export function loadSettings<T>(file: string, validate: ValidateFunction): T {
	let text: string;
	try {
		text = readFileSync(file, 'utf8');
	} catch (error) {
		throw new SettingsError(file, '(file)', 'cannot be read', {cause: error});
	}

	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch (error) {
		throw new SettingsError(file, '(file)', 'is not valid JSON', {cause: error});
	}

	if (!validate(value)) {
		const {setting, detail} = describeSchemaError(validate.errors![0]);
		throw new SettingsError(file, setting, detail);
	}

	return value as T;
}
