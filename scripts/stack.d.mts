import type {ChildProcess} from 'node:child_process';

export const host: string;

export type StackProcess = {name: string; args: string[]};
export type StackGateway = {id: string; port: number; adminPort: number; failureDomain: string; url: string; adminUrl: string};

export function writeStackSettings(topology: Record<string, unknown>, dir: string): {
	processes: StackProcess[];
	gateways: StackGateway[];
	logUrl: string;
	cloudUrl: string;
};

export function startStack(processes: StackProcess[], options?: {binary?: string; quiet?: boolean}): {
	children: Array<{name: string; child: ChildProcess; exited: Promise<number | undefined>}>;
	stop(): Promise<void>;
};

export function waitUntil(condition: () => Promise<boolean>, timeoutMs?: number): Promise<void>;
