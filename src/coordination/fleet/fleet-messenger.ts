/**
 * What daemons tell each other, and how they find each other: each writes its address to
 * the platform's store once and reads the others'; from then on messages go by datagram.
 * Beside the addresses the store keeps the bounds of the accounts' limits (`bounds-record.ts`).
 */
import {Buffer} from 'node:buffer';
import {
	type FrontSettings, type ServiceBounds, type Store, Topic,
} from '../../protocol/platform.js';
import {
	type Digest, DigestScope, type FleetMessage, FleetMessageKind, isFleetMessage, type NamedAddress, type PeerAddress, type Report, type Sender, type ToldTopic, type View,
} from '../../protocol/fleet-messages.js';
import {type SteadyClock} from '../../clock.js';
import {type MessageLink} from '../../transport/datagram-link.js';
import {type DutyLease} from '../duty-lease.js';
import {type Placement} from '../placement.js';
import {type Quarantine} from '../quarantine/quarantine.js';
import {quarantineKey, type QuarantineRecord} from '../quarantine/quarantine-record.js';
import {type QuotaLedger, type QuotaPeers} from '../quota-ledger.js';
import {type StatedLimits} from '../stated-limits.js';
import {type TopicFollower} from '../topic-follower.js';
import {type UsageLedger} from '../usage-ledger.js';
import {fieldsOf, readOwnRecord} from '../own-record.js';
import {BackendNews} from './backend-news.js';
import {type BoundsRecord, boundsKey} from './bounds-record.js';
import {DigestSource} from './digest-source.js';
import {FleetRole, type FleetTable} from './fleet-table.js';
import {type UseTotals} from './merged-counters.js';
import {PeerCensus, roundMs} from './peer-census.js';

/** Time without an answer after which a reading of the store's list of daemons has failed, in milliseconds. */
const membersMs = 900;
/** Rounds whose time is kept; an answer later than that says nothing of now. */
const keptRounds = 16;
/** The topics that relays tell of. */
const toldTopics = [Topic.Config, Topic.Backends] as const;
/** Rounds between reports to the relays that stand by; their digests then are two rounds old at most. */
const standbyRounds = 2;
/** Longest time between two words of a relay that answers, in milliseconds. */
export const tellingMs = standbyRounds * roundMs;
/** How often the store's list of daemons is read and silent ones are written to, in milliseconds: where all report to each other, and where relays tell of each other. */
const rediscoverMs = 8000;
const rediscoverLargeMs = 30_000;
/** A daemon that has just started reads the list this often, in milliseconds, and for this long: those that start with it write their addresses meanwhile. One that could not read it goes on until it can. */
const discoverEarlyMs = 2000;
const earlyMs = 8000;
/** A daemon that has just started asks for what was admitted in the limits' window for this long, in milliseconds: a window and the time to read the answer. */
const youngMs = 10_000;
/** A daemon that no relay told anything for this long misses what was admitted meanwhile, in milliseconds: two answers of the relay that stands by. */
const untoldMs = 1100;
/** What was admitted in the window goes with reports to all for this long after one of them asked for it, in milliseconds: three rounds. */
const usesWantedMs = 750;

/** Daemons of a small fleet that one which the store turns away asks in a round. */
const askedPeers = 2;
/** Rounds between two tellings of all suspected requests and limits in force, for daemons that were cut off: two seconds. */
const repeatRounds = 8;
/** A daemon that has just started is told all of these with each of its reports for this long, in milliseconds. */
const newcomerMs = 3000;

/** A daemon's record in the store. */
type WrittenMember = PeerAddress & {failureDomain?: string};

/** The parts a messenger works with. */
export type MessengerParts = {
	settings: Pick<FrontSettings, 'name' | 'failureDomain' | 'host' | 'peerPort'> & {bounds: Pick<ServiceBounds, 'quotaWindowMs'>};
	/** Differs for each start of the daemon. */
	incarnation: string;
	store: Store;
	fleet: FleetTable;
	quota: QuotaLedger;
	usage: UsageLedger;
	placement: Placement;
	lease: DutyLease;
	bounds: BoundsRecord;
	quarantine: Quarantine;
	quarantineRecord: QuarantineRecord;
	statedLimits: StatedLimits;
	/** The followers of the topics that relays tell of. */
	topics: Record<ToldTopic, TopicFollower>;
	clock: SteadyClock;
	startedAtMs: number;
};

