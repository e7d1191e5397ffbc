import {describe, expect, it} from 'vitest';
import {type Account} from '../../protocol/serving.js';
import {QuotaLedger, type QuotaPeers, requestCost} from '../quota-ledger.js';
import {RepeatPurpose, RetryAllowance} from '../retry-allowance.js';
import {UsageLedger} from '../usage-ledger.js';

const account: Account = {
	name: 'a', apiKeys: [], priority: undefined, ratePerSecond: 1000, burst: 1000, countsTokens: true, plainTokens: 200,
};
const bounds = {windowMs: 8000, tolerance: 0, slack: 0};
const alone = {daemons: 1, silent: 0, unheardMs: 300};

/** Admits requests of 100 units until one is refused, and says how much was admitted. */
function admitAll(ledger: QuotaLedger, peers: QuotaPeers, nowMs: number): number {
	let admitted = 0;
	while (!ledger.admit(account, 100, peers, nowMs)) {
		admitted += 100;
	}

	return admitted;
}

describe('requestCost', () => {
	it.each([
		{
			counts: true, prompt: 1460, output: 80, expected: 1540,
		},
		{
			counts: true, prompt: undefined, output: undefined, expected: 200,
		},
		{
			counts: false, prompt: 1460, output: 80, expected: 1,
		},
	])('$prompt + $output tokens, counted: $counts', ({counts, prompt, output, expected}) => {
		expect(requestCost({...account, countsTokens: counts}, prompt, output)).toBe(expected);
	});
});

describe('QuotaLedger', () => {
	it('grants the rate over the window and the burst, in any window', () => {
		const ledger = new QuotaLedger(bounds, 0, true);
		expect(admitAll(ledger, alone, 0)).toBe(9000);
		expect(admitAll(ledger, alone, 4000)).toBe(0);
		expect(admitAll(ledger, alone, 8500)).toBe(9000);
	});

	it.each([
		{
			name: 'counts what peers admitted', peers: {daemons: 2, silent: 0, unheardMs: 0}, peerSpent: 5000, expected: 4000,
		},
		{
			name: 'leaves a silent peer its share', peers: {daemons: 2, silent: 1, unheardMs: 0}, peerSpent: 0, expected: 4500,
		},
	])('$name', ({peers, peerSpent, expected}) => {
		const ledger = new QuotaLedger(bounds, 0, true);
		ledger.notePeerSpent('a', peerSpent, 0);
		expect(admitAll(ledger, peers, 0)).toBe(expected);
	});

	it('a daemon that starts anew adopts its peers\' sums', () => {
		const ledger = new QuotaLedger(bounds, 0, false);
		ledger.adopt({a: 7000}, 0);
		expect(admitAll(ledger, alone, 0)).toBe(2000);
	});

	it('a daemon that starts anew and hears nobody grants less than a window\'s limit in its first window', () => {
		const ledger = new QuotaLedger(bounds, 0, false);
		let admitted = 0;
		for (let nowMs = 0; nowMs <= 8000; nowMs += 500) {
			admitted += admitAll(ledger, alone, nowMs);
		}

		expect(admitted).toBeLessThanOrEqual(4500);
	});

	it('gives back what was not run', () => {
		const ledger = new QuotaLedger(bounds, 0, true);
		admitAll(ledger, alone, 0);
		ledger.refund(account, 100, 0);
		expect(admitAll(ledger, alone, 0)).toBe(100);
	});
});

