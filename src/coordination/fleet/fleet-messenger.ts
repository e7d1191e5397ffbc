/**
 * Exchanges messages with the other daemons and discovers them: each daemon writes its address
 * to the platform's store once and reads the addresses of the others; all further messages are
 * datagrams. The same topic of the store keeps the bounds of the accounts' limits
 * (`bounds-record.ts`) and the quarantined requests (`quarantine-record.ts`).
 */
import {Buffer} from 'node:buffer';
import {
	type FrontSettings, type ServiceBounds, type Store, Topic,
} from '../../protocol/platform.js';
import {
	type Digest, DigestScope, type FleetMessage, FleetMessageKind, isFleetMessage, isPeerAddress, type NamedAddress, type PeerAddress, type Report, type Sender, type GossipedTopic, type View,
} from '../../protocol/fleet-messages.js';
import {type SteadyClock} from '../../clock.js';
import {type LogEra} from '../../state/log-era.js';
import {createLogger} from '../../log.js';
import {type MessageSender} from '../../transport/datagram-link.js';
import {type AssignmentExchange} from '../assignment/assignment-exchange.js';
import {type DutyLease} from '../duty-lease.js';
import {type OverloadTolerances} from '../overload-tolerances.js';
import {type SharedPaces} from '../paces/shared-paces.js';
import {type Placement} from '../placement.js';
import {type Quarantine} from '../quarantine/quarantine.js';
import {quarantineKey, type QuarantineRecord} from '../quarantine/quarantine-record.js';
import {type QuotaPeers} from '../quota-ledger.js';
import {type Reachability} from '../reachability.js';
import {type Rollouts} from '../rollout/rollouts.js';
import {type SharedUse} from '../shared-windows.js';
import {type SlotExchange} from '../slots/slot-exchange.js';
import {type StatedLimits} from '../stated-limits.js';
import {type StreamOriginExchange} from '../stream-origins/stream-origin-exchange.js';
import {type StreamOriginRecord, versionsKey} from '../stream-origins/stream-origin-record.js';
import {type TopicFollower} from '../topic-follower.js';
import {type UsageLedger} from '../usage-ledger.js';
import {fieldsOf, decodeDaemonRecord} from '../daemon-record.js';
import {type FirstStart} from '../first-start.js';
import {BackendUpdates} from './backend-updates.js';
import {type BoundsRecord, boundsKey} from './bounds-record.js';
import {DigestBuilder} from './digest-builder.js';
import {FleetRole, type FleetTable} from './fleet-table.js';
import {type UseTotals} from './merged-counters.js';
import {PeerCounter, reportIntervalMs} from './peer-counter.js';

const log = createLogger('fleet');

/** Timeout of a read of the store's list of daemons, in milliseconds. */
const memberReadTimeoutMs = 900;
/** Number of latest rounds whose send times are kept; a view that answers an older report is too old to say how current a topic is. */
const rememberedRounds = 16;
/** The topics of the store that daemons gossip about. */
const gossipedTopics = [Topic.Config, Topic.Backends] as const;
/** Rounds between two reports to standby relays; the digests that they hold are then at most two rounds old. */
const standbyRequestRounds = 2;
/** Longest time between two views of a relay that answers, in milliseconds. */
export const maxViewIntervalMs = standbyRequestRounds * reportIntervalMs;
/** Time between two reads of the store's list of daemons in a full mesh, in milliseconds; each read is followed by a report to all known daemons, also silent ones. */
const meshDiscoveryIntervalMs = 8000;
/** Time between two reads of the list in a large fleet, in milliseconds; there relays also name each other. */
const relayedDiscoveryIntervalMs = 30_000;
/** Time between two reads of the list while a daemon starts up, in milliseconds; it applies until the first read succeeds. */
const startupDiscoveryIntervalMs = 2000;
/** How long the start-up interval applies at least, in milliseconds: daemons that start at the same time write their addresses meanwhile. */
const startupDiscoveryMs = 8000;
/** Reads of the list after which a daemon of a large fleet ends the start-up interval: the first may miss daemons that start at the same time, and after the second its relays name the others. */
const startupReads = 2;
/** How long after its start a daemon requests the sums of what was admitted in the limits' window, in milliseconds: one window and the time to receive the answer. */
const windowUsesRequestMs = 10_000;
/** Time without a digest from a relay after which a daemon has missed admissions and requests the sums of the window, in milliseconds: two answers of the standby relay. */
const missedUpdatesMs = 1100;
/** How long the reports to all daemons include the sums of the window after a daemon requested them, in milliseconds: three rounds. */
const windowUsesSendMs = 750;