/** Speaks with the other daemons. */
export class FleetMessenger {
	private link: MessageLink | undefined;
	private isAnnounced = false;
	/** Whether the store's list of daemons was read since the start. */
	private isListRead = false;
	private round = 0;
	/** When a relay last told something of others. */
	private toldAtMs: number;
	private hasMissedNews = false;
	private readonly census: PeerCensus;
	private readonly digests: DigestSource;
	private readonly backendNews: BackendNews;
	/** When a daemon last asked for what was admitted in the window. */
	private usesWantedAtMs = Number.NEGATIVE_INFINITY;
	/** When the reports of the latest rounds were sent. */
	private readonly askedAtMs = new Map<number, number>();

	constructor(private readonly parts: MessengerParts) {
		this.toldAtMs = parts.startedAtMs;
		this.census = new PeerCensus({...parts, quotaWindowMs: parts.settings.bounds.quotaWindowMs});
		this.digests = new DigestSource({...parts, failureDomain: parts.settings.failureDomain});
		this.backendNews = new BackendNews(parts);
		parts.fleet.learn(parts.settings.name, parts.settings.failureDomain, this.address);
	}

	/** Tells the others from now on that this daemon is about to stop. */
	beginStop(): void {
		this.digests.isStopping = true;
	}

	/** Time until the next reading of the store's list, in milliseconds. */
	get discoverPauseMs(): number {
		const {clock, startedAtMs, fleet} = this.parts;
		const nowMs = clock.now();
		if (nowMs - startedAtMs < earlyMs || !this.isListRead) {
			return discoverEarlyMs;
		}

		return fleet.roleAt(nowMs) === FleetRole.Mesh ? rediscoverMs : rediscoverLargeMs;
	}

	/** Speaks through this link from now on. */
	open(link: MessageLink): void {
		this.link = link;
	}

	/** What limits over all daemons are decided from. */
	quotaPeers(nowMs: number): QuotaPeers {
		return this.census.count(nowMs);
	}

	/** Reports to the others, once a round. */
	report(): void {
		const {fleet, clock, settings} = this.parts;
		const nowMs = clock.now();
		const role = fleet.roleAt(nowMs);
		this.round++;
		this.askedAtMs.set(this.round, nowMs);
		this.askedAtMs.delete(this.round - keptRounds);
		this.tellBackendNews(role, nowMs);
		if (role === FleetRole.Mesh) {
			this.link?.send(this.createReport(this.digests.own(), false, nowMs), fleet.addresses(false, nowMs));
			this.askPeers(nowMs);
			return;
		}

		this.noteUntold(nowMs);
		// Keeps track of silence also while no account asks.
		this.census.count(nowMs);
		this.ask(settings.failureDomain, this.digests.own(), nowMs);
		if (role === FleetRole.Relay) {
			const digest = this.digests.domain(nowMs);
			for (const failureDomain of fleet.otherDomains()) {
				this.ask(failureDomain, digest, nowMs);
			}
		}
	}

	/** Takes what came by datagram. */
	hear(message: unknown): void {
		if (!isFleetMessage(message)) {
			return;
		}

		const {fleet, quota, lease, clock} = this.parts;
		const nowMs = clock.now();
		// Few daemons of a large fleet hear the first teller themselves.
		if (this.backendNews.hear(message, fleet.roleAt(nowMs) === FleetRole.Relay, nowMs)) {
			return;
		}

		if (message.kind === FleetMessageKind.Report) {
			this.tellNewcomer(message, nowMs);
			this.usesWantedAtMs = message.wantsUses ? nowMs : this.usesWantedAtMs;
		}

		if (message.holder) {
			lease.hear(message.holder, nowMs);
		}

		for (const [account, use] of this.note(message, nowMs)) {
			quota.notePeers(account, use, nowMs);
		}

		// The sums include what the digest says, so they come after it.
		if (message.windowUses) {
			quota.adopt(message.windowUses, nowMs);
			this.hasMissedNews = false;
		}

		if (message.kind === FleetMessageKind.View) {
			this.toldAtMs = message.digest ? nowMs : this.toldAtMs;
			this.noteTopics(message, nowMs);
		} else if (message.wantsView) {
			this.link?.send(this.createView(message, nowMs), [message.sender.address]);
		}
	}

