/** Simulates a fleet whose daemons exchange datagrams in simulated time, without network ports. */
import {pack, unpack} from 'msgpackr';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {SteadyClock} from '../../../clock.js';
import {type Account} from '../../../protocol/serving.js';
import {type PeerAddress, type GossipedTopic} from '../../../protocol/fleet-messages.js';
import {Topic} from '../../../protocol/platform.js';
import {BackendTable} from '../../../state/backend-table.js';
import {LogEra} from '../../../state/log-era.js';
import {ViewAge} from '../../../state/view-age.js';
import {FakeStore} from '../../../testing/fake-store.js';
import {sumOfProfile} from '../../account-window.js';
import {DemandShare} from '../../demand-share.js';
import {DutyLease} from '../../duty-lease.js';
import {FirstStart} from '../../first-start.js';
import {OverloadTolerances} from '../../overload-tolerances.js';
import {Placement} from '../../placement.js';
import {Quarantine} from '../../quarantine/quarantine.js';
import {QuarantineRecord} from '../../quarantine/quarantine-record.js';
import {type QuotaBounds, QuotaLedger} from '../../quota-ledger.js';
import {FleetRetryBudget} from '../../fleet-retry-budget.js';
import {Reachability} from '../../reachability.js';
import {Rollouts} from '../../rollout/rollouts.js';
import {AssignmentExchange} from '../../assignment/assignment-exchange.js';
import {isInGroup} from '../../assignment/assignment-groups.js';
import {BackendPaces} from '../../paces/backend-paces.js';
import {backendKey} from '../backend-key.js';
import {SlotExchange} from '../../slots/slot-exchange.js';
import {StatedLimits} from '../../stated-limits.js';
import {ServiceVersions} from '../../stream-origins/service-versions.js';
import {StreamOriginExchange} from '../../stream-origins/stream-origin-exchange.js';
import {StreamOriginRecord} from '../../stream-origins/stream-origin-record.js';
import {StreamOrigins} from '../../stream-origins/stream-origins.js';
import {TopicFollower} from '../../topic-follower.js';
import {UsageLedger} from '../../usage-ledger.js';
import {BoundsRecord} from '../bounds-record.js';
import {CombinedUse} from '../combined-use.js';
import {FleetMessenger} from '../fleet-messenger.js';
import {reportIntervalMs} from '../peer-counter.js';
import {FleetRole, FleetTable} from '../fleet-table.js';
import {selectSenders} from '../sender-selection.js';
import {noEvidence} from '../../rollout/__fixtures__/no-evidence.js';

export const account: Account = {
	name: 'x', apiKeys: [], priority: undefined, ratePerSecond: 1_000_000, burst: 1_000_000, countsTokens: true, defaultTokenCost: 1,
};
/** The retry budget over all daemons. */
export const retryLimits = {ratio: 0.2, windowMs: 10_000, slack: 56};
/** Default step of the simulated time, in milliseconds. */
export const tickMs = 10;

/** The modules of a daemon that take part in the fleet, without network ports. */
export class TestDaemon {
	isRunning = true;
	/** Whether its process is stopped for a moment; what arrives meanwhile is delivered afterwards. */
	isFrozen = false;
	bytesSent = 0;
	datagramsSent = 0;
	readonly fleet: FleetTable;
	readonly quota: QuotaLedger;
	readonly usage: UsageLedger;
	readonly placement: Placement;
	readonly messenger: FleetMessenger;
	readonly lease: DutyLease;
	readonly bounds: BoundsRecord;
	readonly quarantine: Quarantine;
	readonly quarantineRecord: QuarantineRecord;
	readonly statedLimits: StatedLimits;
	readonly tolerances = new OverloadTolerances();
	readonly slots: SlotExchange;
	readonly paces = new BackendPaces();
	/** Whether coordinators assign requests; the services are those of the listed backend servers, which are plain ones. */
	isAssigning = false;
	readonly assignments: AssignmentExchange;
	readonly retryBudget: FleetRetryBudget;
	readonly demandShare: DemandShare;
	readonly reachability = new Reachability(() => 0);
	readonly backends = new BackendTable({drainMs: 2000});
	readonly origins = new StreamOrigins(() => 30_000);
	readonly versions: ServiceVersions;
	readonly originExchange: StreamOriginExchange;
	readonly originRecord: StreamOriginRecord;
	readonly rollouts = new Rollouts({canaryShare: 0.1}, () => 0, noEvidence);
	readonly topics: Record<GossipedTopic, TopicFollower>;
	readonly viewAges = {[Topic.Config]: new ViewAge(), [Topic.Backends]: new ViewAge()};
	readonly backendsSeen: string[] = [];
	readonly logEra = new LogEra();

