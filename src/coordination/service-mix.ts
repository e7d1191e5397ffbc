/**
 * Divides the part of an account's requests that its limit admits among the services that they
 * go to. Services whose requests take up little of the limit go first: refusing their calls
 * would save next to nothing for prompts that cost fifty times as much. All others get one
 * share, whatever a request costs: a share that fell with the cost would refuse nearly all of
 * the most costly requests, which are often the most urgent ones.
 */

/** Weight that a request keeps with each later one: the mix is that of some fifty requests. */
const retainedWeight = 0.98;
/** Weight of the latest request at which all weights are scaled down, well below the largest number. */
const maxWeight = 1e12;
/** Part of what is admitted that the smallest services together may take before others; one that requests twice as much gets the same share as all others. */
const smallPart = 1 / 3;

/** The services of an account's recent requests. */
export class ServiceMix {
	/** Weighted sums of the costs by service. */
	private costs = new Map<string, number>();
	private weight = 1;

	add(service: string, cost: number): void {
		this.weight /= retainedWeight;
		if (this.weight > maxWeight) {
			this.rescale();
		}

		this.costs.set(service, (this.costs.get(service) ?? 0) + (cost * this.weight));
	}

	/** Returns the share of the requests to a service to admit so that a part of the total cost is admitted. */
	shareOf(service: string, part: number): number {
		if (part >= 1) {
			return 1;
		}

		const ascending = [...this.costs].filter(([, cost]) => cost > 0).toSorted(([, a], [, b]) => a - b);
		let total = 0;
		for (const [, cost] of ascending) {
			total += cost;
		}

		let smallLeft = total * part * smallPart;
		let left = total * part;
		let others = total;
		let firstShare = 0;
		for (const [name, cost] of ascending) {
			const granted = Math.min(cost, Math.max(0, (2 * smallLeft) - cost));
			smallLeft -= granted;
			left -= granted;
			others -= granted;
			if (name === service) {
				firstShare = granted / cost;
			}
		}

		const evenShare = others > 0 ? left / others : part;
		return firstShare + ((1 - firstShare) * evenShare);
	}

	/** Scales all weights down, and drops the services that no longer count. */
	private rescale(): void {
		this.costs = new Map([...this.costs].map(([service, cost]) => [service, cost / this.weight] as const).filter(([, cost]) => cost > 1 / maxWeight));
		this.weight = 1;
	}
}
