/** A loopback TCP proxy between daemons and a backend server or the store, whose connections can be delayed, silenced, cut one way or reset. */
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';

/** What the link does with bytes. */
export enum LinkMode {
	Pass = 'pass',
	/** Bytes arrive later, both ways. */
	Delay = 'delay',
	/** New and open connections stay open and carry nothing. */
	Silence = 'silence',
	/** Requests arrive and answers do not. */
	OneWay = 'one-way',
}

/** Delay of each piece in `Delay` mode, in milliseconds. */
const delayMs = 120;

/** One proxied address. */
export class FaultyLink {
	mode = LinkMode.Pass;
	address = '';
	private readonly pairs = new Set<[Socket, Socket]>();
	/** Connections that carry nothing any more, whatever the mode. */
	private readonly silent = new WeakSet<Socket>();
	private readonly server = createServer(client => {
		this.open(client);
	});

	/** @param target The address behind the link, as host:port. */
	constructor(private readonly target: string) {}

	async start(): Promise<void> {
		await new Promise<void>(resolve => {
			this.server.listen(0, '127.0.0.1', resolve);
		});
		this.address = `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
	}

	stop(): void {
		this.reset();
		this.server.close();
	}

	/** Resets every open connection. */
	reset(): void {
		for (const pair of this.pairs) {
			for (const socket of pair) {
				socket.resetAndDestroy();
			}
		}
	}

	/** Lets the open connections stay open and carry nothing for good; new ones work. */
	silenceOpen(): void {
		for (const socket of [...this.pairs].flat()) {
			this.silent.add(socket);
		}
	}

	private open(client: Socket): void {
		const [host, port] = this.target.split(':');
		const backend = connect(Number(port), host);
		const pair: [Socket, Socket] = [client, backend];
		this.pairs.add(pair);
		this.pipe(client, backend, false);
		this.pipe(backend, client, true);
		for (const socket of pair) {
			socket.on('error', () => undefined);
			socket.once('close', hadError => {
				this.pairs.delete(pair);
				// What came before a regular end is still on its way to the other side, which ends after it.
				if (hadError) {
					for (const other of pair) {
						other.destroy();
					}
				}
			});
		}
	}

	private pipe(from: Socket, to: Socket, isAnswer: boolean): void {
		from.on('data', bytes => {
			const isLost = this.silent.has(from) || this.mode === LinkMode.Silence || (this.mode === LinkMode.OneWay && isAnswer);
			if (isLost) {
				return;
			}

			setTimeout(() => {
				to.write(bytes);
			}, this.mode === LinkMode.Delay ? delayMs : 0);
		});
		from.on('end', () => {
			setTimeout(() => {
				to.end();
			}, this.mode === LinkMode.Delay ? delayMs : 0);
		});
	}
}
