/** Types of stack.mjs, which starts the local stack. */
import type {ChildProcess} from 'node:child_process';

/** Loopback address on which all processes of a stack listen. */
export const host: string;

/** A process of a stack: its name, and the arguments of its command line. */
export type StackProcess = {name: string; args: string[]};
/** A gateway of a stack, with its ports and URLs for clients and for the admin API. */
export type StackGateway = {id: string; port: number; adminPort: number; failureDomain: string; url: string; adminUrl: string};

/** Writes the settings files of a topology (see examples/*\/stack.json) into `dir` and returns the processes to start. */
export function writeStackSettings(topology: Record<string, unknown>, dir: string): {
	processes: StackProcess[];
	gateways: StackGateway[];
	logUrl: string;
	cloudUrl: string;
};

/**
 * Starts each process of a stack; `stop()` sends SIGTERM to all and waits until they have exited. `binary` is the bundle to run,
 * by default dist/sesametally.cjs; `quiet` discards the output of the processes.
 */
export function startStack(processes: StackProcess[], options?: {binary?: string; quiet?: boolean}): {
	children: Array<{name: string; child: ChildProcess; exited: Promise<number | undefined>}>;
	stop(): Promise<void>;
};

/** Polls a condition until it holds; one that throws doesn't hold yet. Throws if it doesn't hold within `timeoutMs` milliseconds. */
export function waitUntil(condition: () => Promise<boolean>, timeoutMs?: number): Promise<void>;
