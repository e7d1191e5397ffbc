/** Guards against records that are written once and that a restore of the store has lost. */
import {Buffer} from 'node:buffer';
import {describe, expect, it} from 'vitest';
import {Topic} from '../../../protocol/platform.js';
import {boundsKey} from '../bounds-record.js';
import {startNet, type TestDaemon} from '../__fixtures__/test-net.js';

const {signal} = new AbortController();
const duties = {
	rank: 0, isMajorityResponsive: true, startedAtMs: 0, storeAnsweringForMs: 10_000,
};

/** A fleet whose first daemon holds the duties. */
async function startHolder() {
	const net = await startNet(3, 3);
	const [holder] = net.daemons;
	await holder.lease.step(duties, signal);
	return {
		net, holder, async keys() {
			const {records} = await net.store.readNewest(Topic.Members);
			return records.map(({key}) => key);
		},
	};
}

describe('what a daemon has written once', () => {
	it.each([
		{
			name: 'its address', write: async (daemon: TestDaemon) => daemon.messenger.writeAddress(signal), key: 'fd-0-000',
		},
		{
			name: 'the quarantine', async write(daemon: TestDaemon, nowMs: number) {
				for (const backend of [1, 2, 3, 4, 5]) {
					daemon.quarantine.recordCrash([77], backend, nowMs);
				}

				await daemon.quarantineRecord.save(signal);
			}, key: '#quarantine',
		},
		{name: 'the versions that serve', write: async (daemon: TestDaemon) => daemon.originRecord.save(signal), key: '#versions'},
	])('$name is written again after a restore of the store, once', async ({write, key}) => {
		const {net, holder, keys} = await startHolder();
		await write(holder, net.nowMs);
		expect(await keys()).toContain(key);
		net.store.restore(Topic.Members, 100);
		holder.logEra.note(1);
		expect(await keys()).not.toContain(key);
		holder.lease.applyHolderUpdate({token: 1, ageMs: 0}, net.nowMs);
		await write(holder, net.nowMs);
		expect(await keys()).toContain(key);
		const length = net.store.length(Topic.Members);
		await write(holder, net.nowMs);
		expect(net.store.length(Topic.Members)).toBe(length);
	});

	it.each([
		{name: 'are adopted from a record of the era of the store', era: 1, expected: true},
		{name: 'are not adopted from a record of an earlier era, of which later ones may be lost', era: 0, expected: false},
	])('the bounds of limits $name', async ({era, expected}) => {
		const net = await startNet(1, 1);
		net.isFirstStart = false;
		const [daemon] = net.daemons.map(each => net.restart(each));
		const record = {atMs: net.nowMs, era, accounts: {x: {uses: [1], ahead: 1}}};
		net.store.era = 1;
		net.store.put(Topic.Members, boundsKey, Buffer.from(JSON.stringify(record)).toString());
		await daemon.messenger.discover(signal);
		expect(daemon.quota.profiles(net.nowMs) !== undefined).toBe(expected);
	});
});
