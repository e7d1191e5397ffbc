/** Clients of a soak run. Each keeps its connections open and records every request that it sent and the answer that it got. */
import {Agent, request as startRequest} from 'node:http';
import {eventIds} from '../platform/__tests__/front-program.js';
import {streamEvents} from '../platform/__tests__/standins.js';
import {fatalBody, type SoakCluster} from './cluster.js';
import {plannedTimeoutMs} from './planned-faults.js';
import {fatalPart, firstPart} from './prompt-faults.js';

/** A request of a client, and the answer to it. */
export type RequestRecord = {
	id: string;
	kind: string;
	apiKey: string;
	/** Address of the daemon that it was sent to. */
	host: string;
	sentAtMs: number;
	/** When the answer or the attempt ended, in milliseconds since 1970. */
	endedAtMs: number;
	/** HTTP status, undefined when no answer began. */
	status: number | undefined;
	/** The seal of the replica that gave the answer, if it carries one. */
	replicaSeal: string | undefined;
	body: string;
	/** The id of the attempt that began the stream which this one takes up, and the last event that the client had. */
	resumedId?: string;
	lastEventId?: number;
	/** Whether the answer arrived to its end. */
	isComplete: boolean;
	/** Whether a connection was open for it. */
	isConnected: boolean;
	/** Whether the client closed the connection, since nothing arrived for too long. */
	hasGivenUp: boolean;
};

/** The kinds of request; each is the first segment of the path and has a route of its own. */
const requestKinds = ['call', 'pay', 'stream', 'once'];
/** The kinds in runs with several versions. */
const streamHeavyKinds = ['stream', 'stream', 'call', 'stream', 'once'];
/** The kinds in runs with moves. */
const movedKinds = ['once', 'once', 'once', 'stream', 'pay'];
/** The kinds in runs with planned work. */
const plannedKinds = ['stream', 'stream', 'once', 'stream', 'call', 'pay'];
/** What follows the id in the bodies of streams in runs with moves, so that they arrive after their heads. */
const longBody = ' '.repeat(14_000);
const resumesHeader = 'Resumes';
/** Pause between two requests of a client, in milliseconds. */
const requestPauseMs = 15;
/** Of so many requests, the number that go to a daemon that receives most of them. */
const requestsPerFloodStep = 5;
const floodedRequests = 4;
/** The second part of the prompts of sound requests. */
const soundPart = 'cc01';
/** Time after which a client cancels a request, in milliseconds. */
const requestTimeoutMs = 2500;

/** Sends requests one after the other until the signal aborts, and returns the records of all. */
export async function runClient(cluster: SoakCluster, name: string, signal: AbortSignal): Promise<RequestRecord[]> {
	const records: RequestRecord[] = [];
	const agent = new Agent({keepAlive: true});
	for (let count = 0; !signal.aborted; count++) {
		const isFlooding = cluster.floodedDaemon !== undefined && count % requestsPerFloodStep < floodedRequests;
		const daemon = isFlooding ? cluster.floodedDaemon! : cluster.daemons[(count + name.length) % cluster.daemons.length];
		const {hasMoves} = cluster.options;
		const kinds = selectKinds(cluster);
		const id = `${name}-${count}`;
		const kind = kinds[count % kinds.length];
		const inputs: RequestInputs = {
			agent, host: daemon.host, id, kind, sharedParts: cluster.options.hasPrompts ? [firstPart, soundPart] : undefined, body: hasMoves && kind !== 'pay' ? id + longBody : id,
		};
		// eslint-disable-next-line no-await-in-loop -- a client waits for its answer before the next request.
		const record = await sendRequest(cluster, inputs);
		records.push(record);
		const received = eventIds(record.body).at(-1);
		if (cluster.options.hasVersions === true && record.kind === 'stream' && record.status === 200 && !record.isComplete && received !== undefined) {
			// eslint-disable-next-line no-await-in-loop
			records.push(...await takeUp(cluster, inputs, received));
		}

		// eslint-disable-next-line no-await-in-loop
		await new Promise(resolve => {
			setTimeout(resolve, requestPauseMs);
		});
	}

	agent.destroy();
	return records;
}

/** Returns the kinds of request that clients send in turn. */
function selectKinds({options: {hasVersions, hasMoves, hasPlannedWork}}: SoakCluster): string[] {
	if (hasVersions) {
		return streamHeavyKinds;
	}

	if (hasMoves) {
		return movedKinds;
	}

	return hasPlannedWork ? plannedKinds : requestKinds;
}

/** Attempts to take a stream up, and the pause before each, in milliseconds. */
const maxTakeUps = 6;
const takeUpPauseMs = 700;

/** Takes a stream up that broke off, at one daemon after the other, until it goes on. */
async function takeUp(cluster: SoakCluster, begun: RequestInputs, lastEventId: number): Promise<RequestRecord[]> {
	const attempts: RequestRecord[] = [];
	const first = cluster.daemons.findIndex(({host}) => host === begun.host);
	for (let attempt = 1; attempt <= maxTakeUps && attempts.at(-1)?.status !== 200; attempt++) {
		// eslint-disable-next-line no-await-in-loop -- one after the other.
		await new Promise(resolve => {
			setTimeout(resolve, takeUpPauseMs);
		});
		// eslint-disable-next-line no-await-in-loop
		attempts.push(await sendRequest(cluster, {
			...begun, host: cluster.daemons[(first + attempt) % cluster.daemons.length].host, id: `${begun.id}-r${attempt}`, resumedId: begun.id, lastEventId, path: `/stream/${begun.id}`, body: begun.id,
		}));
	}

	return attempts;
}

