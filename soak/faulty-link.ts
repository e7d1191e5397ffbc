/** A loopback TCP proxy between the daemons and a backend server or the store; its connections can be delayed, silenced, cut in one direction or reset. */
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';

/** What the proxy does with the bytes that it receives. */
export enum LinkMode {
	Pass = 'pass',
	/** Bytes arrive late in both directions. */
	Delay = 'delay',
	/** New and existing connections stay open, but no bytes pass. */
	Silence = 'silence',
	/** Requests arrive, answers are dropped. */
	OneWay = 'one-way',
}

/** Delay of each chunk in {@link LinkMode.Delay}, in milliseconds. */
const delayMs = 120;

/** A proxy of one address. */
export class FaultyLink {
	/** Applies to open and new connections. */
	mode = LinkMode.Pass;
	/** The proxy's own address, as host:port, once it is started. */
	address = '';
	private readonly connectionPairs = new Set<[Socket, Socket]>();
	/** Sockets whose bytes are dropped in every mode. */
	private readonly silencedSockets = new WeakSet<Socket>();
	private readonly server = createServer(client => {
		this.forward(client);
	});

	/** @param target The address that the proxy forwards to, as host:port. */
	constructor(private readonly target: string) {}

	/** Listens on a free loopback port. */
	async start(): Promise<void> {
		await new Promise<void>(resolve => {
			this.server.listen(0, '127.0.0.1', resolve);
		});
		this.address = `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
	}

	/** Resets every open connection and stops listening. */
	stop(): void {
		this.reset();
		this.server.close();
	}

	/** Stops listening; what is on its way on open connections still arrives, and so do their ends. */
	stopListening(): void {
		this.server.close();
	}

	/** Resets every open connection. */
	reset(): void {
		for (const pair of this.connectionPairs) {
			for (const socket of pair) {
				socket.resetAndDestroy();
			}
		}
	}

	/** Drops all further bytes of the connections that are open now, without closing them; new connections work. */
	silenceOpenConnections(): void {
		for (const socket of [...this.connectionPairs].flat()) {
			this.silencedSockets.add(socket);
		}
	}

	/** Connects a client's connection to the target, in both directions. */
	private forward(client: Socket): void {
		const [host, port] = this.target.split(':');
		const backend = connect(Number(port), host);
		const pair: [Socket, Socket] = [client, backend];
		this.connectionPairs.add(pair);
		this.pipe(client, backend, false);
		this.pipe(backend, client, true);
		for (const socket of pair) {
			socket.on('error', () => undefined);
			socket.once('close', hadError => {
				this.connectionPairs.delete(pair);
				// After a regular end, delayed bytes may still be due on the other socket, which is ended after them.
				if (hadError) {
					for (const other of pair) {
						other.destroy();
					}
				}
			});
		}
	}

	/** Copies bytes and the end of the stream in one direction, subject to the mode. */
	private pipe(from: Socket, to: Socket, isResponse: boolean): void {
		const isDropping = () => this.silencedSockets.has(from) || this.mode === LinkMode.Silence || (this.mode === LinkMode.OneWay && isResponse);
		from.on('data', bytes => {
			if (isDropping()) {
				return;
			}

			setTimeout(() => {
				to.write(bytes);
			}, this.mode === LinkMode.Delay ? delayMs : 0);
		});
		from.on('end', () => {
			// The end must not overtake bytes that were dropped: the receiver would take what it has for the whole.
			if (isDropping()) {
				return;
			}

			setTimeout(() => {
				to.end();
			}, this.mode === LinkMode.Delay ? delayMs : 0);
		});
	}
}
