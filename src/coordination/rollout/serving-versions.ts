/**
 * Which versions of each service are its capacity, apart from roll-outs. Replicas of several
 * versions may serve side by side; only a version that an open order names is untested. A
 * version may be listed before the order that names it is read, so a new one is used only once
 * the view of the orders is known to be current as of a moment after the version appeared. By
 * then all daemons that reach the platform's store know the version.
 */
import {type Backend} from '../../protocol/serving.js';
import {createLogger} from '../../log.js';

const log = createLogger('rollout');

/** Time from the appearance of a version until an order that names it must be in the store, in milliseconds. */
const orderDelayMs = 1000;

/** What the versions are judged by. */
export type VersionEvidence = {
	/** Returns the age of the view of the orders, in milliseconds. */
	ordersViewAgeMs: (nowMs: number) => number;
	/** Returns when a backend server of a version was first listed; undefined if none is known. */
	appearedAtMs: (service: string, version: string) => number | undefined;
	/** Whether a version of a service was listed before this daemon started. */
	wasListedBefore: (service: string, version: string) => boolean;
};

/** What is known of the orders for a service. */
export type VersionOrders = {
	/** Versions that must not serve, unless there is no other. */
	withheld: ReadonlySet<string>;
	/** Whether further versions may be used; not while it is unknown what was ordered before. */
	mayAdd: boolean;
};

/** The versions that serve, by service. */
export class ServingVersions {
	private readonly servingByService = new Map<string, Set<string>>();

	constructor(private readonly evidence: VersionEvidence) {}

	/** Adds the versions of the given backend servers that may receive requests from now on, and returns all that may. */
	update(service: string, backends: Backend[], {withheld, mayAdd}: VersionOrders, nowMs: number): ReadonlySet<string> {
		const serving = this.servingOf(service);
		for (const version of withheld) {
			// The last version goes on serving: without it there would be none.
			if (serving.size > 1) {
				serving.delete(version);
			}
		}

		if (!backends.every(({version}) => serving.has(version))) {
			this.addNew(service, backends, {withheld, mayAdd}, nowMs);
		}

		return serving;
	}

	/** Whether a version is withheld; the last one that serves never is. */
	isWithheld(service: string, version: string, withheld: ReadonlySet<string>): boolean {
		const serving = this.servingOf(service);
		return withheld.has(version) && !(serving.size === 1 && serving.has(version));
	}

	/** Sets the versions that serve by the phase of a roll-out. */
	replace(service: string, versions: string[]): void {
		this.servingByService.set(service, new Set(versions));
	}

	/** Returns the versions for the state dump. */
	toJson(): unknown {
		return Object.fromEntries([...this.servingByService].map(([service, serving]) => [service, [...serving]]));
	}

	private addNew(service: string, backends: Backend[], {withheld, mayAdd}: VersionOrders, nowMs: number): void {
		const serving = this.servingOf(service);
		if (serving.size === 0) {
			const first = mostFrequentVersion(backends, withheld);
			if (first !== undefined) {
				serving.add(first);
			}
		}

		for (const version of new Set(backends.map(backend => backend.version))) {
			if (mayAdd && !serving.has(version) && !withheld.has(version) && this.isProven(service, version, nowMs)) {
				log.info('further version of the service is used.', {service, version, beside: [...serving].join(',')});
				serving.add(version);
			}
		}
	}

	/** Whether an order that names a version would be known. */
	private isProven(service: string, version: string, nowMs: number): boolean {
		const {ordersViewAgeMs, appearedAtMs, wasListedBefore} = this.evidence;
		const ordersViewAtMs = nowMs - ordersViewAgeMs(nowMs);
		return ordersViewAtMs - (appearedAtMs(service, version) ?? nowMs) >= orderDelayMs || wasListedBefore(service, version);
	}

	private servingOf(service: string): Set<string> {
		let serving = this.servingByService.get(service);
		if (!serving) {
			serving = new Set();
			this.servingByService.set(service, serving);
		}

		return serving;
	}
}

/** Returns the version that most backend servers run; a withheld one only if there is no other. */
function mostFrequentVersion(backends: Backend[], withheld: ReadonlySet<string>): string | undefined {
	const counts = new Map<string, number>();
	for (const {version} of backends) {
		counts.set(version, (counts.get(version) ?? 0) + 1);
	}

	const isLast = ([version]: [string, number]) => withheld.has(version) ? 1 : 0;
	return [...counts].toSorted((a, b) => isLast(a) - isLast(b) || b[1] - a[1] || (a[0] < b[0] ? -1 : 1)).at(0)?.[0];
}
