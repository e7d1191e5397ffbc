import {describe, expect, it} from 'vitest';
import {type FrontSettings, type ServiceBounds} from '../../protocol/platform.js';
import {applySettings} from '../settings-reload.js';

const createSettings = (bounds: Partial<ServiceBounds> = {}, overrides: Partial<FrontSettings> = {}): FrontSettings => ({
	name: 'a',
	failureDomain: 'fd-a',
	isFirstStart: true,
	host: '10.0.0.1',
	callers: {host: '10.0.0.1', port: 1},
	readiness: {host: '10.0.0.1', port: 2},
	peerPort: 3,
	metricsPort: 4,
	machine: {memoryMegabytes: 210, maxDescriptors: 3075},
	storeUrl: 'http://10.0.0.9:1',
	cloudUrl: 'http://10.0.0.9:2',
	bounds: {
		configApplyMs: 2000, drainMs: 2000, graceMs: 8000, revokeMs: 5000, retryRatio: 0.2, retryWindowMs: 10_000, retrySlack: 52, quotaWindowMs: 8000, quotaTolerance: 0.1, quotaSlack: 140_000, leaseMs: 3000, usageWindowMs: 5000, canaryShare: 0.1, ...bounds,
	},
	...overrides,
});

describe('applySettings', () => {
	it.each([
		{
			name: 'nothing when nothing changed', fresh: createSettings(), changed: {}, needRestart: [],
		},
		{
			name: 'a shorter revocation bound without a restart', fresh: createSettings({revokeMs: 3000}), changed: {revokeMs: 3000}, needRestart: [],
		},
		{
			name: 'a limit\'s slack without a restart, but the length of its window only with one', fresh: createSettings({quotaSlack: 0, quotaWindowMs: 4000}), changed: {quotaSlack: 0}, needRestart: ['quotaWindowMs'],
		},
		{
			name: 'an address only with a restart', fresh: createSettings({}, {storeUrl: 'http://10.0.0.8:1'}), changed: {}, needRestart: ['storeUrl'],
		},
		{
			name: 'nothing when only the first start has passed', fresh: createSettings({}, {isFirstStart: false}), changed: {}, needRestart: [],
		},
	])('applies $name', ({fresh, changed, needRestart}) => {
		const current = createSettings();
		const {bounds} = current;
		expect(applySettings(current, fresh)).toEqual({changed, needRestart});
		expect(bounds).toEqual({...createSettings().bounds, ...changed});
	});
});
