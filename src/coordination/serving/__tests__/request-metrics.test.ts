import {describe, expect, it} from 'vitest';
import {DeferredMetrics} from '../request-metrics.js';

describe('DeferredMetrics', () => {
	it('counts requests that ended before the metrics were loaded', () => {
		const deferred = new DeferredMetrics();
		const counted: string[] = [];
		deferred.finish('early', 'served', 1);
		deferred.open({
			finish(route) {
				counted.push(route);
			},
		});
		deferred.finish('late', 'served', 1);
		expect(counted).toEqual(['early', 'late']);
	});
});
