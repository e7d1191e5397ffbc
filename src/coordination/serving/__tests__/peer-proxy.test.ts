/** Guards against a request that runs twice, or is called not run although it ran, as it is served by way of another daemon. */
import {Buffer} from 'node:buffer';
import {
	createServer, request as startRequest, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {unpack} from 'msgpackr';
import {SteadyClock} from '../../../clock.js';
import {declinedHeader, isProxiedRequest, type ProxiedRequest} from '../../../protocol/proxied-requests.js';
import {BackendConnectionPool} from '../../../transport/backend-connection-pool.js';
import {FleetTable, type ProxyCandidate} from '../../fleet/fleet-table.js';
import {Reachability} from '../../reachability.js';
import {PeerProxy, type ProxyResult} from '../peer-proxy.js';

type Peer = (request: ProxiedRequest, response: ServerResponse) => void;

const proxied: ProxiedRequest = {
	request: {
		id: 'r1', host: 'h', path: '/p/x?q=1', method: 'POST', apiKey: undefined, deadlineMs: 2000, promptTokens: undefined, maxOutputTokens: undefined, expectedOutputTokens: undefined, promptParts: [], lastEventId: '7', resumedRequestId: undefined, forwardedHeaders: ['X-Own', 'kept'],
	},
	body: new Uint8Array([1, 2, 3]),
	account: 'team',
	configVersion: 5,
	elapsedMs: 10,
	isCounted: false,
};
const servers: Server[] = [];

async function listen(server: Server): Promise<number> {
	servers.push(server);
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return (server.address() as AddressInfo).port;
}

async function readBody(message: IncomingMessage): Promise<Uint8Array[]> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of message as AsyncIterable<Uint8Array>) {
		chunks.push(chunk);
	}

	return chunks;
}

/** Starts a daemon that answers proxied requests, and returns it as a candidate. */
async function startPeer(name: string, answer: Peer, received: string[]): Promise<ProxyCandidate> {
	const port = await listen(createServer((request, response) => {
		void readBody(request).then(chunks => {
			received.push(name);
			answer(unpack(Buffer.concat(chunks)) as ProxiedRequest, response);
		});
	}));
	return {name, address: {host: '127.0.0.1', port}, isResponsive: true};
}

/** Sends a client's request through a proxy with these candidates, and returns the result and what the client got. */
async function serveThrough(candidates: ProxyCandidate[], abort = new AbortController(), onRequest?: (front: ServerResponse) => Promise<void>): Promise<{result: ProxyResult; status?: number; body?: string; isComplete?: boolean}> {
	const fleet = new FleetTable({name: 'd', failureDomain: 'fd-a', startedAtMs: 0});
	fleet.proxyCandidates = () => candidates;
	const clock = new SteadyClock();
	const proxy = new PeerProxy({
		fleet, reachability: new Reachability(() => 0), pool: new BackendConnectionPool(), clock, random: () => 0,
	});
	let setResult: (result: ProxyResult) => void;
	const result = new Promise<ProxyResult>(resolve => {
		setResult = resolve;
	});
	const port = await listen(createServer((_, response) => {
		void onRequest?.(response);
		void proxy.serve({
			method: 'POST', path: '/p/x', rawHeaders: [], body: proxied.body, response, signal: abort.signal,
		}, proxied, 's', clock.now() + 2000).then(outcome => {
			setResult(outcome);
			if (!response.headersSent) {
				response.writeHead(599).end();
			}
		});
	}));
	const answer = await new Promise<{status?: number; body?: string; isComplete?: boolean}>(resolve => {
		const request = startRequest({host: '127.0.0.1', port}, response => {
			let body = '';
			response.on('data', chunk => {
				body += String(chunk);
			});
			response.on('error', () => undefined);
			response.on('close', () => {
				resolve({status: response.statusCode, body, isComplete: response.complete});
			});
		});
		request.on('error', () => {
			resolve({});
		});
		request.end();
	});
	return {result: await result, ...answer};
}

afterEach(() => {
	for (const server of servers.splice(0)) {
		server.closeAllConnections();
		server.close();
	}
});

const serve: Peer = (_, response) => {
	response.writeHead(200, {'X-Seal': 'sealed'}).end('done');
};

const decline: Peer = ({request: {id}}, response) => {
	response.writeHead(503, {[declinedHeader]: id}).end();
};

const declineAnother: Peer = (_, response) => {
	response.writeHead(503, {[declinedHeader]: 'another'}).end();
};

const breakOff: Peer = (_, response) => {
	response.destroy();
};

const refuse: Peer = (_, response) => {
	response.writeHead(429, {'Retry-After': '0.5'}).end('over the limit');
};

const cutAnswer: Peer = (_, response) => {
	response.writeHead(200).write('half');
	setTimeout(() => {
		response.destroy();
	}, 20);
};

/** Answers with a body that has neither a length nor chunks, and ends the connection. */
function closeAnswer(head: string, isReset: boolean): Peer {
	return (_, response) => {
		const socket = response.socket!;
		socket.write(`HTTP/1.1 ${head}\r\n\r\nhalf`);
		setTimeout(() => {
			if (isReset) {
				socket.resetAndDestroy();
			} else {
				socket.end();
			}
		}, 20);
	};
}

