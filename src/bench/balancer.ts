/**
 * Stand-in for the platform's load balancer in front of the gateways' VMs: it polls the
 * readiness of each gateway and distributes requests over the ready ones.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {requestJson} from '../transport/http-client.js';

/** Interval at which the readiness of a gateway is polled, in milliseconds. */
export const readinessPollMs = 100;

/** A round-robin load balancer over gateway URLs. */
export class RoundRobinBalancer {
	private nextIndex = 0;
	private readonly readyGateways: Set<string>;

	constructor(private readonly gateways: string[]) {
		this.readyGateways = new Set(gateways);
	}

	/** Returns the gateway for the next request; when none is ready, it takes turns over all of them. */
	nextGateway(): string {
		const candidates = this.readyGateways.size > 0 ? this.gateways.filter(url => this.readyGateways.has(url)) : this.gateways;
		return candidates[this.nextIndex++ % candidates.length];
	}

	/** Polls the readiness of all gateways until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await Promise.all(this.gateways.map(async url => this.pollReadiness(url, signal)));
	}

	private async pollReadiness(url: string, signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			// eslint-disable-next-line no-await-in-loop
			if (await isReady(url)) {
				this.readyGateways.add(url);
			} else {
				this.readyGateways.delete(url);
			}

			// eslint-disable-next-line no-await-in-loop
			await delay(readinessPollMs, undefined, {signal}).catch(() => undefined);
		}
	}
}

async function isReady(url: string): Promise<boolean> {
	try {
		const answer = await requestJson({method: 'GET', url: `${url}/ready`, timeoutMs: 500});
		// An engine that the bench addresses directly has no `/ready` route and answers 404.
		return answer.statusCode !== 503;
	} catch {
		return false;
	}
}
