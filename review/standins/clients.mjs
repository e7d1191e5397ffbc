/** A client of one daemon: keeps one connection open, and sends one request after the other. */
import {Agent, request as startRequest} from 'node:http';
import {randomBytes} from 'node:crypto';

const apiKey = 'i9n73hh2b9wu3fexd9dn';
/** Time beyond its deadline after which a client gives a request up, in milliseconds. */
const lateMs = 500;

export class Client {
	#agent = new Agent({keepAlive: true, maxSockets: 1});

	constructor(daemon, record) {
		this.daemon = daemon;
		this.record = record;
	}

	/** Sends a request; resolves with its status, its body and whether the answer arrived to its end. */
	async send({path, deadlineMs, headers = {}}) {
		const {daemon, record} = this;
		const result = {
			id: randomBytes(8).toString('hex'), status: undefined, body: '', isComplete: false, isReused: false, retryAfterMs: 0,
		};
		const {id} = result;
		record.add(`client sends ${id} ${path} to ${daemon.name}`);
		await new Promise(resolve => {
			const request = startRequest({
				agent: this.#agent,
				host: daemon.host,
				port: daemon.front,
				method: 'POST',
				path,
				headers: {
					host: 'ficu95.example', 'X-Sesametally-Attempt-Id': id, 'X-Sesametally-Deadline-Ms': String(deadlineMs), 'X-Sesametally-Key': apiKey, ...headers,
				},
			}, response => {
				result.status = response.statusCode;
				result.retryAfterMs = Number(response.headers['retry-after'] ?? 0) * 1000;
				response.on('data', chunk => {
					result.body += String(chunk);
				});
				response.on('error', () => undefined);
				response.on('close', () => {
					result.isComplete = response.complete;
					resolve();
				});
			});
			const timer = setTimeout(() => {
				request.destroy(new Error('deadline passed'));
			}, deadlineMs + lateMs);
			request.on('error', error => {
				result.error = error.code ?? error.message;
				resolve();
			});
			request.once('close', () => {
				result.isReused = request.reusedSocket;
				clearTimeout(timer);
			});
			request.end('question');
		});
		const outcome = result.status === undefined ? `nothing (${result.error})` : `${result.status}${result.isComplete ? '' : ', broken off'}`;
		record.add(`client gets ${id} ${outcome}, ${result.body.length} bytes`);
		return result;
	}

	/** Sends requests one after the other with pauses until a time, as `createRequest` returns them; resolves with their results. */
	async run(createRequest, endsAtMs, pauseMs = 20) {
		const results = [];
		while (Date.now() < endsAtMs) {
			const result = await this.send(createRequest()); // eslint-disable-line no-await-in-loop -- one after the other.
			results.push(result);
			// eslint-disable-next-line no-await-in-loop
			await new Promise(resolve => {
				setTimeout(resolve, Math.min(result.retryAfterMs, 500) + (pauseMs * (1 + (2 * Math.random()))));
			});
		}

		this.#agent.destroy();
		return results;
	}
}