/** Pause between two requests of the client whose request crashes replicas, in milliseconds. */
const fatalRequestPauseMs = 250;

/** Sends the request that crashes replicas to each daemon in turn, until the signal aborts. */
export async function runFatalClient(cluster: SoakCluster, signal: AbortSignal): Promise<void> {
	const agent = new Agent({keepAlive: true});
	for (let count = 0; !signal.aborted; count++) {
		// eslint-disable-next-line no-await-in-loop -- the request is sent again only after its answer.
		await sendRequest(cluster, {
			agent, host: cluster.daemons[count % cluster.daemons.length].host, id: `fatal-${count}`, kind: 'stream', path: '/stream/fatal', body: fatalBody,
		});
		// eslint-disable-next-line no-await-in-loop
		await new Promise(resolve => {
			setTimeout(resolve, fatalRequestPauseMs);
		});
	}

	agent.destroy();
}

/** Sends requests whose prompts have a part that crashes replicas to each daemon in turn, until the signal aborts; no two are alike. */
export async function runFatalPromptClient(cluster: SoakCluster, signal: AbortSignal): Promise<RequestRecord[]> {
	const records: RequestRecord[] = [];
	const agent = new Agent({keepAlive: true});
	const kinds = ['stream', 'once', 'call'];
	for (let count = 0; !signal.aborted; count++) {
		// eslint-disable-next-line no-await-in-loop -- one request after the other.
		records.push(await sendRequest(cluster, {
			agent, host: cluster.daemons[count % cluster.daemons.length].host, id: `fatal-prompt-${count}`, kind: kinds[count % kinds.length], sharedParts: [firstPart, fatalPart],
		}));
		// eslint-disable-next-line no-await-in-loop
		await new Promise(resolve => {
			setTimeout(resolve, fatalRequestPauseMs);
		});
	}

	agent.destroy();
	return records;
}

/** Destination and content of one request; `sharedParts` are all parts of its prompt but the last. */
type RequestInputs = {agent: Agent; host: string; id: string; kind: string; path?: string; body?: string; resumedId?: string; lastEventId?: number; sharedParts?: string[]};

/** Sends one request and waits for the end of its answer, an error or the time limit. */
async function sendRequest(cluster: SoakCluster, {agent, host, id, kind, path = `/${kind}/${id}`, body = id, resumedId, lastEventId, sharedParts}: RequestInputs): Promise<RequestRecord> {
	const [apiKey] = cluster.apiKeys;
	const record: RequestRecord = {
		id, kind, apiKey, host, sentAtMs: Date.now(), endedAtMs: Number.POSITIVE_INFINITY, status: undefined, replicaSeal: undefined, body: '', resumedId, lastEventId, isComplete: false, isConnected: false, hasGivenUp: false,
	};
	return new Promise(resolve => {
		const request = startRequest({
			agent, host, port: cluster.clientPort, method: 'POST', path, timeout: cluster.options.hasPlannedWork ? plannedTimeoutMs : requestTimeoutMs, headers: {
				host: 'h.example', 'X-Sesametally-Attempt-Id': id, 'X-Sesametally-Deadline-Ms': String(cluster.options.hasPlannedWork ? plannedTimeoutMs : 2000), 'X-Sesametally-Key': apiKey, ...(resumedId !== undefined && {'Last-Event-Id': String(lastEventId), [resumesHeader]: resumedId}),
				...(sharedParts && {'X-Sesametally-Prompt-Prefix': [...sharedParts, 'ffff'].map(part => `${part}:50`).join(',')}),
			},
		}, response => {
			record.status = response.statusCode;
			record.replicaSeal = response.headers['x-sesametally-replica-seal'] as string | undefined;
			response.on('data', chunk => {
				record.body += String(chunk);
			});
			response.on('error', () => undefined);
			response.once('close', () => {
				record.isComplete = response.complete;
				record.endedAtMs = Date.now();
				resolve(record);
			});
		});
		request.on('socket', socket => {
			record.isConnected = !socket.connecting;
			if (socket.connecting) {
				socket.once('connect', () => {
					record.isConnected = true;
				});
			}
		});
		request.on('timeout', () => {
			record.hasGivenUp = true;
			request.destroy();
		});
		request.on('error', () => {
			record.endedAtMs = Math.min(record.endedAtMs, Date.now());
			resolve(record);
		});
		request.end(body);
	});
}

/** Returns the ids of the events of a stream, and what is left after its last whole event. */
function findEvents(body: string): string {
	return body.split('\n\n').map(event => event.replace(/\ndata: .*$/v, '')).join(' ').trimEnd();
}

/** Returns what is wrong with a complete success by itself: a missing seal or a body other than the replica's. */
export function findAnswerViolation(record: RequestRecord): string | undefined {
	const {status, isComplete, replicaSeal, body, kind, id, lastEventId = 0} = record;
	if (status === undefined || status >= 300 || !isComplete) {
		return undefined;
	}

	if (replicaSeal === undefined) {
		return 'a success without the replica\'s seal';
	}

	const isStream = kind === 'stream' || kind === 'once';
	const expected = isStream ? Array.from({length: streamEvents - lastEventId}, (_, index) => `id: ${index + 1 + lastEventId}`).join(' ') : `POST /${kind}/${id} ${id}`;
	const received = isStream ? findEvents(body) : body;
	return received === expected ? undefined : `a success with the wrong body: ${received}`;
}