/** Number of peers that a daemon of a full mesh queries in each round while the store rejects its reads. */
const queriedPeers = 2;
/** Rounds between two messages with all suspected requests and all limits in force, for daemons that were cut off: two seconds. */
const fullUpdateRounds = 8;
/** Rounds between two messages with all paces: four seconds. They are the largest of these lists, and a daemon that lacks a pace still observes it itself. */
const fullPaceRounds = 16;
/** How long after its start a daemon is sent all of these in answer to each of its reports, in milliseconds. */
const newDaemonMs = 3000;

/** The record of a daemon in the store. */
type MemberRecord = PeerAddress & {failureDomain?: string};

/** The dependencies of a messenger. */
export type MessengerParts = {
	settings: Pick<FrontSettings, 'name' | 'failureDomain' | 'host' | 'peerPort'> & {bounds: Pick<ServiceBounds, 'quotaWindowMs' | 'retryWindowMs'>};
	/** Differs for each start of the daemon. */
	incarnation: string;
	firstStart: FirstStart;
	store: Store;
	logEra: LogEra;
	fleet: FleetTable;
	/** What is limited over all daemons. */
	sharedUse: SharedUse;
	usage: UsageLedger;
	placement: Placement;
	lease: DutyLease;
	bounds: BoundsRecord;
	quarantine: Quarantine;
	quarantineRecord: QuarantineRecord;
	statedLimits: StatedLimits;
	tolerances: OverloadTolerances;
	paces: SharedPaces;
	slots: Pick<SlotExchange, 'open' | 'receive' | 'sendRound'>;
	assignments: Pick<AssignmentExchange, 'open' | 'receive' | 'sendRound'>;
	rollouts: Rollouts;
	reachability: Reachability;
	streamOrigins: Pick<StreamOriginExchange, 'open' | 'receive'>;
	streamOriginRecord: Pick<StreamOriginRecord, 'applyVersions'>;
	/** The followers of the topics that daemons gossip about. */
	topics: Record<GossipedTopic, TopicFollower>;
	clock: SteadyClock;
	startedAtMs: number;
};

/** Exchanges messages with the other daemons. */
export class FleetMessenger {
	private link: MessageSender | undefined;
	/** The era of the store in which this daemon's address was last written. */
	private addressEra: number | undefined;
	/** The check whether the system starts for the first time, while it waits for the store. */
	private firstStartCheck: Promise<void> | undefined;
	/** Number of times that the store's list of daemons has been read since the start. */
	private listReads = 0;
	private round = 0;
	/** When a view with a digest last arrived from a relay. */
	private relayHeardAtMs: number;
	private hasMissedUpdates = false;
	private readonly peerCounter: PeerCounter;
	private readonly digests: DigestBuilder;
	private readonly backendUpdates: BackendUpdates;
	/** When a daemon last requested the sums of the window. */
	private windowUsesRequestedAtMs = Number.NEGATIVE_INFINITY;
	/** When the reports of the latest rounds were sent, by number of the round. */
	private readonly reportSentAtMs = new Map<number, number>();

	constructor(private readonly parts: MessengerParts) {
		this.relayHeardAtMs = parts.startedAtMs;
		this.peerCounter = new PeerCounter({...parts, windowMs: Math.max(parts.settings.bounds.quotaWindowMs, parts.settings.bounds.retryWindowMs)});
		this.digests = new DigestBuilder({...parts, failureDomain: parts.settings.failureDomain});
		this.backendUpdates = new BackendUpdates(parts);
		parts.fleet.addAddress(parts.settings.name, parts.settings.failureDomain, this.address);
	}

