/**
 * Structured logs, based on `roarr`. Each part of the system logs short sentences with a
 * fixed prefix (`gateway:`, `lease:`), and passes values as context rather than
 * interpolating them into the message.
 */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {Roarr, ROARR} from 'roarr';
import {LogOutput} from './log-output.js';

/** JSON-serialisable values that a log line contains in addition to its message. */
export type LogContext = Record<string, string | number | boolean | undefined | string[] | number[]>;

/** The logger of one part of the system. */
export type Logger = {
	debug(message: string, context?: LogContext): void;
	info(message: string, context?: LogContext): void;
	warn(message: string, context?: LogContext): void;
	error(message: string, context?: LogContext): void;
};

/**
 * Creates the logger of one part of the system.
 *
 * @param part The fixed prefix, such as `gateway` or `standin-log`.
 */
export function createLogger(part: string): Logger {
	const logger = Roarr.child({part});
	return {
		debug(message, context = {}) {
			logger.debug(context, `${part}: ${message}`);
		},
		info(message, context = {}) {
			logger.info(context, `${part}: ${message}`);
		},
		warn(message, context = {}) {
			logger.warn(context, `${part}: ${message}`);
		},
		error(message, context = {}) {
			logger.error(context, `${part}: ${message}`);
		},
	};
}

/**
 * Writes log lines to standard error, each as one JSON object. `SESAMETALLY_LOG=off`
 * disables them, as the benchmark does to keep its own output readable.
 */
export function logToStandardError(environment: NodeJS.ProcessEnv): void {
	if (environment.SESAMETALLY_LOG === 'off') {
		ROARR.write = () => undefined;
		return;
	}

	ROARR.write = (line: string) => {
		process.stderr.write(line + '\n');
	};
}

/** Writes log lines to standard output without blocking, and returns that output; `SESAMETALLY_LOG=off` disables them. */
export function logToStandardOutput(environment: NodeJS.ProcessEnv): LogOutput | undefined {
	if (environment.SESAMETALLY_LOG === 'off') {
		return;
	}

	const output = new LogOutput();
	ROARR.write = (line: string) => {
		output.write(line, performance.now());
	};

	return output;
}