	constructor(readonly name: string, readonly failureDomain: string, readonly host: string, net: TestNet) {
		const clock = new SteadyClock({monotonicMs: () => net.nowMs, wallMs: () => net.nowMs, uptimeMs: () => net.nowMs});
		const startedAtMs = net.nowMs;
		const incarnation = `${name}#${startedAtMs}`;
		this.fleet = new FleetTable({name, failureDomain, startedAtMs});
		const firstStart = new FirstStart(net.isFirstStart);
		this.quota = new QuotaLedger(net.bounds, startedAtMs, firstStart);
		this.retryBudget = new FleetRetryBudget({
			limits: retryLimits, startedAtMs, firstStart, peers: nowMs => this.messenger.quotaPeers(nowMs), random: () => net.random(),
		});
		this.demandShare = new DemandShare(nowMs => this.retryBudget.demand(nowMs));
		const sharedUse = new CombinedUse(this.quota, this.retryBudget);
		this.usage = new UsageLedger(failureDomain, incarnation, 5000);
		this.placement = new Placement(failureDomain, this.paces);
		const follow = (topic: GossipedTopic, seen: string[]) => new TopicFollower({
			store: net.store,
			topic,
			sink: {
				reset() {
					seen.length = 0;
				},
				apply(record) {
					seen.push(record.key);
				},
			},
			viewAge: this.viewAges[topic],
			logEra: this.logEra,
			clock,
			waitMs: () => 0,
			maxBytes: 1024,
			canSkipToNewest: false,
			batchDelayMs: 0,
			maxRelayAgeMs: () => this.fleet.roleAt(net.nowMs) === FleetRole.Leaf ? 2000 : 0,
		});
		this.topics = {[Topic.Config]: follow(Topic.Config, []), [Topic.Backends]: follow(Topic.Backends, this.backendsSeen)};
		this.lease = new DutyLease(net.store, incarnation, 3000, clock);
		this.bounds = new BoundsRecord({
			store: net.store, logEra: this.logEra, sharedUse, lease: this.lease, clock, reportIntervalMs,
		});
		this.quarantine = new Quarantine(nowMs => this.lease.tokenAt(nowMs) !== undefined);
		this.quarantineRecord = new QuarantineRecord({
			store: net.store, logEra: this.logEra, quarantine: this.quarantine, lease: this.lease, clock,
		});
		this.statedLimits = new StatedLimits((query, nowMs) => selectSenders(this.fleet, name, atMs => this.demandShare.usable(atMs), query, nowMs));
		this.slots = new SlotExchange({
			tolerances: this.tolerances, fleet: this.fleet, clock, name, createSender: nowMs => this.messenger.sender(nowMs), random: () => net.random(),
		});
		this.assignments = new AssignmentExchange({
			activation: {isActive: () => this.isAssigning},
			services: () => this.backends.services(),
			backends: ({service, failureDomain: domain}, nowMs) => this.backends.candidates(service, nowMs).filter(backend => isInGroup({service, failureDomain: domain}, backend)),
			inFlight: ({id}, nowMs) => this.placement.expectedLoad(id, this.fleet.inFlight(backendKey(id), nowMs), nowMs).inFlight,
			engine: () => undefined,
			paces: this.paces,
			fleet: this.fleet,
			clock,
			name,
			incarnation,
			failureDomain,
			createSender: nowMs => this.messenger.sender(nowMs),
		});
		this.versions = new ServiceVersions({
			backends: this.backends, startedAtMs, firstStart,
		});
		this.originRecord = new StreamOriginRecord({
			store: net.store, logEra: this.logEra, origins: this.origins, versions: this.versions, lease: this.lease, isFirstDaemon: nowMs => this.fleet.rank(nowMs) === 0, name, clock, signal: new AbortController().signal,
		});
		this.originExchange = new StreamOriginExchange({
			origins: this.origins, versions: this.versions, fleet: this.fleet, clock, failureDomain, createSender: nowMs => this.messenger.sender(nowMs), restore: async () => this.originRecord.restoreStreams(),
		});
		this.messenger = new FleetMessenger({
			settings: {
				name, failureDomain, host, peerPort: 1, bounds: {quotaWindowMs: net.bounds.windowMs, retryWindowMs: retryLimits.windowMs},
			}, incarnation, firstStart, store: net.store, logEra: this.logEra, fleet: this.fleet, sharedUse, usage: this.usage, placement: this.placement, lease: this.lease, bounds: this.bounds, quarantine: this.quarantine, quarantineRecord: this.quarantineRecord, statedLimits: this.statedLimits, tolerances: this.tolerances, paces: this.paces.shared, slots: this.slots, assignments: this.assignments, rollouts: this.rollouts, reachability: this.reachability, streamOrigins: this.originExchange, streamOriginRecord: this.originRecord, topics: this.topics, clock, startedAtMs,
		});
		this.messenger.open({
			send: (message, to) => {
				const bytes = pack(message);
				for (const address of to) {
					this.bytesSent += bytes.length;
					this.datagramsSent++;
					net.send(bytes, this, address);
				}
			},
		});
	}
}

