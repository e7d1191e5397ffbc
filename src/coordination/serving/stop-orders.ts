/**
 * Keeps which runs of a stream may have been stopped by orders to move them. A stopped run ends
 * with its connection, as a whole answer without a length does.
 */
import {MoveResult} from '../../protocol/platform.js';
import {type Backend} from '../../protocol/serving.js';

/** A run, as far as orders concern it. */
type OrderedRun = {readonly backend: Pick<Backend, 'host' | 'port'>};

/** The orders that stop runs of one stream. */
export class StopOrders {
	/** Number of orders whose effect is not known, by the address that they were sent to: each may be carried out as long as the stream lasts. */
	private readonly unknown = new Map<string, number>();
	private readonly stoppedRuns = new WeakSet<OrderedRun>();
	private readonly orderedRuns = new WeakSet<OrderedRun>();

	/** Records that a run is ordered to stop; returns a function that records the result. */
	noteOrder(run: OrderedRun): (result: MoveResult) => void {
		this.orderedRuns.add(run);
		this.addUnknown(run, 1);
		return result => {
			if (result === MoveResult.Unanswered) {
				return;
			}

			this.addUnknown(run, -1);
			if (result === MoveResult.Done || result === MoveResult.Stopped) {
				this.stoppedRuns.add(run);
			}
		};
	}

	/** Whether a run was ordered to stop. */
	hasOrdered(run: OrderedRun): boolean {
		return this.orderedRuns.has(run);
	}

	/** Whether an order has stopped a run, or may have. */
	mayHaveStopped(run: OrderedRun): boolean {
		return this.stoppedRuns.has(run) || (this.unknown.get(addressOf(run)) ?? 0) > 0;
	}

	private addUnknown(run: OrderedRun, change: number): void {
		const address = addressOf(run);
		this.unknown.set(address, (this.unknown.get(address) ?? 0) + change);
	}
}

function addressOf({backend: {host, port}}: OrderedRun): string {
	return `${host}:${port}`;
}
