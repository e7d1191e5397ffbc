/** Daemons that learn where streams began, in fleets of several sizes, and what that costs. */
import {setTimeout as delay} from 'node:timers/promises';
import {describe, expect, it} from 'vitest';
import {startNet, type TestDaemon, type TestNet} from '../../fleet/__fixtures__/test-net.js';
import {FleetRole} from '../../fleet/fleet-table.js';

const origin = {service: 's', version: 'v1'};
/** Real time in which collected entries are sent, in milliseconds. */
const batchMs = 60;

/** Passes the messages in transit on, also those that answer them, while real time goes on for the timers. */
async function settle(net: TestNet): Promise<void> {
	for (let round = 0; round < 3; round++) {
		await delay(batchMs); // eslint-disable-line no-await-in-loop -- one round after the other.
		net.run(20);
	}
}

async function askUntilAnswered(net: TestNet, daemon: TestDaemon, key: number) {
	const answers = daemon.originExchange.ask(key, 's');
	for (let round = 0; round < 4; round++) {
		net.run(20);
		await delay(10); // eslint-disable-line no-await-in-loop
	}

	const {answers: received} = await answers;
	return received;
}

describe('StreamOriginExchange', () => {
	it.each([{daemons: 6, domains: 4}, {daemons: 30, domains: 3}, {daemons: 195, domains: 6}])('lets each of $daemons daemons find a stream that another one began', async ({daemons, domains}) => {
		const net = await startNet(daemons, domains);
		for (const [index, daemon] of net.daemons.entries()) {
			daemon.originExchange.note(index, origin);
		}

		await settle(net);
		const keepers = net.daemons.filter(daemon => daemon.fleet.roleAt(net.nowMs) !== FleetRole.Leaf);
		expect(keepers.map(({origins}) => origins.size)).toEqual(keepers.map(() => daemons));
		for (const daemon of net.daemons.slice(-5)) {
			const answers = await askUntilAnswered(net, daemon, 0); // eslint-disable-line no-await-in-loop
			expect(answers.some(answer => answer.origin?.version === 'v1')).toBe(true);
		}
	});

	it('tells that a stream is unknown as soon as all daemons have answered', async () => {
		const net = await startNet(6, 4);
		const answers = await askUntilAnswered(net, net.daemons[0], 99);
		expect(answers).toHaveLength(5);
		expect(answers.some(answer => answer.origin !== undefined)).toBe(false);
	});
});
