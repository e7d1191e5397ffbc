/** Callers of a soak run. They keep their connections, and remember what they sent and what they were told. */
import {Agent, request as startRequest} from 'node:http';
import {streamEvents} from '../platform/__tests__/standins.js';
import {fatalBody, type SoakWorld} from './world.js';

/** One try of a client. */
export type Try = {
	id: string;
	kind: string;
	apiKey: string;
	sentAtMs: number;
	/** Undefined when no answer began. */
	status: number | undefined;
	isSealed: boolean;
	body: string;
	isWhole: boolean;
};

/** The kinds of request, as the first part of the path. */
const kinds = ['call', 'pay', 'stream', 'once'];
/** Pause between two tries of a client, in milliseconds. */
const pauseMs = 15;
/** A client gives up after this, in milliseconds. */
const patienceMs = 2500;

/** Sends tries until the signal aborts, and returns them all. */
export async function runClient(world: SoakWorld, name: string, signal: AbortSignal): Promise<Try[]> {
	const tries: Try[] = [];
	const agent = new Agent({keepAlive: true});
	for (let count = 0; !signal.aborted; count++) {
		const daemon = world.daemons[(count + name.length) % world.daemons.length];
		// eslint-disable-next-line no-await-in-loop -- a client waits for its answer.
		tries.push(await sendTry(world, {
			agent, host: daemon.host, id: `${name}-${count}`, kind: kinds[count % kinds.length],
		}));
		// eslint-disable-next-line no-await-in-loop
		await new Promise(resolve => {
			setTimeout(resolve, pauseMs);
		});
	}

	agent.destroy();
	return tries;
}

/** Pause between two tries of the client whose request crashes replicas, in milliseconds. */
const fatalPauseMs = 250;

/** Sends the request that crashes replicas, to one daemon after the other, until the signal aborts. */
export async function runFatalClient(world: SoakWorld, signal: AbortSignal): Promise<void> {
	const agent = new Agent({keepAlive: true});
	for (let count = 0; !signal.aborted; count++) {
		// eslint-disable-next-line no-await-in-loop -- it comes again after each answer.
		await sendTry(world, {
			agent, host: world.daemons[count % world.daemons.length].host, id: `fatal-${count}`, kind: 'stream', path: '/stream/fatal', body: fatalBody,
		});
		// eslint-disable-next-line no-await-in-loop
		await new Promise(resolve => {
			setTimeout(resolve, fatalPauseMs);
		});
	}

	agent.destroy();
}

/** One try: where it goes, and what it asks. */
type TryInputs = {agent: Agent; host: string; id: string; kind: string; path?: string; body?: string};

async function sendTry(world: SoakWorld, {agent, host, id, kind, path = `/${kind}/${id}`, body = id}: TryInputs): Promise<Try> {
	const [apiKey] = world.apiKeys;
	const record: Try = {
		id, kind, apiKey, sentAtMs: Date.now(), status: undefined, isSealed: false, body: '', isWhole: false,
	};
	return new Promise(resolve => {
		const request = startRequest({
			agent, host, port: world.callersPort, method: 'POST', path, timeout: patienceMs, headers: {
				host: 'h.example', 'X-Sesametally-Attempt-Id': id, 'X-Sesametally-Deadline-Ms': '2000', 'X-Sesametally-Key': apiKey,
			},
		}, response => {
			record.status = response.statusCode;
			record.isSealed = response.headers['x-sesametally-replica-seal'] !== undefined;
			response.on('data', chunk => {
				record.body += String(chunk);
			});
			response.on('error', () => undefined);
			response.once('close', () => {
				record.isWhole = response.complete;
				resolve(record);
			});
		});
		request.on('timeout', () => {
			request.destroy();
		});
		request.on('error', () => {
			resolve(record);
		});
		request.end(body);
	});
}

/** Why an answer breaks a promise by itself, if it does. */
export function judgeAnswer(record: Try): string | undefined {
	const {status, isWhole, isSealed, body, kind, id} = record;
	if (status === undefined || status >= 300 || !isWhole) {
		return undefined;
	}

	if (!isSealed) {
		return 'a success without the replica\'s signature';
	}

	const isStream = kind === 'stream' || kind === 'once';
	const expected = isStream ? Array.from({length: streamEvents}, (_, index) => `id: ${index + 1}`).join(' ') : `POST /${kind}/${id} ${id}`;
	const received = isStream ? (body.match(/^id: \d+$/gmv) ?? []).join(' ') : body;
	return received === expected ? undefined : `a success with the wrong body: ${received}`;
}
