/**
 * A replica of a plain service, as the pages describe it: it runs a number of requests at once,
 * queues a few more, and turns the others away with 503 and X-Sesametally-Not-Executed. In all
 * its answers it echoes the id of the request.
 *
 * While its share of extra answers is above 0, it is faulty as the pages say ("may [...] send
 * additional bytes after a complete response"; "An extra response may arrive late, at the point
 * where the next response is expected. The ID identifies it."): for this share of its answers, it
 * sends the same answer once more on the same connection when the next request has arrived there.
 */
import {createServer} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';

export class CallReplica {
	slots = 6;
	queue = 4;
	/** Mean time of work, in milliseconds. */
	workMs = 21.4;
	extraShare = 0;
	/** The ids that it has run, in order. */
	runs = [];
	/** The number of extra answers that it has sent, by status. */
	extras = new Map();
	born = Date.now();
	#running = 0;
	#waiting = [];
	/** The extra answers that are due, by connection. */
	#due = new WeakMap();
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

	async #answer(request, response) {
		const {socket} = request;
		const id = String(request.headers['x-sesametally-attempt-id']);
		this.#sendDue(socket, id);
		request.resume();
		if (request.headers['x-sesametally-target-replica'] !== this.id) {
			this.#reply(response, id, {status: 421, isRun: false});
			return;
		}

		if (this.#running >= this.slots && this.#waiting.length >= this.queue) {
			this.record.add(`replica ${this.id} is full and turns ${id} away`);
			this.#reply(response, id, {status: 503, isRun: false});
			return;
		}

		if (this.#running >= this.slots) {
			await new Promise(resolve => {
				this.#waiting.push(resolve);
			});
		}

		if (socket.destroyed) {
			this.record.add(`replica ${this.id} drops ${id}, whose connection is closed`);
			this.#waiting.shift()?.();
			return;
		}

		this.#running++;
		this.runs.push(id);
		this.record.add(`replica ${this.id} runs ${id}`);
		await delay(this.workMs * (0.5 + Math.random()));
		this.#running--;
		this.#waiting.shift()?.();
		this.#reply(response, id, {status: 200, isRun: true});
	}

	/** Sends the extra answer that is due on a connection, as the next request has arrived there. */
	#sendDue(socket, nextId) {
		const due = this.#due.get(socket);
		if (due) {
			this.#due.delete(socket);
			this.extras.set(due.status, (this.extras.get(due.status) ?? 0) + 1);
			this.record.add(`replica ${this.id} sends its answer ${due.status} to ${due.id} once more, as ${nextId} arrives`);
			socket.write(due.bytes);
		}
	}

	#reply(response, id, {status, isRun}) {
		const body = isRun ? `done ${id}` : '';
		const headers = {
			'X-Sesametally-Attempt-Id': id,
			'X-Sesametally-Replica-Seal': `seal-${this.id}`,
			'X-Sesametally-Replica-Load': `${this.#running},${this.#waiting.length},${this.slots}`,
			'Keep-Alive': 'timeout=5',
			'Content-Length': String(body.length),
			...(!isRun && {'X-Sesametally-Not-Executed': '1'}),
		};
		response.writeHead(status, headers).end(body);
		if (Math.random() < this.extraShare) {
			const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('');
			this.#due.set(response.req.socket, {id, status, bytes: `HTTP/1.1 ${status} ${response.statusMessage}\r\n${lines}\r\n${body}`});
		}
	}
}
