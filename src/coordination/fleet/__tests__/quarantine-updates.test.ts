/** Each daemon saw one crash of a request and let it through again. */
import {describe, expect, it} from 'vitest';
import {crashesToQuarantine} from '../../quarantine/quarantine.js';
import {type TestDaemon, type TestNet, startNet} from '../__fixtures__/test-net.js';

const fingerprint = 77;
/** Time for what three daemons saw to reach all, in milliseconds: under half of what the operators allow. */
const newsMs = 1250;

/** The request crashes one backend server at each of the daemons. */
function crashAt(daemons: TestDaemon[], net: TestNet): void {
	for (const [index, daemon] of daemons.entries()) {
		daemon.quarantine.noteCrash(fingerprint, index + 1, net.nowMs);
	}
}

/** Daemons that would still send the request. */
const unaware = (net: TestNet) => net.running().filter(({quarantine}) => !quarantine.forbidsRepeat(fingerprint)).map(({name}) => name);

describe('a request that crashed one backend server at each of three daemons', () => {
	it.each([
		{
			name: '6 daemons', daemons: 6, domains: 4, lossShare: 0,
		},
		{
			name: '12 daemons, a fifth of the datagrams lost', daemons: 12, domains: 4, lossShare: 0.2,
		},
		{
			name: '80 daemons', daemons: 80, domains: 4, lossShare: 0,
		},
		{
			name: '195 daemons', daemons: 195, domains: 6, lossShare: 0,
		},
	])('is known to all of $name', async ({daemons, domains, lossShare}) => {
		const net = await startNet(daemons, domains);
		net.lossShare = lossShare;
		crashAt(net.daemons.slice(-crashesToQuarantine), net);
		net.run(newsMs);
		expect(unaware(net)).toEqual([]);
	}, 30_000);

	it.each([
		{
			name: 'the first relay of a failure domain is dead', prepare(net: TestNet) {
				net.daemons[0].isRunning = false;
			},
		},
		{
			name: 'some are cut off from each other for a while', prepare(net: TestNet) {
				net.cut(net.daemons[0], net.daemons.at(-1)!);
				net.cut(net.daemons[1], net.daemons.at(-2)!);
			},
		},
	])('is known to all of 80 when $name', async ({prepare}) => {
		const net = await startNet(80, 4);
		prepare(net);
		crashAt(net.daemons.slice(-crashesToQuarantine), net);
		net.run(newsMs);
		expect(unaware(net)).toEqual([]);
	}, 30_000);

	it.each([
		{name: 'of 6', daemons: 6},
		{name: 'of 80', daemons: 80},
	])('is known to a daemon $name that starts a minute later', async ({daemons}) => {
		const net = await startNet(daemons, 4);
		crashAt(net.daemons.slice(0, crashesToQuarantine), net);
		net.run(60_000, () => undefined);
		const fresh = net.restart(net.daemons.at(-1)!);
		await fresh.messenger.discover(new AbortController().signal);
		net.run(newsMs);
		expect(fresh.quarantine.forbidsRepeat(fingerprint)).toBe(true);
	}, 60_000);

	it('is known after all daemons were lost at once', async () => {
		const net = await startNet(6, 4);
		const {signal} = new AbortController();
		const [holder] = net.daemons;
		await holder.lease.step({rank: 0, hearsMost: true, startedAtMs: 0}, signal);
		net.run(5000);
		await holder.lease.step({rank: 0, hearsMost: true, startedAtMs: 0}, signal);
		crashAt(net.daemons.slice(0, crashesToQuarantine), net);
		net.run(newsMs);
		await holder.quarantineRecord.save(signal);
		for (const daemon of net.daemons) {
			net.restart(daemon);
		}

		await net.discover();
		expect(unaware(net)).toEqual([]);
	});

	it('costs a fleet in which nothing crashes no datagram', async () => {
		const net = await startNet(6, 4);
		const before = net.daemons.map(({sent}) => sent);
		net.run(1000);
		const quiet = net.daemons.map(({sent}, index) => sent - before[index]);
		crashAt(net.daemons.slice(0, 1), net);
		net.run(1000);
		expect(net.daemons[0].sent - before[0] - quiet[0]).toBeGreaterThan(quiet[0]);
		expect(quiet).toEqual(quiet.map(() => 4 * 5));
	});
});
