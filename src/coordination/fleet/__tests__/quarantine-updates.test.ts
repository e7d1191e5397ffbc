/** Guards against a request that crashes one backend server after the other because each daemon sees only one of the crashes and sends the request again. */
import {describe, expect, it} from 'vitest';
import {crashesToQuarantine} from '../../quarantine/quarantine.js';
import {type TestDaemon, type TestNet, startNet} from '../__fixtures__/test-net.js';

const request = {request: 77, parts: []};
/** Time within which the crashes that three daemons saw must be known to all daemons, in milliseconds: less than half of what the operators allow. */
const propagationMs = 1250;

/** Records a crash of a different backend server at each of the daemons. */
function recordCrashes(daemons: TestDaemon[], net: TestNet): void {
	for (const [index, daemon] of daemons.entries()) {
		daemon.quarantine.recordCrash([request.request], index + 1, net.nowMs);
	}
}

/** Names of the running daemons that would still send the request. */
const unawareDaemons = (net: TestNet) => net.runningDaemons().filter(({quarantine}) => !quarantine.forbidsRun(request, net.nowMs)).map(({name}) => name);

describe('a request that crashed one backend server at each of three daemons', () => {
	it.each([
		{
			name: '6 daemons', daemons: 6, domains: 4, lossShare: 0,
		},
		{
			name: '12 daemons with a datagram loss of 20 %', daemons: 12, domains: 4, lossShare: 0.2,
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
		recordCrashes(net.daemons.slice(-crashesToQuarantine), net);
		net.run(propagationMs);
		expect(unawareDaemons(net)).toEqual([]);
	}, 30_000);

	it.each([
		{
			name: 'the first relay of a failure domain is dead', prepare(net: TestNet) {
				net.daemons[0].isRunning = false;
			},
		},
		{
			name: 'two pairs of daemons are cut off from each other', prepare(net: TestNet) {
				net.cut(net.daemons[0], net.daemons.at(-1)!);
				net.cut(net.daemons[1], net.daemons.at(-2)!);
			},
		},
	])('is known to all of 80 daemons when $name', async ({prepare}) => {
		const net = await startNet(80, 4);
		prepare(net);
		recordCrashes(net.daemons.slice(-crashesToQuarantine), net);
		net.run(propagationMs);
		expect(unawareDaemons(net)).toEqual([]);
	}, 30_000);

	it.each([
		{name: 'of 6', daemons: 6},
		{name: 'of 80', daemons: 80},
	])('is known to a daemon $name that starts a minute later', async ({daemons}) => {
		const net = await startNet(daemons, 4);
		recordCrashes(net.daemons.slice(0, crashesToQuarantine), net);
		net.run(60_000, () => undefined);
		const restarted = net.restart(net.daemons.at(-1)!);
		await restarted.messenger.discover(new AbortController().signal);
		net.run(propagationMs);
		expect(restarted.quarantine.forbidsRun(request, net.nowMs)).toBe(true);
	}, 60_000);

	it('is still known after all daemons restart at once', async () => {
		const net = await startNet(6, 4);
		const {signal} = new AbortController();
		const [holder] = net.daemons;
		await holder.lease.step({
			rank: 0, isMajorityResponsive: true, startedAtMs: 0, storeAnsweringForMs: 10_000,
		}, signal);
		net.run(5000);
		await holder.lease.step({
			rank: 0, isMajorityResponsive: true, startedAtMs: 0, storeAnsweringForMs: 10_000,
		}, signal);
		recordCrashes(net.daemons.slice(0, crashesToQuarantine), net);
		net.run(propagationMs);
		await holder.quarantineRecord.save(signal);
		for (const daemon of net.daemons) {
			net.restart(daemon);
		}

		await net.discover();
		expect(unawareDaemons(net)).toEqual([]);
	});

	it('causes no extra datagrams while nothing crashes', async () => {
		const net = await startNet(6, 4);
		const before = net.daemons.map(({datagramsSent}) => datagramsSent);
		net.run(1000);
		const idle = net.daemons.map(({datagramsSent}, index) => datagramsSent - before[index]);
		recordCrashes(net.daemons.slice(0, 1), net);
		net.run(1000);
		expect(net.daemons[0].datagramsSent - before[0] - idle[0]).toBeGreaterThan(idle[0]);
		expect(idle).toEqual(idle.map(() => 4 * 5));
	});
});

describe('a part of a prompt that crashed one backend server at each of five daemons, beside a wave of ordinary crashes', () => {
	const harmful = 1;
	const common = 2;
	const sound = 3;
	/** Time after the fifth crash from which few requests with the part may be sent, in milliseconds. */
	const contactMs = 3000;
	/** Backend servers lost in the wave, and how many requests with prompts of their own break off at each daemon that loses some. */
	const waveCrashes = 10;
	const brokenRuns = 8;

	it.each([
		{daemons: 6, domains: 4},
		{daemons: 86, domains: 4},
		{daemons: 195, domains: 6},
		{daemons: 370, domains: 8},
	])('is refused by all of $daemons daemons, and sound requests are not', async ({daemons, domains}) => {
		const net = await startNet(daemons, domains);
		let request = 1000;
		for (let wave = 0; wave < waveCrashes; wave++) {
			for (let run = 0; run < brokenRuns; run++) {
				const daemon = net.daemons[(request * 7) % daemons];
				request++;
				daemon.quarantine.recordCrash([request, common, 100_000 + request, 200_000 + request, 300_000 + request], 100 + wave, net.nowMs);
			}
		}

		for (let crash = 0; crash < 5; crash++) {
			net.daemons[(crash * 11) % daemons].quarantine.recordCrash([++request, common, harmful], crash, net.nowMs);
		}

		for (let elapsedMs = 0; elapsedMs < contactMs; elapsedMs += 250) {
			net.run(250);
			// Sound requests go on at some daemons only.
			for (const daemon of net.daemons.slice(0, Math.ceil(daemons / 3))) {
				daemon.quarantine.recordProgress({request: 0, parts: [common, sound]}, net.nowMs);
			}
		}

		net.run(250);
		const admits = (parts: number[]) => net.daemons.filter(({quarantine}) => quarantine.admit({request: ++request, parts}, net.nowMs) === undefined).length;
		expect(admits([common, harmful])).toBe(0);
		expect(admits([common, sound])).toBe(daemons);
	}, 120_000);
});
