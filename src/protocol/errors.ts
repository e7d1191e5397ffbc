/** The errors of messages and settings files that fail their schema. */
import {SesametallyError} from '../errors.js';

/** A message or settings file that does not match its schema. */
export class ProtocolError extends SesametallyError {}

/** A settings file that is missing, unreadable or fails its schema. */
export class SettingsError extends ProtocolError {
	/**
	 * @param file The path of the settings file.
	 * @param setting The JSON pointer of the invalid setting, or `(file)` for the file as a whole.
	 * @param detail What is wrong with the setting, as a predicate: `is missing`.
	 */
	constructor(
		readonly file: string,
		readonly setting: string,
		detail: string,
		options?: ErrorOptions,
	) {
		super(`settings file ${file}: setting ${setting} ${detail}`, options);
	}
}