	/** From now on, reports to the others that this daemon is about to stop. */
	beginStop(): void {
		this.digests.isStopping = true;
	}

	/** Time until the next read of the store's list, in milliseconds. */
	get discoveryIntervalMs(): number {
		const {clock, startedAtMs, fleet} = this.parts;
		const nowMs = clock.now();
		const isMesh = fleet.roleAt(nowMs) === FleetRole.Mesh;
		const isStartingUp = nowMs - startedAtMs < startupDiscoveryMs && (isMesh || this.listReads < startupReads);
		if (isStartingUp || this.listReads === 0) {
			return startupDiscoveryIntervalMs;
		}

		return isMesh ? meshDiscoveryIntervalMs : relayedDiscoveryIntervalMs;
	}

	/** Starts to send messages through a link. */
	open(link: MessageSender): void {
		this.link = link;
		this.parts.streamOrigins.open(link);
		this.parts.slots.open(link);
		this.parts.assignments.open(link);
	}

	/** The counts of daemons by which limits are shared. */
	quotaPeers(nowMs: number): QuotaPeers {
		return this.peerCounter.count(nowMs);
	}

	/** Sends the reports of a round; called once per round. */
	sendReports(): void {
		const {fleet, clock, settings} = this.parts;
		const nowMs = clock.now();
		const role = fleet.roleAt(nowMs);
		this.round++;
		this.reportSentAtMs.set(this.round, nowMs);
		this.reportSentAtMs.delete(this.round - rememberedRounds);
		// The counter must track silent daemons also while no requests arrive.
		this.peerCounter.count(nowMs);
		this.sendBackendUpdates(role, nowMs);
		this.parts.slots.sendRound(nowMs);
		this.parts.assignments.sendRound(nowMs);
		if (role === FleetRole.Mesh) {
			this.link?.send(this.createReport(this.digests.own(), false, nowMs), fleet.addresses(false, nowMs));
			this.queryPeers(nowMs);
			return;
		}

		this.checkMissedUpdates(nowMs);
		this.requestViews(settings.failureDomain, this.digests.own(), nowMs);
		if (role === FleetRole.Relay) {
			const digest = this.digests.domain(nowMs);
			for (const failureDomain of fleet.otherDomains()) {
				this.requestViews(failureDomain, digest, nowMs);
			}
		}
	}

	/** Processes the content of a received datagram; anything that is not a message of a daemon is ignored. */
	receive(message: unknown): void {
		if (!isFleetMessage(message)) {
			return;
		}

		const {fleet, sharedUse, lease, rollouts, clock} = this.parts;
		const nowMs = clock.now();
		// In a large fleet, only a few daemons receive these updates from their origin, so relays forward them.
		if (this.backendUpdates.receive(message, fleet.roleAt(nowMs) === FleetRole.Relay, nowMs) || this.parts.slots.receive(message, nowMs) || this.parts.assignments.receive(message, nowMs) || this.parts.streamOrigins.receive(message, nowMs)) {
			return;
		}

		if (message.kind === FleetMessageKind.Report) {
			this.sendAllToNewDaemon(message, nowMs);
			this.windowUsesRequestedAtMs = message.wantsUses ? nowMs : this.windowUsesRequestedAtMs;
		}

		if (message.holder) {
			lease.applyHolderUpdate(message.holder, nowMs);
		}

		for (const [key, growth] of this.noteDigest(message, nowMs)) {
			if (!rollouts.outcomes.addPeerTotals(key, growth)) {
				sharedUse.addPeerUse(key, growth, nowMs);
			}
		}

		// The sums include the counts of the digest, so they are adopted after it.
		if (message.windowUses) {
			sharedUse.adoptProfiles(message.windowUses, nowMs);
			this.hasMissedUpdates = false;
		}

		if (message.kind === FleetMessageKind.View) {
			this.relayHeardAtMs = message.digest ? nowMs : this.relayHeardAtMs;
			this.noteTopics(message, nowMs);
		} else if (message.wantsView) {
			this.link?.send(this.createView(message, nowMs), [message.sender.address]);
		}
	}

