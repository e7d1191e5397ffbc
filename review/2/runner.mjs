/** Case 2: wrong bytes in the status line of one stream's answer end the daemon, and with it all requests in it. */
/* eslint-disable camelcase -- the fields of the wire format are spelled with underscores. */
import {setTimeout as delay} from 'node:timers/promises';
import {CallReplica} from '../standins/call-replica.mjs';
import {Client} from '../standins/clients.mjs';
import {hasTrouble, main, zones} from '../standins/deployment.mjs';
import {StreamReplica} from '../standins/stream-replica.mjs';

const engines = 'modelo-mesa';
const service = 'liquidacion';
/** When the disruption begins, in milliseconds from the start of traffic, and how long it lasts. */
const troubleAtMs = 5000;
const troubleMs = 5000;
/** Four of the eight engines spoil one in fifty of their answers. */
const spoilsOneOf = 50;
const trafficMs = 20_000;
/** More requests than this, passed on to sound replicas and closed without an answer, break the rule. */
const allowedLost = 3;
const host = 'ficu95.example';
const streamRoute = {
	host, kind: 'streaming', timeout_ms: 15_000, latency_target_ms: 1200, gap_target_ms: 300, priority: 0, attempts: 1, resumable: false, sticky: true, service: engines,
};

/** Returns the headers of a request for a stream. */
function promptHeaders(index, promptTokens, outputTokens) {
	return {
		'X-Sesametally-Model': 'm',
		'X-Sesametally-Token-Counts': `${promptTokens},${outputTokens}`,
		'X-Sesametally-Prompt-Prefix': `5c1e07a${index % 8}:198,${index.toString(16)}${Date.now().toString(16)}:${promptTokens - 198}`,
	};
}

await main('review/2', async (deployment, record) => {
	await deployment.open({
		routes: [
			{name: 'carta-disputa', path_prefix: '/lohu930/', ...streamRoute},
			{name: 'consulta-embarque', path_prefix: '/goru21/', ...streamRoute},
			{
				name: 'aviso-warrant', host, path_prefix: '/puxa403/', kind: 'non_idempotent', timeout_ms: 1500, latency_target_ms: 121, priority: 0, attempts: 1, service,
			},
		],
		services: [
			{
				name: engines, max_conns: 360, engine: {
					slots: 64, kv_tokens: 593_988, moves: true, stride: 5,
				},
			},
			{name: service, max_conns: 96},
		],
	});
	const streams = Array.from({length: 8}, (_, index) => new StreamReplica(`i-e${index}7f3a91`, zones[index % zones.length], record));
	const calls = zones.map((zone, index) => new CallReplica(`i-c${index}7f3a91`, zone, record));
	const faulty = streams.slice(0, 4);
	await Promise.all([...streams, ...calls].map(async replica => replica.start()));
	for (const replica of [...streams, ...calls]) {
		deployment.list(replica, streams.includes(replica) ? engines : service);
	}

	await deployment.startDaemons(2);
	const startedAtMs = Date.now();
	const disrupt = async () => {
		await delay(troubleAtMs);
		record.add(`${faulty.length} of ${streams.length} engines spoil one in ${spoilsOneOf} of their answers`);
		for (const replica of faulty) {
			replica.spoilsOneOf = spoilsOneOf;
		}

		await delay(troubleMs);
		record.add('they stop to do so');
		for (const replica of faulty) {
			replica.spoilsOneOf = 0;
		}
	};

	const runClients = async (count, createRequest) => {
		const clients = Array.from({length: count}, (_, index) => new Client(deployment.daemons[index % 2], record));
		const lists = await Promise.all(clients.map(async (client, index) => client.run(() => createRequest(index), startedAtMs + trafficMs)));
		return lists.flat();
	};

	const [letters, queries, notices] = await Promise.all([
		runClients(24, index => ({path: '/lohu930/2f', deadlineMs: 15_000, headers: promptHeaders(index, 826, 290)})),
		runClients(32, index => ({path: '/goru21/2f', deadlineMs: 3000, headers: promptHeaders(index, 2368, 25)})),
		runClients(24, () => ({path: '/puxa403/2f', deadlineMs: 1500})),
		hasTrouble ? disrupt() : undefined,
	]);
	await delay(1000);
	const results = [...letters, ...queries, ...notices];
	const soundRuns = new Set([...streams.filter(replica => !faulty.includes(replica)), ...calls].flatMap(({runs}) => runs));
	const lost = results.filter(({id, status, isReused}) => status === undefined && isReused && soundRuns.has(id));
	for (const {id, error} of lost) {
		record.add(`LOST: ${id} came on a kept connection and was passed on to a sound replica, and its connection was closed without an answer (${error})`);
	}

	const broken = results.filter(({id, status, isComplete}) => status === 200 && !isComplete && soundRuns.has(id));
	const ends = deployment.daemons.flatMap(daemon => daemon.ends);
	let spoiled = 0;
	for (const replica of faulty) {
		spoiled += replica.spoiled;
	}

	const exitCodes = ends.map(({code}) => code).join(', ') || 'none';
	record.add([
		`${results.length} requests`,
		`${spoiled} answers were spoiled`,
		`daemons ended by themselves ${ends.length} times (exit codes: ${exitCodes})`,
		`${lost.length} requests passed on to sound replicas were closed without an answer (more than ${allowedLost} break the rule), and ${broken.length} streams of sound replicas were broken off`,
	].join('; '));
	return lost.length > allowedLost;
});
