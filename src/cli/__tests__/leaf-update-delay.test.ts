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
import {reportIntervalMs} from '../../coordination/fleet/peer-counter.js';
import {FleetRole, FleetTable} from '../../coordination/fleet/fleet-table.js';
import {type BackendsSink} from '../../coordination/record-sinks.js';
import {type RecordSink} from '../../coordination/topic-follower.js';
import {FakeStore} from '../../testing/fake-store.js';
import {waitUntil} from '../../testing/stack.js';
import {BackendsFollower, ConfigFollower, createFrontContainer} from '../front-container.js';

const failureDomain = 'fd-a';
const relays: NamedAddress[] = [1, 2].map(number => ({name: `fd-a-${number}`, address: {host: `10.0.0.${number}`, port: 1}}));
/** Age of the relays' view when they stop reading, in milliseconds: a long poll has just been answered. */
const relayAgeMs = 500;
/** Time for reads in progress to end, in milliseconds. */
const readsInProgressMs = 200;

const bounds: ServiceBounds = {
	configApplyMs: 2000, drainMs: 2000, graceMs: 8000, revokeMs: 5000, retryRatio: 0.2, retryWindowMs: 10_000, retrySlack: 50, quotaWindowMs: 8000, quotaTolerance: 0.1, quotaSlack: 0, leaseMs: 3000, usageWindowMs: 5000, canaryShare: 0.1,
};

/** A leaf daemon whose relays answer every report with a view whose age grows once they cannot read the store. */
type LeafDaemon = {store: FakeStore; appliedAtMs: Record<Topic.Config | Topic.Backends, number | undefined>; clock: SteadyClock; container: DependencyContainer};

async function startLeaf(leafBounds: ServiceBounds, stop: AbortController): Promise<LeafDaemon> {
	const store = new FakeStore();
	store.put(Topic.Config, 'x', '1');
	store.put(Topic.Backends, 'x', '1');
	const appliedAtMs: LeafDaemon['appliedAtMs'] = {[Topic.Config]: undefined, [Topic.Backends]: undefined};
	const settings: Partial<FrontSettings> = {
		name: 'fd-a-9', failureDomain, isFirstStart: true, host: '10.0.0.9', peerPort: 1, bounds: leafBounds,
	};
	const clock = new SteadyClock();
	const createSink = (topic: Topic.Config | Topic.Backends): RecordSink => ({
		reset: () => undefined,
		apply() {
			appliedAtMs[topic] ??= clock.now();
		},
	});
	const container = createFrontContainer({
		isAssignmentEnabled: true,
		platform: {settings, store} as unknown as Platform,
		incarnation: 'fd-a-9#1',
		signal: stop.signal,
		createSinks: () => ({configSink: createSink(Topic.Config), backendsSink: createSink(Topic.Backends) as unknown as BackendsSink}),
	});
	const messenger = container.resolve(FleetMessenger);
	let lastReadAtMs = clock.now();
	let isReading = true;
	messenger.open({
		send(message, to) {
			lastReadAtMs = isReading ? clock.now() : lastReadAtMs;
			const report = message as FleetMessage;
			for (const relay of relays.filter(({address}) => to.some(({host}) => host === address.host))) {
				if (report.kind === FleetMessageKind.Report && report.wantsView) {
					messenger.receive(createView(relay, report.round, clock.now() - lastReadAtMs + relayAgeMs));
				}
			}
		},
	});
	for (const {name, address} of relays) {
		container.resolve(FleetTable).addAddress(name, failureDomain, address);
	}

	await messenger.discover(stop.signal);

	void repeatReports(messenger, stop.signal);
	void container.resolve(ConfigFollower).run(stop.signal);
	void container.resolve(BackendsFollower).run(stop.signal);
	await waitUntil(async () => container.resolve(FleetTable).roleAt(clock.now()) === FleetRole.Leaf, 2000);
	await waitUntil(async () => container.resolve(ConfigFollower).stateAt(clock.now()).isCarried && container.resolve(BackendsFollower).stateAt(clock.now()).isCarried, 2000);
	// A read in progress when the relays' first view arrived could still return the change.
	await delay(readsInProgressMs);
	isReading = false;
	return {
		store, appliedAtMs, clock, container,
	};
}

async function repeatReports(messenger: FleetMessenger, signal: AbortSignal): Promise<void> {
	while (!signal.aborted) {
		messenger.sendReports();
		// eslint-disable-next-line no-await-in-loop -- one report per interval.
		await delay(reportIntervalMs, undefined, {signal}).catch(() => undefined);
	}
}

function createView({name, address}: NamedAddress, round: number, ageMs: number): View {
	const next = {era: 0, offset: 1};
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
		topics: {[Topic.Config]: {next, ageMs, records: []}, [Topic.Backends]: {next, ageMs, records: []}},
	};
}

// Relays that cannot read the store keep sending views whose age grows. A leaf that relied on
// them for too long would apply a change later than its bound.
describe('a leaf daemon whose relays cannot read the store', () => {
	it.each([
		{topic: Topic.Config, boundMs: 2000, changed: {configApplyMs: 2000}},
		{topic: Topic.Config, boundMs: 1500, changed: {configApplyMs: 1500}},
		{topic: Topic.Config, boundMs: 3000, changed: {configApplyMs: 3000, revokeMs: 20_000}},
		{topic: Topic.Backends, boundMs: 2000, changed: {drainMs: 2000}},
		{topic: Topic.Backends, boundMs: 1500, changed: {drainMs: 1500}},
	] as const)('applies a change of the $topic topic within its bound of $boundMs ms', async ({topic, boundMs, changed}) => {
		const stop = new AbortController();
		const {store, appliedAtMs, clock} = await startLeaf({...bounds, ...changed}, stop);
		const changedAtMs = clock.now();
		store.put(topic, 'x', '2');
		await waitUntil(async () => appliedAtMs[topic] !== undefined, boundMs + 3000);
		stop.abort();
		expect(appliedAtMs[topic]! - changedAtMs).toBeLessThanOrEqual(boundMs);
	});
});