/** Plays an account that offers many times its limit through several daemons, and returns the most that was admitted in any window. */
function playHotAccount(daemons: number, offeredPerSecond: number, roundMs = 300): {most: number; total: number} {
	const hot = {...account, ratePerSecond: 208_854, burst: 208_854};
	const hotBounds = {windowMs: 8000, tolerance: 0.1, slack: 140_000};
	const ledgers = Array.from({length: daemons}, () => new QuotaLedger(hotBounds, 0, true));
	const said = ledgers.map(() => 0);
	const admitted: Array<{atMs: number; cost: number}> = [];
	const cost = 9000;
	let offered = 0;
	for (let atMs = 0; atMs < 14_000; atMs += 5) {
		for (offered += offeredPerSecond * 0.005; offered >= cost; offered -= cost) {
			const ledger = ledgers[Math.floor(offered * 7) % daemons];
			if (!ledger.admit(hot, cost, {daemons, silent: 0, unheardMs: roundMs}, atMs)) {
				admitted.push({atMs, cost});
			}
		}

		// A message round of 250 ms, and the time to read the messages.
		if (atMs % roundMs === 0) {
			for (const [index, ledger] of ledgers.entries()) {
				const spent = ledger.spent().a ?? 0;
				for (const other of ledgers.filter(peer => peer !== ledger)) {
					other.notePeerSpent('a', spent - said[index], atMs);
				}

				said[index] = spent;
			}
		}
	}

	const most = Math.max(...admitted.map(({atMs: from}) => admitted.filter(({atMs}) => atMs >= from && atMs < from + 8000).length * cost));
	return {most, total: admitted.length * cost};
}

describe('an account that sends eight times its usual', () => {
	const allowed = (((208_854 * 8) + 208_854) * 1.1) + 140_000;

	it.each([{daemons: 6}, {daemons: 9}])('stays within the operators\' bound over $daemons daemons, and gets most of it', ({daemons}) => {
		// Where in a round of messages the limit is reached depends on the rate.
		const plays = Array.from({length: 10}, (_, index) => playHotAccount(daemons, 800_000 + (index * 20_000)).most);
		expect(Math.max(...plays)).toBeLessThan(allowed * 0.98);
		expect(Math.min(...plays)).toBeGreaterThan(allowed * 0.8);
	});

	it('may use its whole limit over 86 daemons, whose rounds are longer', () => {
		expect(playHotAccount(86, 120_000, 2150).total).toBeGreaterThan(120_000 * 14 * 0.99);
	});

	it('may use its whole limit when it stays within it', () => {
		expect(playHotAccount(6, 200_000).total).toBeGreaterThan(200_000 * 14 * 0.99);
	});
});

describe('RetryAllowance', () => {
	const bound = {ratio: 0.2, windowMs: 10_000, slack: 40};

	/** Repeats granted in one window after a number of first requests, over all daemons. */
	function granted(daemons: number, requests: number): number {
		let total = 0;
		for (let daemon = 0; daemon < daemons; daemon++) {
			const allowance = new RetryAllowance(bound);
			for (let index = 0; index < requests; index++) {
				allowance.countRequest('s', 0);
			}

			while (allowance.take('s', RepeatPurpose.Retry, daemons, 0)) {
				total++;
			}
		}

		return total;
	}

	it.each([{daemons: 1, requests: 100}, {daemons: 6, requests: 20}, {daemons: 86, requests: 5}])('$daemons daemons with $requests requests each stay within the common bound', ({daemons, requests}) => {
		const total = granted(daemons, requests);
		expect(total).toBeLessThanOrEqual((bound.ratio * daemons * requests) + bound.slack);
	});

	it('replicas that fail every request do not multiply the load', () => {
		const allowance = new RetryAllowance(bound);
		let repeats = 0;
		for (let nowMs = 0; nowMs < 10_000; nowMs += 10) {
			allowance.countRequest('s', nowMs);
			repeats += allowance.take('s', RepeatPurpose.Retry, 1, nowMs) ? 1 : 0;
		}

		expect(repeats).toBeLessThanOrEqual((1000 * bound.ratio) + bound.slack);
	});
});

describe('UsageLedger', () => {
	it('sums the counts of all daemons by window, and takes a repeated message once', () => {
		const ledger = new UsageLedger('a', 5000);
		ledger.count('x', 12_000);
		ledger.count('x', 14_999);
		ledger.count('x', 15_000);
		ledger.note('b', 2, {x: 3, y: 1});
		ledger.note('b', 2, {x: 3, y: 1});
		expect(ledger.total(2)).toEqual({x: 5, y: 1});
		expect(ledger.total(3)).toEqual({x: 1});
		expect(ledger.total(9)).toBeUndefined();
	});
});