	/**
	 * Writes this daemon's address to the store, unless it is there already.
	 *
	 * @throws {StateError} When the store does not answer.
	 */
	async writeAddress(signal: AbortSignal): Promise<void> {
		const {settings, store, logEra} = this.parts;
		if (this.addressEra !== undefined && !logEra.isOutdated(this.addressEra)) {
			return;
		}

		if (this.parts.firstStart.isUncertain) {
			this.firstStartCheck ??= this.settleFirstStart(signal).finally(() => {
				this.firstStartCheck = undefined;
			});
			await this.firstStartCheck;
		}

		const written: MemberRecord = {...this.address, failureDomain: settings.failureDomain};
		const result = await store.append(Topic.Members, {key: settings.name, value: encode(written)}, undefined, signal);
		this.addressEra = result.kind === 'appended' ? result.era : undefined;
	}

	/**
	 * Writes this daemon's address to the store once in each era, and reads the addresses of the others.
	 *
	 * @throws {StateError} When the store does not answer.
	 */
	async discover(signal: AbortSignal): Promise<void> {
		const {settings, store, logEra, fleet, clock} = this.parts;
		await this.writeAddress(signal);
		const batch = await store.readNewest(Topic.Members, memberReadTimeoutMs, signal);
		logEra.note(batch.era);
		for (const {key, value} of batch.records) {
			if (key === boundsKey && value) {
				this.parts.bounds.restore(value, batch.era);
			} else if (key === versionsKey) {
				// It is applied after the addresses, also if there is none.
				continue;
			} else if (key === quarantineKey && value) {
				this.parts.quarantineRecord.apply(value, batch.era);
			} else if (value) {
				const member = decodeDaemonRecord(value, isMemberRecord, `address of ${key}`);
				if (member) {
					fleet.addAddress(key, member.failureDomain ?? settings.failureDomain, {host: member.host, port: member.port});
				}
			}
		}

		this.parts.streamOriginRecord.applyVersions(batch.records.find(({key}) => key === versionsKey)?.value, batch.era);
		this.listReads++;
		const nowMs = clock.now();
		if (fleet.roleAt(nowMs) === FleetRole.Mesh) {
			// Relays answer this report; that is how a daemon that starts later learns that the fleet is large.
			this.link?.send(this.createReport(this.digests.own(), true, nowMs), fleet.addresses(true, nowMs));
		}
	}

	/** Describes this daemon as the sender of a message. */
	sender(nowMs: number): Sender {
		const {settings, incarnation, startedAtMs, reachability} = this.parts;
		const {cutOffServices} = reachability;
		return {
			name: settings.name, incarnation, failureDomain: settings.failureDomain, address: this.address, uptimeMs: Math.round(nowMs - startedAtMs), isStopping: this.digests.isStopping,
			cutOffServices: cutOffServices.length > 0 ? cutOffServices : undefined,
		};
	}

	private get address(): PeerAddress {
		return {host: this.parts.settings.host, port: this.parts.settings.peerPort};
	}

	/** Asks the store whether the system really starts for the first time, before this daemon's own record would answer that. */
	private async settleFirstStart(signal: AbortSignal): Promise<void> {
		const {settings, firstStart, store} = this.parts;
		const {records} = await store.readNewest(Topic.Members, memberReadTimeoutMs, signal);
		const earlier = records.filter(({key, value}) => value && (key === settings.name || key === boundsKey || key === versionsKey)).map(({key}) => key);
		firstStart.settle(earlier.length > 0);
		if (earlier.length > 0) {
			log.info('the settings claim a first start, but the store has records of daemons that ran before.', {records: earlier});
		}
	}

