/**
 * Stands for the platform's balancer in front of the entry VMs: it asks each gateway
 * whether it is ready and spreads requests over those that are.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {requestJson} from '../transport/http-client.js';

/** How often readiness is asked, in milliseconds. */
export const readyPollMs = 100;

/** A round-robin balancer over gateway URLs. */
export class Balancer {
	private turn = 0;
	private readonly ready: Set<string>;

	constructor(private readonly gateways: string[]) {
		this.ready = new Set(gateways);
	}

	/** The gateway for the next request; any of them when none is ready. */
	next(): string {
		const candidates = this.ready.size > 0 ? this.gateways.filter(url => this.ready.has(url)) : this.gateways;
		return candidates[this.turn++ % candidates.length];
	}

	/** Keeps asking until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await Promise.all(this.gateways.map(async url => this.watch(url, signal)));
	}

	private async watch(url: string, signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			// eslint-disable-next-line no-await-in-loop
			if (await isReady(url)) {
				this.ready.add(url);
			} else {
				this.ready.delete(url);
			}

			// eslint-disable-next-line no-await-in-loop
			await delay(readyPollMs, undefined, {signal}).catch(() => undefined);
		}
	}
}

async function isReady(url: string): Promise<boolean> {
	try {
		const answer = await requestJson({method: 'GET', url: `${url}/ready`, timeoutMs: 500});
		// An engine driven directly has no such route.
		return answer.statusCode !== 503;
	} catch {
		return false;
	}
}
