/**
 * Structured logs through `roarr`. Each part of the system logs under a fixed prefix
 * (`gateway:`, `lease:`), in short sentences, with values as context rather than
 * interpolated into the message.
 */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {Roarr, ROARR} from 'roarr';
import {LogOutput} from './log-output.js';

/** The JSON-serialisable values a log line carries beside its message. */
export type LogContext = Record<string, string | number | boolean | undefined | string[] | number[]>;

/** A logger bound to one part of the system. */
export type Logger = {
	debug(message: string, context?: LogContext): void;
	info(message: string, context?: LogContext): void;
	warn(message: string, context?: LogContext): void;
	error(message: string, context?: LogContext): void;
};

/**
 * Creates the logger of one part.
 *
 * @param part The fixed prefix, such as `gateway` or `standin-log`.
 */
export function createLogger(part: string): Logger {
	const child = Roarr.child({part});
	return {
		debug(message, context = {}) {
			child.debug(context, `${part}: ${message}`);
		},
		info(message, context = {}) {
			child.info(context, `${part}: ${message}`);
		},
		warn(message, context = {}) {
			child.warn(context, `${part}: ${message}`);
		},
		error(message, context = {}) {
			child.error(context, `${part}: ${message}`);
		},
	};
}

/**
 * Sends log lines, one JSON object each, to standard error.
 * `SESAMETALLY_LOG=off` silences them (the bench does so for its own output).
 */
export function enableLogs(environment: NodeJS.ProcessEnv): void {
	if (environment.SESAMETALLY_LOG === 'off') {
		ROARR.write = () => undefined;
		return;
	}

	ROARR.write = (line: string) => {
		process.stderr.write(line + '\n');
	};
}

/** Sends log lines to standard output without ever blocking on it. */
export function logToStandardOutput(environment: NodeJS.ProcessEnv): void {
	if (environment.SESAMETALLY_LOG === 'off') {
		return;
	}

	const output = new LogOutput();
	ROARR.write = (line: string) => {
		output.write(line, performance.now());
	};
}