	/** In a full mesh, queries some peers for the topics that this daemon cannot read from the store: the store may reject the reads of some daemons and serve others. */
	private queryPeers(nowMs: number): void {
		const {fleet, topics} = this.parts;
		const failingTopics = gossipedTopics.filter(topic => topics[topic].isReadFailing);
		const peers = fleet.addresses(false, nowMs);
		if (failingTopics.length > 0 && peers.length > 0) {
			// The peers change with each round, since the reads of those queried may be rejected as well.
			const receivers = Array.from({length: Math.min(queriedPeers, peers.length)}, (_, index) => peers[((this.round * queriedPeers) + index) % peers.length]);
			const positions = Object.fromEntries(failingTopics.map(topic => [topic, topics[topic].position]));
			this.link?.send({...this.createReport(this.digests.own(), true, nowMs), positions}, receivers);
		}
	}

	/** Sends the requests that crash backend servers, the limits and paces that backend servers state, and the roll-outs: those that changed, and every {@link fullUpdateRounds} rounds all of them. */
	private sendBackendUpdates(role: FleetRole, nowMs: number): void {
		const includesAll = this.round % fullUpdateRounds === 0 && this.shouldRepeatAll(role, nowMs);
		// All daemons of a full mesh agree on their first one, and each pace is the same at all of them, so one repeats them for all.
		const includesAllPaces = includesAll && this.round % fullPaceRounds === 0 && (role !== FleetRole.Mesh || this.parts.fleet.rank(nowMs) === 0);
		const messages = this.backendUpdates.createRoundMessages(this.sender(nowMs), {includesAll, includesAllPaces}, nowMs);
		const receivers = messages.length > 0 ? this.updateReceivers(role, nowMs) : [];
		for (const message of messages) {
			// The first relay of each failure domain repeats all paces to the daemons that report to it.
			const isPaceList = includesAllPaces && message.kind === FleetMessageKind.Paces;
			this.link?.send(message, isPaceList ? this.parts.fleet.addresses(false, nowMs) : receivers);
		}
	}

	/** Sends all suspected requests, limits, paces and roll-outs to a daemon that has just started. */
	private sendAllToNewDaemon({sender}: Report, nowMs: number): void {
		if (sender.uptimeMs < newDaemonMs) {
			for (const message of this.backendUpdates.createFullMessages(this.sender(nowMs), nowMs)) {
				this.link?.send(message, [sender.address]);
			}
		}
	}

	/** Whether this daemon repeats everything in force: in a large fleet only the first relay of each failure domain does, so that each daemon receives it once. */
	private shouldRepeatAll(role: FleetRole, nowMs: number): boolean {
		const {fleet, settings} = this.parts;
		return role === FleetRole.Mesh || fleet.relays(settings.failureDomain, nowMs).at(0)?.name === settings.name;
	}

	/** Addresses to which this daemon sends updates that must reach all daemons quickly: in a large fleet those of the relays, and from a relay also those of the daemons that report to it. */
	private updateReceivers(role: FleetRole, nowMs: number): PeerAddress[] {
		const {fleet, settings} = this.parts;
		if (role === FleetRole.Mesh) {
			return fleet.addresses(false, nowMs);
		}

		const domains = role === FleetRole.Relay ? [settings.failureDomain, ...fleet.otherDomains()] : [settings.failureDomain];
		const relays = fleet.relayAddresses(domains, nowMs);
		return role === FleetRole.Relay ? [...relays, ...fleet.addresses(false, nowMs)] : relays;
	}

	/** Requests views from the relays of a failure domain: from the first one each round, and less often from the standby and from unresponsive candidates. */
	private requestViews(failureDomain: string, digest: Digest, nowMs: number): void {
		const {fleet, settings} = this.parts;
		const relays = fleet.relays(failureDomain, nowMs).filter((relay, index) => relay.name !== settings.name && (index === 0 || this.round % standbyRequestRounds === 0));
		const receivers: NamedAddress[] = [...relays, ...fleet.probes(failureDomain, nowMs)];
		for (const {name} of receivers) {
			fleet.noteAsked(name, failureDomain, nowMs);
		}

		this.link?.send(this.createReport(digest, true, nowMs), receivers.map(({address}) => address));
	}

