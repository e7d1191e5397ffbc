import {describe, expect, it} from 'vitest';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {RetryPurpose} from '../../retry-budget.js';
import {
	retryLimits, startNet, type TestDaemon, type TestNet, tickMs,
} from '../__fixtures__/test-net.js';

const {signal} = new AbortController();
const service = 's';
const {ratio, windowMs, slack} = retryLimits;
const stepMs = 250;

/** A time span in milliseconds from the start of the load in which some daemons are down, or are cut off from all others. */
type Span = {fromMs: number; untilMs: number; includes: (index: number) => boolean};

type Scenario = {
	daemons: number;
	domains?: number;
	requestsPerSecond: number;
	/** Share of the requests that fail and are to be sent once more, from {@link failFromMs} on. */
	failShare?: number;
	failFromMs?: number;
	kills?: Span[];
	cuts?: Span[];
	forMs?: number;
	/** Whether daemons restart with the settings that they had, which state the first start of the whole system. */
	keepsSettings?: boolean;
	seed: number;
};

/** How many retries were granted in the worst window as a share of what was allowed, and how many were granted for each request that failed. */
type Outcome = {worstShare: number; grantedShare: number};

const everyone = () => true;

/** Simulates requests whose replicas fail, at a fleet whose daemons are killed and cut off. */
async function simulateRetries(scenario: Scenario): Promise<Outcome> {
	const {
		daemons, domains = 4, requestsPerSecond, failShare = 1, failFromMs = 0, kills = [], cuts = [], forMs = 24_000, keepsSettings = false, seed,
	} = scenario;
	const generator = xoroshiro128plus(seed);
	const random = () => uniformFloat64(generator);
	const net = await startNet(daemons, domains);
	net.isFirstStart = keepsSettings;
	const startMs = net.nowMs;
	const startedAtMs = net.daemons.map(() => -10_000);
	const requests: number[] = [];
	const retries: number[] = [];
	let failures = 0;
	let due = 0;
	const sendRequests = () => {
		const running = net.runningDaemons();
		due += requestsPerSecond * tickMs / 1000;
		for (; due >= 1; due--) {
			requests.push(net.nowMs);
			if (running.length === 0) {
				continue;
			}

			// A fifth of the daemons receives most of the requests.
			const daemon = running[Math.floor((random() ** 1.5) * running.length)];
			daemon.retryBudget.countRequest(service, net.nowMs);
			if (net.nowMs - startMs >= failFromMs && random() < failShare) {
				failures++;
				if (daemon.retryBudget.tryTake(service, RetryPurpose.Retry, net.nowMs)) {
					retries.push(net.nowMs);
				}
			}
		}
	};

	while (net.nowMs < startMs + forMs) {
		applyCuts(net, cuts, net.nowMs - startMs);
		for (const [index, daemon] of net.daemons.entries()) {
			const isDown = kills.some(({fromMs, untilMs, includes}) => includes(index) && net.nowMs - startMs >= fromMs && net.nowMs - startMs < untilMs);
			if (isDown) {
				daemon.isRunning = false;
			} else if (!daemon.isRunning) {
				startedAtMs[index] = net.nowMs;
				await net.restart(daemon).messenger.discover(signal); // eslint-disable-line no-await-in-loop -- in the order of time.
			}
		}

		net.run(stepMs, sendRequests);
		await stepDuties(net, startedAtMs); // eslint-disable-line no-await-in-loop
	}

	return {worstShare: worstShareOf(requests, retries, startMs), grantedShare: retries.length / Math.max(1, failures)};
}

function applyCuts(net: TestNet, cuts: Span[], atMs: number): void {
	net.cuts.clear();
	for (const {fromMs, untilMs, includes} of cuts) {
		const isolated = atMs >= fromMs && atMs < untilMs ? net.daemons.filter((_, index) => includes(index)) : [];
		for (const daemon of isolated) {
			for (const other of net.daemons) {
				net.cut(daemon, other);
			}
		}
	}
}

/** Lets the daemons choose the holder of the duties, which writes the record of what was used, and read it after a start. */
async function stepDuties(net: TestNet, startedAtMs: number[]): Promise<void> {
	for (const [index, daemon] of net.daemons.entries()) {
		if (daemon.isRunning) {
			await stepDaemon(net, daemon, startedAtMs[index]); // eslint-disable-line no-await-in-loop -- one daemon after the other.
		}
	}
}

async function stepDaemon({nowMs}: TestNet, daemon: TestDaemon, startedAtMs: number): Promise<void> {
	const uptimeMs = nowMs - startedAtMs;
	if (uptimeMs >= 2000 && uptimeMs < 8000 && uptimeMs % 2000 < stepMs) {
		await daemon.messenger.discover(signal);
	}

	await daemon.lease.step({
		rank: daemon.fleet.rank(nowMs), isMajorityResponsive: daemon.fleet.isMajorityResponsive(nowMs), startedAtMs, storeAnsweringForMs: uptimeMs,
	}, signal);
	await daemon.bounds.save(signal);
}