/** Answers without a body. */
const answerEmpty: Peer = (_, response) => {
	response.writeHead(204).end();
};

const gone: ProxyCandidate = {name: 'gone', address: {host: '127.0.0.1', port: 1}, isResponsive: true};

describe('PeerProxy', () => {
	it.each([
		{
			name: 'passes an answer on', peers: [serve, serve], received: ['p0'], result: {kind: 'answered', isComplete: true}, client: {status: 200, body: 'done', isComplete: true},
		},
		{
			name: 'passes a refusal on', peers: [refuse, serve], received: ['p0'], result: {kind: 'answered', status: 429}, client: {status: 429, body: 'over the limit'},
		},
		{
			name: 'tries another daemon after one that declines', peers: [decline, serve], received: ['p0', 'p1'], result: {kind: 'answered'}, client: {status: 200},
		},
		{
			name: 'has not run a request that all decline', peers: [decline, decline], received: ['p0', 'p1'], result: {kind: 'not-run'}, client: {status: 599},
		},
		{
			name: 'does not send a request again that a daemon may have read', peers: [breakOff, serve], received: ['p0'], result: {kind: 'unknown'}, client: {status: 599},
		},
		{
			name: 'does not send a request again when another request was declined', peers: [declineAnother, serve], received: ['p0'], result: {kind: 'unknown'}, client: {status: 599},
		},
		{
			name: 'does not complete an answer that breaks off', peers: [cutAnswer, serve], received: ['p0'], result: {kind: 'answered', isComplete: false}, client: {status: 200, isComplete: false},
		},
		// A daemon gives each body a length or chunks; another server may have taken the address.
		{
			name: 'does not complete an answer that ends with its connection', peers: [closeAnswer('200 OK', false), serve], received: ['p0'], result: {kind: 'answered', isComplete: false}, client: {status: 200, isComplete: false},
		},
		{
			name: 'does not complete an answer whose connection is reset', peers: [closeAnswer('200 OK', true), serve], received: ['p0'], result: {kind: 'answered', isComplete: false}, client: {status: 200, isComplete: false},
		},
		{
			name: 'passes an answer without a body on', peers: [answerEmpty, serve], received: ['p0'], result: {kind: 'answered', isComplete: true}, client: {status: 204, body: '', isComplete: true},
		},
		{
			name: 'has not run a request that nobody can take', peers: [], received: [], result: {kind: 'not-run'}, client: {status: 599},
		},
	])('$name', async ({peers, received, result, client}) => {
		const order: string[] = [];
		const candidates = await Promise.all(peers.map(async (peer, index) => startPeer(`p${index}`, peer, order)));
		const outcome = await serveThrough(candidates);
		expect(order).toEqual(received);
		expect(outcome.result).toMatchObject(result);
		expect(outcome).toMatchObject(client);
	});

	it('tries another daemon after one that accepts no connection', async () => {
		const order: string[] = [];
		const {result} = await serveThrough([gone, await startPeer('p1', serve, order)]);
		expect(result).toMatchObject({kind: 'answered', peer: 'p1'});
	});

	it('sends the request as it is, without its API key, and with the time that has passed', async () => {
		let received: ProxiedRequest | undefined;
		await serveThrough([await startPeer('p0', (request, response) => {
			received = request;
			serve(request, response);
		}, [])]);
		expect(isProxiedRequest(received)).toBe(true);
		expect({...received, body: [...received!.body], elapsedMs: 10}).toEqual({...proxied, body: [...proxied.body]});
		expect(received!.elapsedMs).toBeGreaterThanOrEqual(10);
	});

	it('stops to pass an answer on as its client leaves in the middle of it', async () => {
		const peer = await startPeer('p0', (_, response) => {
			response.writeHead(200).write('half');
		}, []);
		const leave = async (front: ServerResponse) => {
			await expect.poll(() => front.headersSent, {timeout: 500}).toBe(true);
			front.socket!.destroy();
		};

		const {result} = await serveThrough([peer], new AbortController(), leave);
		expect(result).toMatchObject({kind: 'answered', isComplete: false});
	});

	it('closes the request at the other daemon as its client leaves', async () => {
		const abort = new AbortController();
		let isClosed = false;
		const peer = await startPeer('p0', (_, response) => {
			response.once('close', () => {
				isClosed = true;
			});
			abort.abort();
		}, []);
		await serveThrough([peer], abort);
		await expect.poll(() => isClosed, {timeout: 500}).toBe(true);
	});
});

describe('isProxiedRequest', () => {
	it.each([
		{name: 'nothing', value: undefined},
		{name: 'a request without its path', value: {...proxied, request: {...proxied.request, path: undefined}}},
		{name: 'a negative time', value: {...proxied, elapsedMs: -1}},
		{name: 'an account that is no name', value: {...proxied, account: 7}},
		{name: 'a body of text', value: {...proxied, body: 'x'}},
	])('rejects $name', ({value}) => {
		expect(isProxiedRequest(value)).toBe(false);
	});
});