	private noteTopics({round, topics}: View, nowMs: number): void {
		const sentAtMs = this.reportSentAtMs.get(round);
		for (const topic of gossipedTopics) {
			const update = topics[topic];
			if (update && sentAtMs !== undefined) {
				this.parts.topics[topic].applyRelayUpdate(update, sentAtMs, nowMs);
			}
		}
	}

	/** Requests the sums of the window after a time without a digest, since a new relay does not report what was admitted before it became one. */
	private checkMissedUpdates(nowMs: number): void {
		if (!this.hasMissedUpdates && nowMs - this.relayHeardAtMs > missedUpdatesMs) {
			this.hasMissedUpdates = true;
			this.parts.sharedUse.noteMissedReports();
		}
	}

	private noteDigest(message: Report | View, nowMs: number): UseTotals {
		const {fleet, usage} = this.parts;
		const {sender, digest} = message;
		for (const [window, counts] of digest?.usage ?? []) {
			if (digest?.scope === DigestScope.Daemon) {
				usage.mergeDaemonCounts(sender.failureDomain, sender.incarnation, window, counts);
			} else if (digest?.scope === DigestScope.Domain) {
				usage.mergeDomainCounts(sender.failureDomain, window, counts);
			} else {
				usage.mergeOtherCounts(window, counts);
			}
		}

		return message.kind === FleetMessageKind.Report ? fleet.noteReport(message, nowMs) : fleet.noteView(message, nowMs);
	}

	private createReport(digest: Digest, wantsView: boolean, nowMs: number): Report {
		return {
			kind: FleetMessageKind.Report,
			...this.createHead(!wantsView && nowMs - this.windowUsesRequestedAtMs < windowUsesSendMs, nowMs),
			digest,
			wantsView,
			wantsUses: this.hasMissedUpdates || (this.parts.sharedUse.isMissingProfiles && nowMs - this.parts.startedAtMs < windowUsesRequestMs),
			wantsUsage: this.parts.lease.isConfirmedAt(nowMs),
			round: this.round,
			positions: wantsView ? Object.fromEntries(gossipedTopics.map(topic => [topic, this.parts.topics[topic].position])) : {},
		};
	}

	private createView({sender: receiver, wantsUses, wantsUsage, round, positions}: Report, nowMs: number): View {
		const {fleet, settings} = this.parts;
		const isRelay = fleet.roleAt(nowMs) === FleetRole.Relay;
		const domainTopics = receiver.failureDomain === settings.failureDomain ? gossipedTopics : [];
		// In a full mesh, every daemon reads the store itself, except one whose reads the store rejects: it names the topics that it lacks by its positions in them.
		const topics = isRelay ? domainTopics : gossipedTopics.filter(topic => positions[topic] !== undefined);
		return {
			kind: FleetMessageKind.View,
			...this.createHead(wantsUses, nowMs),
			digest: isRelay ? this.digests.view(receiver, wantsUsage, nowMs) : undefined,
			relays: fleet.relays(settings.failureDomain, nowMs),
			round,
			topics: Object.fromEntries(topics.map(topic => [topic, this.parts.topics[topic].createUpdateFor(positions[topic], nowMs)])),
		};
	}

	private createHead(includesUses: boolean, nowMs: number): Pick<Report, 'sender' | 'holder' | 'windowUses'> {
		const {lease, sharedUse} = this.parts;
		return {
			sender: this.sender(nowMs),
			holder: lease.createHolderUpdate(nowMs),
			windowUses: includesUses ? sharedUse.profiles(nowMs) : undefined,
		};
	}
}

function encode(value: unknown): Uint8Array {
	return Buffer.from(JSON.stringify(value));
}

function isMemberRecord(value: unknown): value is MemberRecord {
	const {failureDomain} = fieldsOf(value);
	return isPeerAddress(value) && (failureDomain === undefined || typeof failureDomain === 'string');
}
