import {setTimeout as delay} from 'node:timers/promises';
import {type DependencyContainer} from 'tsyringe';
import {describe, expect, it} from 'vitest';
import {
	DigestScope, type FleetMessage, FleetMessageKind, type NamedAddress, type View,
} from '../../protocol/fleet-messages.js';
import {
	type FrontSettings, type Platform, type ServiceBounds, Topic,
} from '../../protocol/platform.js';
import {SteadyClock} from '../../clock.js';
import {FleetMessenger} from '../../coordination/fleet/fleet-messenger.js';
import {roundMs} from '../../coordination/fleet/peer-census.js';
import {FleetRole, FleetTable} from '../../coordination/fleet/fleet-table.js';
import {type BackendsSink} from '../../coordination/record-sinks.js';
import {type RecordSink} from '../../coordination/topic-follower.js';
import {FakeStore} from '../../testing/fake-store.js';
import {waitUntil} from '../../testing/stack.js';
import {BackendsFollower, ConfigFollower, createFrontContainer} from '../front-container.js';

const failureDomain = 'fd-a';
const relays: NamedAddress[] = [1, 2].map(number => ({name: `fd-a-${number}`, address: {host: `10.0.0.${number}`, port: 1}}));
/** Age of the relays' view as they stop reading, in milliseconds: a read that waited was just answered. */
const relayAgeMs = 500;
/** Time for reads under way to end, in milliseconds. */
const lastReadsMs = 200;

const bounds: ServiceBounds = {
	configApplyMs: 2000, drainMs: 2000, graceMs: 8000, revokeMs: 5000, retryRatio: 0.2, retryWindowMs: 10_000, retrySlack: 50, quotaWindowMs: 8000, quotaTolerance: 0.1, quotaSlack: 0, leaseMs: 3000, usageWindowMs: 5000,
};

/** A leaf whose relays answer every report, and say that their view grows older. */
type Leaf = {store: FakeStore; inForceAtMs: Record<Topic.Config | Topic.Backends, number | undefined>; clock: SteadyClock; parts: DependencyContainer};

async function startLeaf(leafBounds: ServiceBounds, stop: AbortController): Promise<Leaf> {
	const store = new FakeStore();
	store.put(Topic.Config, 'x', '1');
	store.put(Topic.Backends, 'x', '1');
	const inForceAtMs: Leaf['inForceAtMs'] = {[Topic.Config]: undefined, [Topic.Backends]: undefined};
	const settings: Partial<FrontSettings> = {
		name: 'fd-a-9', failureDomain, isFirstStart: true, host: '10.0.0.9', peerPort: 1, bounds: leafBounds,
	};
	const clock = new SteadyClock();
	const createSink = (topic: Topic.Config | Topic.Backends): RecordSink => ({
		reset: () => undefined,
		apply() {
			inForceAtMs[topic] ??= clock.now();
		},
	});
	const parts = createFrontContainer({
		platform: {settings, store} as unknown as Platform,
		incarnation: 'fd-a-9#1',
		signal: stop.signal,
		createSinks: () => ({configSink: createSink(Topic.Config), backendsSink: createSink(Topic.Backends) as unknown as BackendsSink}),
	});
	const messenger = parts.resolve(FleetMessenger);
	let lastReadAtMs = clock.now();
	let isReading = true;
	messenger.open({
		send(message, to) {
			lastReadAtMs = isReading ? clock.now() : lastReadAtMs;
			const report = message as FleetMessage;
			for (const relay of relays.filter(({address}) => to.some(({host}) => host === address.host))) {
				if (report.kind === FleetMessageKind.Report && report.wantsView) {
					messenger.hear(viewFrom(relay, report.round, clock.now() - lastReadAtMs + relayAgeMs));
				}
			}
		},
	});
	for (const {name, address} of relays) {
		parts.resolve(FleetTable).learn(name, failureDomain, address);
	}

	await messenger.discover(stop.signal);

	void repeatReports(messenger, stop.signal);
	void parts.resolve(ConfigFollower).run(stop.signal);
	void parts.resolve(BackendsFollower).run(stop.signal);
	await waitUntil(async () => parts.resolve(FleetTable).roleAt(clock.now()) === FleetRole.Leaf, 2000);
	await waitUntil(async () => parts.resolve(ConfigFollower).stateAt(clock.now()).isCarried && parts.resolve(BackendsFollower).stateAt(clock.now()).isCarried, 2000);
	// A read under way as the relays' word came may still bring the change.
	await delay(lastReadsMs);
	isReading = false;
	return {
		store, inForceAtMs, clock, parts,
	};
}

async function repeatReports(messenger: FleetMessenger, signal: AbortSignal): Promise<void> {
	while (!signal.aborted) {
		messenger.report();
		// eslint-disable-next-line no-await-in-loop -- once a round.
		await delay(roundMs, undefined, {signal}).catch(() => undefined);
	}
}

function viewFrom({name, address}: NamedAddress, round: number, ageMs: number): View {
	return {
		kind: FleetMessageKind.View,
		sender: {
			name, incarnation: `${name}#1`, failureDomain, address, uptimeMs: 60_000, isStopping: false,
		},
		holder: undefined,
		windowUses: undefined,
		digest: {
			scope: DigestScope.Rest, epoch: '1', daemons: 15, silent: 0, use: {}, usage: [], inFlight: [],
		},
		relays,
		round,
		topics: {[Topic.Config]: {next: 1, ageMs, records: []}, [Topic.Backends]: {next: 1, ageMs, records: []}},
	};
}

describe('a leaf whose relays cannot read the store', () => {
	it.each([
		{topic: Topic.Config, boundMs: 2000, changed: {configApplyMs: 2000}},
		{topic: Topic.Config, boundMs: 1500, changed: {configApplyMs: 1500}},
		{topic: Topic.Config, boundMs: 3000, changed: {configApplyMs: 3000, revokeMs: 20_000}},
		{topic: Topic.Backends, boundMs: 2000, changed: {drainMs: 2000}},
		{topic: Topic.Backends, boundMs: 1500, changed: {drainMs: 1500}},
	] as const)('has a change of the $topic in force within its bound of $boundMs ms', async ({topic, boundMs, changed}) => {
		const stop = new AbortController();
		const {store, inForceAtMs, clock} = await startLeaf({...bounds, ...changed}, stop);
		const changedAtMs = clock.now();
		store.put(topic, 'x', '2');
		await waitUntil(async () => inForceAtMs[topic] !== undefined, boundMs + 3000);
		stop.abort();
		expect(inForceAtMs[topic]! - changedAtMs).toBeLessThanOrEqual(boundMs);
	});
});
