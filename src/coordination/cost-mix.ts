/**
 * Divides a part of an account's requests among them by cost, small requests first. An account
 * that sends long prompts as well as short calls would otherwise have most of its calls refused
 * for prompts that cost as much as fifty of them.
 */

/** Weight that a request keeps with each later one: the mix is that of some fifty requests. */
const retainedWeight = 0.98;
/** Weight of the latest request at which all weights are scaled down, well below the largest number. */
const maxWeight = 1e12;
/** Groups of costs for each doubling of the cost; requests of a group count as equally large. */
const groupsPerDoubling = 2;
/** Exponent by which the admitted share falls with the cost of a request: with one, each kind of request gets the same part of the limit; a higher one favours small requests more. */
const costExponent = 3;

/** Requests of similar cost. */
type CostGroup = {
	/** Logarithmic bucket of the cost. */
	bucket: number;
	/** Weighted number of the requests, and sum of their costs. */
	count: number;
	cost: number;
};

/** The costs of an account's recent requests. */
export class CostMix {
	/** Ordered by cost. */
	private groups: CostGroup[] = [];
	private weight = 1;
	private total = 0;

	add(cost: number): void {
		this.weight /= retainedWeight;
		if (this.weight > maxWeight) {
			this.rescale();
		}

		const group = this.groupOf(cost);
		group.count += this.weight;
		group.cost += cost * this.weight;
		this.total += cost * this.weight;
	}

	/** Returns the share of the requests of this cost to admit so that a part of the total cost is admitted. */
	shareOf(cost: number, part: number): number {
		if (part >= 1) {
			return 1;
		}

		// The share of a group is `factor / meanCost ** costExponent`, at most 1.
		let left = this.total * part;
		let weighted = 0;
		for (const group of this.groups) {
			weighted += weightedCost(group);
		}

		for (const group of this.groups) {
			const fullFactor = (group.cost / group.count) ** costExponent;
			if (left <= fullFactor * weighted) {
				break;
			}

			left -= group.cost;
			weighted -= weightedCost(group);
		}

		return weighted > 0 ? Math.min(1, Math.max(0, left) / weighted / (cost ** costExponent)) : 1;
	}

	private groupOf(cost: number): CostGroup {
		const bucket = Math.floor(Math.log2(Math.max(1, cost)) * groupsPerDoubling);
		const index = this.groups.findIndex(group => group.bucket >= bucket);
		if (this.groups[index]?.bucket === bucket) {
			return this.groups[index];
		}

		const group = {bucket, count: 0, cost: 0};
		this.groups.splice(index === -1 ? this.groups.length : index, 0, group);
		return group;
	}

	/** Scales all weights down, and drops the groups that no longer count. */
	private rescale(): void {
		this.groups = this.groups.map(({bucket, count, cost}) => ({bucket, count: count / this.weight, cost: cost / this.weight})).filter(({count}) => count > 1 / maxWeight);
		this.total /= this.weight;
		this.weight = 1;
	}
}

/** Returns the cost of a group divided by the power of its mean cost. */
function weightedCost({count, cost}: CostGroup): number {
	return cost === 0 ? 0 : cost / ((cost / count) ** costExponent);
}
