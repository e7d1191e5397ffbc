/** Validates the paces that backend servers state. */

/** Highest pace that is accepted, in percent: a backend server that is a hundred times as slow as usual. */
const maxPacePercent = 10_000;

/** Whether a value is a pace that a backend server may state, in percent of the usual time. */
export function isPacePercent(value: unknown): value is number {
	return typeof value === 'number' && value > 0 && value <= maxPacePercent;
}
