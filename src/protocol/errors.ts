import {SesametallyError} from '../errors.js';

/** A message or settings file that does not have the shape its schema asks for. */
export class ProtocolError extends SesametallyError {}

/** A settings file that is missing, unreadable or fails its schema. */
export class SettingsError extends ProtocolError {
	/**
	 * @param file The path of the settings file.
	 * @param setting The JSON pointer of the offending setting, or `(file)`.
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