	/**
	 * Writes this daemon's address to the store once, and reads the others'.
	 *
	 * @throws {StateError} When the store does not answer.
	 */
	async discover(signal: AbortSignal): Promise<void> {
		const {settings, store, fleet, clock} = this.parts;
		if (!this.isAnnounced) {
			const written: WrittenMember = {...this.address, failureDomain: settings.failureDomain};
			await store.append(Topic.Members, {key: settings.name, value: encode(written)}, undefined, signal);
			this.isAnnounced = true;
		}

		const batch = await store.newest(Topic.Members, membersMs, signal);
		for (const {key, value} of batch.records) {
			if (key === boundsKey && value) {
				this.parts.bounds.take(value);
			} else if (key === quarantineKey && value) {
				this.parts.quarantineRecord.take(value);
			} else if (value) {
				const member = readOwnRecord(value, isWrittenMember, `address of ${key}`);
				if (member) {
					fleet.learn(key, member.failureDomain ?? settings.failureDomain, {host: member.host, port: member.port});
				}
			}
		}

		this.isListRead = true;
		const nowMs = clock.now();
		if (fleet.roleAt(nowMs) === FleetRole.Mesh) {
			// Relays among them answer, which tells a daemon that started late of a large fleet.
			this.link?.send(this.createReport(this.digests.own(), true, nowMs), fleet.addresses(true, nowMs));
		}
	}

	private get address(): PeerAddress {
		return {host: this.parts.settings.host, port: this.parts.settings.peerPort};
	}

	/** In a small fleet, asks some others for what they have read of the topics that the store does not let this daemon read: it may turn away some daemons and serve the others. */
	private askPeers(nowMs: number): void {
		const {fleet, topics} = this.parts;
		const lost = toldTopics.filter(topic => topics[topic].isLost);
		const peers = fleet.addresses(false, nowMs);
		if (lost.length > 0 && peers.length > 0) {
			// Others in each round, since they may be turned away as well.
			const asked = Array.from({length: Math.min(askedPeers, peers.length)}, (_, index) => peers[((this.round * askedPeers) + index) % peers.length]);
			const offsets = Object.fromEntries(lost.map(topic => [topic, topics[topic].nextOffset]));
			this.link?.send({...this.createReport(this.digests.own(), true, nowMs), offsets}, asked);
		}
	}

	/** Tells of requests that crash backend servers, and of limits that backend servers state: what changed, and now and then all. */
	private tellBackendNews(role: FleetRole, nowMs: number): void {
		const withAll = this.round % repeatRounds === 0 && this.speaksForAll(role, nowMs);
		const messages = this.backendNews.messages(this.sender(nowMs), withAll, nowMs);
		const receivers = messages.length > 0 ? this.newsReceivers(role, nowMs) : [];
		for (const message of messages) {
			this.link?.send(message, receivers);
		}
	}

	/** Tells a daemon that has just started all that it has missed. */
	private tellNewcomer({sender}: Report, nowMs: number): void {
		if (sender.uptimeMs < newcomerMs) {
			for (const message of this.backendNews.messages(this.sender(nowMs), true, nowMs)) {
				this.link?.send(message, [sender.address]);
			}
		}
	}

	/** Whether this daemon repeats what is in force: in a large fleet only the first relay of a failure domain, so that each daemon hears it once. */
	private speaksForAll(role: FleetRole, nowMs: number): boolean {
		const {fleet, settings} = this.parts;
		return role === FleetRole.Mesh || fleet.relays(settings.failureDomain, nowMs).at(0)?.name === settings.name;
	}

	/** Whom this daemon tells what all should know at once: in a large fleet the relays, and as one of these also the daemons that report here. */
	private newsReceivers(role: FleetRole, nowMs: number): PeerAddress[] {
		const {fleet, settings} = this.parts;
		if (role === FleetRole.Mesh) {
			return fleet.addresses(false, nowMs);
		}

		const domains = role === FleetRole.Relay ? [settings.failureDomain, ...fleet.otherDomains()] : [settings.failureDomain];
		const relays = domains.flatMap(domain => fleet.relays(domain, nowMs)).filter(({name}) => name !== settings.name).map(({address}) => address);
		return role === FleetRole.Relay ? [...relays, ...fleet.addresses(false, nowMs)] : relays;
	}

