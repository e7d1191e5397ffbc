/** A link between machines, relayed on loopback, that can be cut as a partition cuts it. */
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';

/** What becomes of the connections that were open during a cut, or were opened then. */
export enum AfterCut {
	/** They go on, with the bytes that were held up. */
	GoOn = 'go-on',
	/** They are reset, and nothing that was held up arrives. */
	Reset = 'reset',
}

/** A link to one address. While it is cut, nothing passes in either direction: the kernel holds the bytes that were sent, and an end that was sent. */
export class Link {
	address = '';
	private readonly server: Server;
	private readonly pairs = new Set<{inbound: Socket; outbound: Socket | undefined}>();
	private isCut = false;

	constructor(private readonly target: {host: string; port: number}, private readonly afterCut: AfterCut) {
		this.server = createServer({allowHalfOpen: true, pauseOnConnect: true}, inbound => {
			this.accept(inbound);
		});
	}

	async open(): Promise<void> {
		await new Promise<void>(resolve => {
			this.server.listen(0, '127.0.0.1', resolve);
		});
		this.address = `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
	}

	cut(): void {
		this.isCut = true;
		for (const {inbound, outbound} of this.pairs) {
			inbound.pause();
			outbound?.pause();
		}
	}

	heal(): void {
		this.isCut = false;
		for (const pair of this.pairs) {
			if (this.afterCut === AfterCut.Reset) {
				pair.inbound.resetAndDestroy();
				pair.outbound?.resetAndDestroy();
			} else if (pair.outbound) {
				pair.inbound.resume();
				pair.outbound.resume();
			} else {
				this.relay(pair);
			}
		}
	}

	close(): void {
		this.server.close();
		for (const {inbound, outbound} of this.pairs) {
			inbound.destroy();
			outbound?.destroy();
		}
	}

	private accept(inbound: Socket): void {
		const pair = {inbound, outbound: undefined};
		this.pairs.add(pair);
		inbound.on('error', () => undefined);
		inbound.on('close', () => {
			this.pairs.delete(pair);
		});
		if (!this.isCut) {
			this.relay(pair);
		}
	}

	private relay(pair: {inbound: Socket; outbound: Socket | undefined}): void {
		const {inbound} = pair;
		const outbound = connect({...this.target, allowHalfOpen: true, noDelay: true});
		pair.outbound = outbound;
		inbound.setNoDelay(true);
		for (const [from, to] of [[inbound, outbound], [outbound, inbound]]) {
			from.on('data', chunk => {
				to.write(chunk);
			});
			from.on('end', () => {
				to.end();
			});
		}

		outbound.on('error', ({code}: NodeJS.ErrnoException) => {
			if (code === 'ECONNREFUSED' || code === 'ECONNRESET') {
				inbound.resetAndDestroy();
			}
		});
		outbound.on('close', () => {
			inbound.destroySoon();
		});
		inbound.on('close', hasError => {
			if (hasError) {
				outbound.resetAndDestroy();
			} else {
				outbound.destroySoon();
			}
		});
		inbound.resume();
	}
}