/** A network of daemons that exchange datagrams in simulated time. */
export class TestNet {
	nowMs = 0;
	/** Step of the simulated time, in milliseconds; a message takes two milliseconds, rounded up to the next step. */
	stepMs = tickMs;
	lossShare = 0;
	/** Whether daemons are started as part of a system that is set up for the first time. */
	isFirstStart = true;
	readonly store = new FakeStore();
	readonly daemons: TestDaemon[] = [];
	/** Pairs of hosts, `from to`, between which datagrams are dropped. */
	readonly cuts = new Set<string>();
	private readonly generator = xoroshiro128plus(7);
	private readonly retryGenerator = xoroshiro128plus(8);
	private inTransit: Array<{atMs: number; bytes: Uint8Array; to: PeerAddress}> = [];

	constructor(count: number, domains: number, readonly bounds: QuotaBounds = {windowMs: 8000, tolerance: 0, slack: 0}) {
		for (let index = 0; index < count; index++) {
			this.add(index, domains);
		}
	}

	add(index: number, domains: number): TestDaemon {
		const domain = `fd-${index % domains}`;
		const daemon = new TestDaemon(`${domain}-${String(Math.floor(index / domains)).padStart(3, '0')}`, domain, `10.0.${Math.floor(index / 250)}.${index % 250}`, this);
		this.daemons.push(daemon);
		return daemon;
	}

	/** Returns a uniform random number from 0 to 1 for the retry budgets. */
	random(): number {
		return uniformFloat64(this.retryGenerator);
	}

	/** Replaces a daemon by a new one with the same name and address. */
	restart(daemon: TestDaemon): TestDaemon {
		const replacement = new TestDaemon(daemon.name, daemon.failureDomain, daemon.host, this);
		this.daemons[this.daemons.indexOf(daemon)] = replacement;
		return replacement;
	}

	send(bytes: Uint8Array, from: TestDaemon, to: PeerAddress): void {
		if (uniformFloat64(this.generator) >= this.lossShare && from.isRunning && !from.isFrozen && !this.cuts.has(`${from.host} ${to.host}`)) {
			this.inTransit.push({atMs: this.nowMs + 2, bytes, to});
		}
	}

	cut(one: TestDaemon, other: TestDaemon): void {
		this.cuts.add(`${one.host} ${other.host}`).add(`${other.host} ${one.host}`);
	}

	async discover(): Promise<void> {
		for (const daemon of this.daemons) {
			// eslint-disable-next-line no-await-in-loop -- in order.
			await daemon.messenger.discover(new AbortController().signal);
		}
	}

	/** Advances the simulated time; every daemon reports once per round, each with its own offset. `onStep` is called at each step. */
	run(forMs: number, onStep: () => void = () => undefined): void {
		for (const endMs = this.nowMs + forMs; this.nowMs < endMs; this.nowMs += this.stepMs) {
			const running = new Map(this.runningDaemons().map(daemon => [daemon.host, daemon]));
			const isDue = ({atMs, to}: {atMs: number; to: PeerAddress}) => atMs <= this.nowMs && !running.get(to.host)?.isFrozen;
			const due = this.inTransit.filter(datagram => isDue(datagram));
			this.inTransit = this.inTransit.filter(datagram => !isDue(datagram));
			for (const {bytes, to} of due) {
				running.get(to.host)?.messenger.receive(unpack(bytes));
			}

			for (const [index, daemon] of this.daemons.entries()) {
				if (daemon.isRunning && !daemon.isFrozen && (this.nowMs + (index * 30)) % reportIntervalMs < this.stepMs) {
					daemon.messenger.sendReports();
				}
			}

			onStep();
		}
	}

	roles(): Record<FleetRole, number> {
		const counts = {[FleetRole.Mesh]: 0, [FleetRole.Relay]: 0, [FleetRole.Leaf]: 0};
		for (const daemon of this.runningDaemons()) {
			counts[daemon.fleet.roleAt(this.nowMs)]++;
		}

		return counts;
	}

	runningDaemons(): TestDaemon[] {
		return this.daemons.filter(daemon => daemon.isRunning);
	}

	/** Cost units that all daemons have admitted, as counted by each running daemon. */
	countedAdmissions(): number[] {
		return this.runningDaemons().map(daemon => sumOfProfile(daemon.quota.profiles(this.nowMs)?.x ?? []));
	}
}

/** Starts a fleet and runs it until its daemons have discovered each other. */
export async function startNet(count: number, domains: number, bounds?: QuotaBounds): Promise<TestNet> {
	const net = new TestNet(count, domains, bounds);
	await net.discover();
	await net.discover();
	net.run(3000);
	return net;
}
