/**
 * A model replica, as the pages describe it: its answers are streams of events with increasing
 * ids. It moves a running stream to another replica when it is told to (`/api/kv-move`).
 */
/* eslint-disable camelcase -- the fields of the wire format are spelled with underscores. */
import {createServer} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';

/** Tokens of an event. */
const stride = 5;
/** Time of a copy to another replica, in milliseconds. */
const copyMs = 20;

export class StreamReplica {
	slots = 64;
	born = Date.now();
	/** Time until the first event and between two events, in milliseconds. */
	firstEventMs = 170;
	eventMs = 30;
	/** Whether its answers have neither a length nor chunks, so that they end with their connection. */
	isUnframed = false;
	/** While above 0, one of so many of its answers has wrong bytes in its status line. */
	spoilsOneOf = 0;
	/** The number of its answers, and of those that it spoiled. */
	answers = 0;
	spoiled = 0;
	/** The ids of the requests that it has run, in order. */
	runs = [];
	/** The other replicas of its service, by address. */
	peers = new Map();
	/** The handles of the copies that it holds of the runs of others. */
	copies = new Set();
	isStopped = false;
	#running = new Map();
	#server = createServer((request, response) => {
		this.#answer(request, response);
	});

	constructor(id, zone, record) {
		this.id = id;
		this.zone = zone;
		this.record = record;
		this.#server.keepAliveTimeout = 6000;
	}

	async start() {
		await new Promise(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		this.address = `127.0.0.1:${this.#server.address().port}`;
	}

	/** The number of requests that it is running. */
	get running() {
		return this.#running.size;
	}

	/** Ends: closes its port and its connections. */
	stop() {
		this.isStopped = true;
		this.#server.closeAllConnections();
		this.#server.close();
	}

	async #answer(request, response) {
		let body = '';
		try {
			for await (const chunk of request) {
				body += String(chunk);
			}
		} catch {
			// Its sender has closed the connection.
			return;
		}

		if (request.url.startsWith('/api/')) {
			await this.#answerOrder(request, body, response);
			return;
		}

		const id = String(request.headers['x-sesametally-attempt-id']);
		const headers = {
			'X-Sesametally-Attempt-Id': id, 'X-Sesametally-Replica-Seal': `seal-${this.id}`, 'X-Sesametally-Replica-Load': `${this.#running.size},0,${this.slots}`, 'Content-Type': 'text/event-stream',
		};
		if (request.headers['x-sesametally-target-replica'] !== this.id) {
			response.writeHead(421, {...headers, 'X-Sesametally-Not-Executed': '1'}).end();
			return;
		}

		const source = request.headers['kv-from'];
		if (source !== undefined && !this.copies.delete(source.split('/').at(-1))) {
			response.writeHead(503, {...headers, 'X-Sesametally-Not-Executed': '1'}).end();
			return;
		}

		await this.#run(request, response, {id, headers, isMoved: source !== undefined});
	}

	async #run({socket, headers: received}, response, {id, headers, isMoved}) {
		const events = Math.ceil(Number(received['x-sesametally-token-counts'].split(',')[1]) / stride);
		const first = Number(received['last-event-id'] ?? 0) + 1;
		const run = {written: first - 1, onMoved: undefined};
		this.runs.push(id);
		this.#running.set(id, run);
		this.record.add(`replica ${this.id} runs ${id}${isMoved ? ', which was moved to it,' : ''} from event ${first} of ${events}`);
		await delay(isMoved ? this.eventMs : this.firstEventMs);
		const write = this.#begin(socket, response, headers);
		while (run.written < events && !run.onMoved && !socket.destroyed) {
			run.written++;
			write(`id: ${run.written}\ndata: token${run.written}\n\n`);
			await delay(this.eventMs); // eslint-disable-line no-await-in-loop -- the events are written in order.
		}

		this.#running.delete(id);
		if (run.onMoved) {
			this.record.add(`replica ${this.id} has stopped ${id} after event ${run.written} of ${events}, and closes its connection`);
			socket.end();
			run.onMoved();
			return;
		}

		this.record.add(`replica ${this.id} ends ${id} after event ${run.written} of ${events}`);
		write();
	}

	/** Begins an answer; returns a function that writes an event, or ends the answer. */
	#begin(socket, response, headers) {
		this.answers++;
		const isSpoiled = this.spoilsOneOf > 0 && this.answers % this.spoilsOneOf === Math.floor(this.spoilsOneOf / 2);
		if (!isSpoiled && !this.isUnframed) {
			response.writeHead(200, headers);
			return text => text === undefined ? response.end() : response.write(text);
		}

		if (isSpoiled) {
			this.spoiled++;
			this.record.add(`replica ${this.id} answers ${headers['X-Sesametally-Attempt-Id']} with wrong bytes in the status line`);
		}

		const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('');
		socket.write(`HTTP/1.1 200 ${isSpoiled ? '\u0000\u001B' : 'OK'}\r\n${lines}Connection: close\r\n\r\n`);
		return text => text === undefined ? socket.end() : socket.write(text);
	}

	async #answerOrder(request, body, response) {
		if (request.method === 'GET') {
			response.end(JSON.stringify({
				stage: 'hybrid', models: [], busy: false, sequence: 0, queued: 0, running: this.#running.size, kv_used: 0, kv_total: 593_988, handles: this.copies.size, born: this.born,
			}));
			return;
		}

		if (request.method === 'DELETE') {
			response.end('{}');
			return;
		}

		const {id, to, last} = JSON.parse(body);
		const run = this.#running.get(id);
		const target = this.peers.get(to);
		this.record.add(`replica ${this.id} is told to move ${id} to ${to}${last ? ', for the last time' : ''}`);
		if (!run || !target) {
			response.writeHead(run ? 503 : 404).end('{}');
			return;
		}

		await delay(copyMs);
		const handle = `h-${id}`;
		if (last) {
			await new Promise(resolve => {
				run.onMoved = resolve;
			});
		}

		target.copies.add(handle);
		response.writeHead(200, {'Content-Type': 'application/json'}).end(JSON.stringify({handle, created: run.written}));
	}
}
