/**
 * The command line of the binary: `gateway`, `front`, `explain`, `standin`, `admin` and `bench`. Each
 * subcommand loads its module only when it runs, since loading all of them takes 0.5 s of
 * CPU time, which would delay a restarted daemon.
 */
// Must stay the first import: it sets the environment variable that roarr reads when the first logger is created.
import './log-environment.js'; // eslint-disable-line import-x/no-unassigned-import, import-x/order
import process from 'node:process';
import {
	command, flag, number, oneOf, option, optional, positional, run, string, subcommands,
} from 'cmd-ts';
import {logToStandardError, logToStandardOutput} from '../log.js';
import {SesametallyError} from '../errors.js';
import {AssignmentMode} from '../coordination/assignment/assignment-activation.js';
import {AdminAction, StandinPart} from './subcommands.js';

/** How long a daemon that has stopped waits until its last log lines have been read, in milliseconds. */
const logFlushMs = 250;

/** Creates a signal that aborts on SIGTERM or SIGINT, for a graceful stop. A second SIGINT ends the process at once. */
function createStopSignal(): AbortSignal {
	const controller = new AbortController();
	const abort = () => {
		controller.abort();
	};

	// A supervisor may repeat SIGTERM; without a listener, that would end the process with requests open.
	process.on('SIGTERM', abort);
	process.once('SIGINT', abort);

	return controller.signal;
}

/** Runs a long-running task until it ends or the process is told to stop; on an error, prints the message and sets exit code 2. */
async function runRole(task: (signal: AbortSignal) => Promise<void>): Promise<void> {
	const signal = createStopSignal();
	try {
		await task(signal);
		process.exitCode = 0;
	} catch (error) {
		const message = error instanceof SesametallyError ? error.message : String(error);
		process.stderr.write(`sesametally: ${message}\n`);
		process.exitCode = 2;
	}
}

const config = option({
	long: 'config', short: 'c', type: string, description: 'JSON settings file',
});

const gateway = command({
	name: 'gateway',
	description: 'Run a gateway, which serves callers, follows the configuration and exchanges heartbeats with other gateways.',
	args: {config},
	handler: async ({config: file}) => runRole(async signal => {
		const {runGateway} = await import('./commands/gateway.js');
		await runGateway(file, signal);
	}),
});

const front = command({
	name: 'front',
	description: 'Run a serving daemon on the platform, with the settings file that the platform provides.',
	args: {
		assignment: option({
			long: 'assignment', type: oneOf(Object.values(AssignmentMode)), defaultValue: () => AssignmentMode.Auto, description: 'whether coordinators assign requests to backend servers: auto (where the configuration or the backend servers call for it) or off',
		}),
	},
	async handler({assignment}) {
		const output = logToStandardOutput(process.env);
		await runRole(async signal => {
			const {createPlatform} = await import('../../platform/index.js');
			const {runFront} = await import('./commands/front.js');
			await runFront(createPlatform(), assignment, signal);
		});
		await output?.close(logFlushMs);
	},
});

const standins = subcommands({
	name: 'standin',
	description: 'Run a stand-in for a service of the platform.',
	cmds: Object.fromEntries(Object.values(StandinPart).map(part => [part, command({
		name: part,
		description: `Run the ${part} stand-in.`,
		args: {config},
		handler: async ({config: file}) => runRole(async signal => {
			const {runStandin} = await import('./commands/standin.js');
			await runStandin(part, file, signal);
		}),
	})])),
});

const adminArgs = {
	url: option({long: 'url', type: string, description: 'admin URL of a gateway, such as http://127.0.0.1:9080'}),
	token: option({
		long: 'token', type: optional(string), env: 'SESAMETALLY_TOKEN', description: 'team bearer token',
	}),
	base: option({long: 'base', type: optional(number), description: 'config version that the change is based on (default: the gateway\'s version)'}),
};

const adminTargetDescriptions: Record<AdminAction, string | undefined> = {
	[AdminAction.Publish]: 'preset JSON file',
	[AdminAction.Activate]: 'preset name',
	[AdminAction.Drain]: 'backend server id',
	[AdminAction.Undrain]: 'backend server id',
	[AdminAction.Status]: undefined,
	[AdminAction.Dump]: undefined,
};

const admin = subcommands({
	name: 'admin',
	description: 'Operate the fleet through a gateway\'s administration API.',
	cmds: Object.fromEntries(Object.values(AdminAction).map(action => {
		const targetDescription = adminTargetDescriptions[action];
		return [action, command({
			name: action,
			description: `${action}${targetDescription === undefined ? '' : ` a ${targetDescription}`}`,
			args: {...adminArgs, target: positional({type: targetDescription === undefined ? optional(string) : string, displayName: targetDescription ?? 'unused'})},
			async handler(options) {
				try {
					const {runAdmin} = await import('./commands/admin.js');
					process.exitCode = await runAdmin(action, options);
				} catch (error) {
					process.stderr.write(`sesametally: ${String(error)}\n`);
					process.exitCode = 2;
				}
			},
		})];
	})),
});

const bench = command({
	name: 'bench',
	description: 'Run a load and fault experiment from a JSON file and write its report.',
	args: {
		experiment: option({
			long: 'experiment', short: 'e', type: string, description: 'experiment JSON file',
		}),
		out: option({long: 'out', type: optional(string), description: 'report JSON file'}),
		format: option({long: 'format', type: optional(oneOf(['text', 'json'])), description: 'summary format'}),
	},
	handler: async options => runRole(async signal => {
		const {runBench} = await import('./commands/bench.js');
		await runBench(options.experiment, options.out, signal);
	}),
});

const explain = command({
	name: 'explain',
	description: 'Explain where a request would go now, and why, without sending it.',
	args: {
		url: option({long: 'url', type: string, description: 'diagnostics address of a daemon, such as http://10.1.0.14:9464'}),
		host: option({long: 'host', type: string, description: 'host of the request'}),
		path: option({long: 'path', type: string, description: 'path of the request'}),
		account: option({long: 'account', type: optional(string), description: 'name of the client account'}),
		tokens: option({long: 'tokens', type: optional(string), description: 'prompt tokens and most output tokens: IN,OUT'}),
		parts: option({long: 'parts', type: optional(string), description: 'parts of the prompt: ID:TOKENS,...'}),
		json: flag({long: 'json', description: 'print JSON'}),
	},
	async handler(options) {
		try {
			const {runExplain} = await import('./commands/explain.js');
			process.exitCode = await runExplain(options);
		} catch (error) {
			process.stderr.write(`sesametally: ${String(error)}\n`);
			process.exitCode = 2;
		}
	},
});

const cli = subcommands({
	name: 'sesametally',
	description: 'Serving system for language-model fleets on reclaimable VMs.',
	cmds: {
		gateway, front, explain, standin: standins, admin, bench,
	},
});

// A SIGHUP that arrives before a command listens for it must not end the process.
process.on('SIGHUP', () => undefined);
logToStandardError(process.env);
void run(cli, process.argv.slice(2));