	/** Asks the relays of a failure domain for a view, and those that fell silent now and then. */
	private ask(failureDomain: string, digest: Digest, nowMs: number): void {
		const {fleet, settings} = this.parts;
		const relays = fleet.relays(failureDomain, nowMs).filter((relay, index) => relay.name !== settings.name && (index === 0 || this.round % standbyRounds === 0));
		const asked: NamedAddress[] = [...relays, ...fleet.probes(failureDomain, nowMs)];
		for (const {name} of asked) {
			fleet.noteAsked(name, failureDomain, nowMs);
		}

		this.link?.send(this.createReport(digest, true, nowMs), asked.map(({address}) => address));
	}

	private noteTopics({round, topics}: View, nowMs: number): void {
		const askedAtMs = this.askedAtMs.get(round);
		for (const topic of toldTopics) {
			const news = topics[topic];
			if (news && askedAtMs !== undefined) {
				this.parts.topics[topic].hear(news, askedAtMs, nowMs);
			}
		}
	}

	/** Asks for sums after a time without news, since a relay that begins anew does not tell what was admitted before. */
	private noteUntold(nowMs: number): void {
		if (!this.hasMissedNews && nowMs - this.toldAtMs > untoldMs) {
			this.hasMissedNews = true;
			this.parts.quota.doubtHistory();
		}
	}

	private note(message: Report | View, nowMs: number): UseTotals {
		const {fleet, usage} = this.parts;
		const {sender, digest} = message;
		for (const [window, counts] of digest?.usage ?? []) {
			if (digest?.scope === DigestScope.Daemon) {
				usage.note(sender.failureDomain, sender.incarnation, window, counts);
			} else if (digest?.scope === DigestScope.Domain) {
				usage.noteDomain(sender.failureDomain, window, counts);
			} else {
				usage.noteRest(window, counts);
			}
		}

		return message.kind === FleetMessageKind.Report ? fleet.noteReport(message, nowMs) : fleet.noteView(message, nowMs);
	}

	private createReport(digest: Digest, wantsView: boolean, nowMs: number): Report {
		return {
			kind: FleetMessageKind.Report,
			...this.head(!wantsView && nowMs - this.usesWantedAtMs < usesWantedMs, nowMs),
			digest,
			wantsView,
			wantsUses: this.hasMissedNews || (this.parts.quota.lacksSums && nowMs - this.parts.startedAtMs < youngMs),
			wantsUsage: this.parts.lease.isConfirmedAt(nowMs),
			round: this.round,
			offsets: wantsView ? Object.fromEntries(toldTopics.map(topic => [topic, this.parts.topics[topic].nextOffset])) : {},
		};
	}

	private createView({sender: receiver, wantsUses, wantsUsage, round, offsets}: Report, nowMs: number): View {
		const {fleet, settings} = this.parts;
		const isRelay = fleet.roleAt(nowMs) === FleetRole.Relay;
		const relayed = receiver.failureDomain === settings.failureDomain ? toldTopics : [];
		// In a small fleet each daemon reads for itself, but those that the store turns away.
		const topics = isRelay ? relayed : toldTopics.filter(topic => offsets[topic] !== undefined);
		return {
			kind: FleetMessageKind.View,
			...this.head(wantsUses, nowMs),
			digest: isRelay ? this.digests.view(receiver, wantsUsage, nowMs) : undefined,
			relays: fleet.relays(settings.failureDomain, nowMs),
			round,
			topics: Object.fromEntries(topics.map(topic => [topic, this.parts.topics[topic].newsFor(offsets[topic], nowMs)])),
		};
	}

	private sender(nowMs: number): Sender {
		const {settings, incarnation, startedAtMs} = this.parts;
		return {
			name: settings.name, incarnation, failureDomain: settings.failureDomain, address: this.address, uptimeMs: Math.round(nowMs - startedAtMs), isStopping: this.digests.isStopping,
		};
	}

	private head(withUses: boolean, nowMs: number): Pick<Report, 'sender' | 'holder' | 'windowUses'> {
		const {lease, quota} = this.parts;
		return {
			sender: this.sender(nowMs),
			holder: lease.news(nowMs),
			windowUses: withUses ? quota.profiles(nowMs) : undefined,
		};
	}
}

function encode(value: unknown): Uint8Array {
	return Buffer.from(JSON.stringify(value));
}

function isWrittenMember(value: unknown): value is WrittenMember {
	const {host, port, failureDomain} = fieldsOf(value);
	return typeof host === 'string' && Number.isInteger(port) && (failureDomain === undefined || typeof failureDomain === 'string');
}
