/** Performs the singleton duties while this daemon holds their lease. */
import {type DutyParts} from './duty-parts.js';
import {PoolOrders} from './pool-orders.js';
import {UsageReports} from './usage-reports.js';

/** The duties of the holder. */
export class DutyRunner {
	private readonly reports: UsageReports;
	private readonly pools: PoolOrders;

	constructor(parts: DutyParts) {
		this.reports = new UsageReports(parts);
		this.pools = new PoolOrders(parts);
	}

	/** One round of both duties. */
	async step(signal: AbortSignal): Promise<void> {
		await this.reports.report(signal);
		await this.pools.order(signal);
	}
}