/** Returns the retries of the worst window as a share of what is allowed for the requests of that window, the one before or the one half a window before. */
function worstShareOf(requests: number[], retries: number[], startMs: number): number {
	const count = (times: number[], fromMs: number) => times.filter(atMs => atMs >= fromMs && atMs < fromMs + windowMs).length;
	const starts = Array.from({length: Math.ceil((requests.at(-1)! - startMs) / 100)}, (_, index) => startMs + (index * 100));
	return Math.max(...starts.map(fromMs => {
		const counted = Math.max(count(requests, fromMs), count(requests, fromMs - windowMs), count(requests, fromMs - (windowMs / 2)));
		return count(retries, fromMs) / ((ratio * counted) + slack);
	}));
}

const seeds = [1, 2, 3, 4];

describe('the retry budget over daemons', () => {
	it.each([
		{name: 'none restarts', scenario: {daemons: 8, requestsPerSecond: 27}},
		{
			name: 'all are killed once', scenario: {
				daemons: 8, requestsPerSecond: 27, kills: [{fromMs: 6000, untilMs: 6500, includes: everyone}],
			},
		},
		{
			name: 'all are killed as failures begin', scenario: {
				daemons: 8, requestsPerSecond: 27, failFromMs: 4000, kills: [{fromMs: 6000, untilMs: 6500, includes: everyone}],
			},
		},
		{
			name: 'all are killed twice', scenario: {
				daemons: 8, requestsPerSecond: 27, kills: [{fromMs: 6000, untilMs: 6500, includes: everyone}, {fromMs: 10_000, untilMs: 10_500, includes: everyone}],
			},
		},
		{
			name: 'all are killed and keep first settings', scenario: {
				daemons: 8, requestsPerSecond: 27, keepsSettings: true, kills: [{fromMs: 6000, untilMs: 6500, includes: everyone}, {fromMs: 10_000, untilMs: 10_500, includes: everyone}],
			},
		},
		{
			name: 'all are killed three times', scenario: {
				daemons: 8, requestsPerSecond: 27, kills: [6000, 9000, 12_000].map(fromMs => ({fromMs, untilMs: fromMs + 500, includes: everyone})),
			},
		},
		{
			name: 'one restarts after the other', scenario: {
				daemons: 8, requestsPerSecond: 27, kills: Array.from({length: 8}, (_, daemon) => ({fromMs: 4000 + (daemon * 1000), untilMs: 4750 + (daemon * 1000), includes: (index: number) => index === daemon})),
			},
		},
		{
			name: 'all are killed in the first burst', scenario: {
				daemons: 8, requestsPerSecond: 27, failFromMs: 11_000, kills: [{fromMs: 13_000, untilMs: 13_500, includes: everyone}],
			},
		},
		{
			name: 'all are killed in a burst of many', scenario: {
				daemons: 8, requestsPerSecond: 200, failFromMs: 11_000, kills: [{fromMs: 13_000, untilMs: 13_500, includes: everyone}],
			},
		},
		{
			name: 'one restarts in the first burst', scenario: {
				daemons: 8, requestsPerSecond: 27, failFromMs: 11_000, kills: [{fromMs: 13_000, untilMs: 13_500, includes: (index: number) => index === 0}],
			},
		},
		{
			name: 'all are cut off in a burst', scenario: {
				daemons: 8, requestsPerSecond: 27, failFromMs: 11_000, cuts: [{fromMs: 11_500, untilMs: 23_000, includes: everyone}],
			},
		},
		{
			name: 'half are cut off in a burst', scenario: {
				daemons: 8, requestsPerSecond: 27, failFromMs: 11_000, cuts: [{fromMs: 11_500, untilMs: 23_000, includes: (index: number) => index < 4}],
			},
		},
		{
			name: 'a large fleet is killed twice', scenario: {
				daemons: 60, requestsPerSecond: 60, forMs: 16_000, kills: [{fromMs: 4000, untilMs: 4500, includes: everyone}, {fromMs: 8000, untilMs: 8500, includes: everyone}],
			},
		},
		{
			name: 'all are cut off', scenario: {
				daemons: 8, requestsPerSecond: 27, failFromMs: 2000, cuts: [{fromMs: 5000, untilMs: 20_000, includes: everyone}],
			},
		},
		{
			name: 'all are killed while cut off', scenario: {
				daemons: 8, requestsPerSecond: 27, failFromMs: 2000, cuts: [{fromMs: 5000, untilMs: 20_000, includes: everyone}], kills: [{fromMs: 8000, untilMs: 8500, includes: everyone}],
			},
		},
		{
			name: 'all are cut off for over a minute', scenario: {
				daemons: 8, requestsPerSecond: 27, failFromMs: 68_000, forMs: 80_000, cuts: [{fromMs: 2000, untilMs: 80_000, includes: everyone}],
			},
		},
	])('holds when $name', async ({scenario}) => {
		for (const seed of seeds) {
			// eslint-disable-next-line no-await-in-loop -- one simulation after the other.
			const {worstShare} = await simulateRetries({...scenario, seed});
			expect(worstShare, `seed ${seed}`).toBeLessThanOrEqual(1);
		}
	});
});
