/** Case 1: the late extra refusal of one request is taken for the answer to the next one, which then runs twice. */
/* eslint-disable camelcase -- the fields of the wire format are spelled with underscores. */
import {setTimeout as delay} from 'node:timers/promises';
import {CallReplica} from '../standins/call-replica.mjs';
import {Client} from '../standins/clients.mjs';
import {hasTrouble, main, zones} from '../standins/deployment.mjs';

const service = 'liquidacion';
const clientCount = 90;
/** Shortest pause of a client between two requests, in milliseconds. */
const pauseMs = 5;
/** When the disruption begins, in milliseconds from the start of traffic, each time, and how long it lasts. */
const troublesAtMs = [5000, 15_000, 25_000];
const troubleMs = 5000;
/** Two of the four replicas send an extra answer after one in fifty of their answers. */
const extraShare = 0.02;
const trafficMs = 32_000;
/** The statuses that promise that a request has not run and never will. */
const promises = new Set([408, 421, 429, 503]);

await main('review/1', async (deployment, record) => {
	await deployment.open({
		routes: [{
			name: 'aviso-warrant', host: 'ficu95.example', path_prefix: '/puxa403/', kind: 'non_idempotent', timeout_ms: 1500, latency_target_ms: 121, priority: 0, attempts: 1, service,
		}],
		services: [{name: service, max_conns: 96}],
	});
	const replicas = zones.map((zone, index) => new CallReplica(`i-c${index}7f3a91`, zone, record));
	const faulty = replicas.slice(0, 2);
	await Promise.all(replicas.map(async replica => replica.start()));
	for (const replica of replicas) {
		deployment.list(replica, service);
	}

	await deployment.startDaemons(2);
	const startedAtMs = Date.now();
	const disrupt = async () => {
		for (const atMs of troublesAtMs) {
			await delay(startedAtMs + atMs - Date.now()); // eslint-disable-line no-await-in-loop -- one after the other.
			record.add(`two of four replicas send an extra answer after ${extraShare} of their answers`);
			for (const replica of faulty) {
				replica.extraShare = extraShare;
			}

			await delay(troubleMs); // eslint-disable-line no-await-in-loop
			record.add('they stop to do so');
			for (const replica of faulty) {
				replica.extraShare = 0;
			}
		}
	};

	const createRequest = () => ({path: '/puxa403/2f', deadlineMs: 1500});
	const clients = Array.from({length: clientCount}, (_, index) => new Client(deployment.daemons[index % 2], record));
	const [resultLists] = await Promise.all([
		Promise.all(clients.map(async client => client.run(createRequest, startedAtMs + trafficMs, pauseMs))),
		hasTrouble ? disrupt() : undefined,
	]);
	await delay(2000);
	const results = resultLists.flat();
	const runsById = new Map();
	for (const replica of replicas) {
		for (const id of replica.runs) {
			runsById.set(id, [...runsById.get(id) ?? [], replica.id]);
		}
	}

	const twice = [...runsById].filter(([, runs]) => runs.length > 1);
	for (const [id, runs] of twice) {
		record.add(`TWICE: ${id} ran at ${runs.join(' and ')}; its client got ${results.find(result => result.id === id)?.status}`);
	}

	const refused = results.filter(({id, status}) => promises.has(status) && runsById.has(id));
	for (const {id, status} of refused) {
		record.add(`REFUSED: ${id} was answered ${status}, and ran at ${runsById.get(id).join(' and ')}`);
	}

	const counts = new Map();
	for (const {status} of results) {
		counts.set(status, (counts.get(status) ?? 0) + 1);
	}

	const extras = replicas.flatMap(replica => [...replica.extras].map(([status, count]) => `${count} x ${status} by ${replica.id}`));
	const outcome = `${twice.length} requests ran twice, ${refused.length} were answered as not run and ran`;
	record.add(`${results.length} requests, by status ${JSON.stringify([...counts])}; extra answers: ${extras.join(', ') || 'none'}; ${outcome}`);
	return twice.length > 0 || refused.length > 0;
});
