/**
 * The state of the other daemons, as last reported to this daemon. Up to a dozen daemons form a
 * full mesh, in which each one reports to all others. In a larger fleet each daemon reports to
 * the relays of its failure domain. The relays send each other the sums of their failure
 * domains, and answer a report with the sums of all other daemons, so a daemon's traffic grows
 * at most with the size of its failure domain. In a full mesh of 86 daemons, reports arrived
 * only every 1.8 s, too late for the load of engines and the usage counts.
 */
import {
	type Digest, DigestScope, type NamedAddress, type PeerAddress, type Report, type Sender, type View,
} from '../../protocol/fleet-messages.js';
import {createLogger} from '../../log.js';
import {type AccountUse} from '../account-window.js';
import {readUse, sumPackedCounts, writeUse} from './digest-codec.js';
import {type UseTotals} from './merged-counters.js';
import {RelaySelection} from './relay-selection.js';
import {
	type DaemonLoad, UsageSums, LoadCache, type LoadDigest, type LoadSources,
} from './relay-sums.js';
import {
	countedForMs, loadExpiryMs, goneAfterMs, type DaemonCounts, type FleetPart, silentAfterMs, sumDaemonCounts, ReportedGroup, reportedPart,
} from './reported-group.js';

const log = createLogger('fleet');

/** The role of a daemon in the exchange of reports. */
export enum FleetRole {
	/** A daemon of a small fleet, in which every daemon reports to all others. */
	Mesh = 'mesh',
	/** A daemon that aggregates and forwards the reports of its failure domain. */
	Relay = 'relay',
	/** A daemon that reports only to the relays of its failure domain. */
	Leaf = 'leaf',
}

/** Largest fleet that forms a full mesh, in daemons: a mesh of six or nine keeps up also under faults, one of 86 does not. */
const meshMaxDaemons = 12;
/** Size at which a shrinking fleet returns to a full mesh, in daemons; it is below {@link meshMaxDaemons}, so that a fleet of varying size does not switch back and forth. */
const meshReturnMaxDaemons = 8;
/** How long a fleet must have been that small before it returns to a full mesh, in milliseconds: a new relay needs a few rounds to hear of all daemons. */
const meshReturnDelayMs = 5000;
/** How long a new relay still uses the sums that other relays sent it, in milliseconds: until the daemons of its failure domain and the other relays have reported to it. */
const relayWarmUpMs = 1000;
/** Shortest time between two updates of the role, in milliseconds: at least two updates fit into a round. */
const roleCheckIntervalMs = 100;
/** Age at which the sums of requests in flight are recomputed, in milliseconds: a fifth of a round. */
const loadSumsMaxAgeMs = 50;

/** The latest report that a daemon sent about itself. */
type PeerEntry = {sender: Sender; digest: Digest; heardAtMs: number};

/** The daemon that owns the table. */
export type LocalDaemon = {name: string; failureDomain: string; startedAtMs: number};

/** A daemon that may serve requests in place of this one, and whether it was heard from of late. */
export type ProxyCandidate = NamedAddress & {isResponsive: boolean};

/** Tracks the other daemons of the fleet for one daemon. */
export class FleetTable {
	private role = FleetRole.Mesh;
	private roleSinceMs: number;
	private readonly peers = new Map<string, PeerEntry>();
	private readonly relaySelections = new Map<string, RelaySelection>();
	/** Usage of each daemon and failure domain that this daemon has counted since it started. */
	private readonly usageSums = new UsageSums();
	private readonly loadCache = new LoadCache();
	private readonly domainGroups = new Map<string, ReportedGroup>();
	private readonly restGroup = new ReportedGroup();
	/** Since when the fleet has been small enough for a full mesh. */
	private smallSinceMs: number | undefined;
	private roleCheckedAtMs = Number.NEGATIVE_INFINITY;
	private inFlightSums = {atMs: Number.NEGATIVE_INFINITY, counts: new Map<number, number>()};

	constructor(private readonly local: LocalDaemon) {
		this.roleSinceMs = local.startedAtMs;
		this.relaySelections.set(local.failureDomain, new RelaySelection(local.name));
	}

	/** Records the address of a daemon that the platform's store or another daemon named. */
	addAddress(name: string, failureDomain: string, address: PeerAddress): void {
		this.relaySelection(failureDomain).addAddress(name, address);
	}

	/** Records that a daemon was asked for a view. */
	noteAsked(name: string, failureDomain: string, nowMs: number): void {
		this.relaySelection(failureDomain).noteAsked(name, nowMs);
	}

	/**
	 * Records a report.
	 *
	 * @returns The increase in the admitted and refused cost units of the daemons that it covers since their last report, by account.
	 */
	noteReport(report: Report, nowMs: number): UseTotals {
		const {sender, digest} = report;
		this.noteSender(sender);
		const growth = digest.scope === DigestScope.Domain ? this.noteDomain(sender, digest, nowMs) : this.notePeer(sender, digest, nowMs);
		this.updateRole(nowMs);
		return growth;
	}

	/** Records a view; the return value is that of {@link noteReport}. */
	noteView(view: View, nowMs: number): UseTotals {
		const {sender, digest, relays} = view;
		this.noteSender(sender);
		for (const {name, address} of relays) {
			this.relaySelection(sender.failureDomain).addAddress(name, address);
		}

		let growth = new Map<string, AccountUse>();
		if (digest?.scope === DigestScope.Domain) {
			growth = this.noteDomain(sender, digest, nowMs);
		} else if (digest?.scope === DigestScope.Rest) {
			growth = this.restGroup.note(sender, digest, nowMs);
			growth = this.role === FleetRole.Leaf ? growth : new Map<string, AccountUse>();
		}

		this.updateRole(nowMs);
		return growth;
	}

	/** The current role of this daemon. */
	roleAt(nowMs: number): FleetRole {
		this.updateRole(nowMs);
		return this.role;
	}

	/** Identifies the period since this daemon took its role; the totals that it reports start over with each period. */
	get epoch(): string {
		return String(Math.round(this.roleSinceMs));
	}

	/** The relays of a failure domain, the one to ask in each round first. */
	relays(failureDomain: string, nowMs: number): NamedAddress[] {
		return this.relaySelection(failureDomain).relays(nowMs);
	}

	/** Addresses of the relays of several failure domains, other than this daemon. */
	relayAddresses(failureDomains: string[], nowMs: number): PeerAddress[] {
		return failureDomains.flatMap(domain => this.relays(domain, nowMs)).filter(({name}) => name !== this.local.name).map(({address}) => address);
	}

	/** Unresponsive daemons of a failure domain that would be relays if they answered, and that are due to be asked again. */
	probes(failureDomain: string, nowMs: number): NamedAddress[] {
		return this.relaySelection(failureDomain).probes(nowMs);
	}

	/** Failure domains other than this daemon's in which daemons are known. */
	otherDomains(): string[] {
		return [...this.relaySelections.keys()].filter(domain => domain !== this.local.failureDomain);
	}

	/** Addresses of the daemons that are not considered gone, or with `includesGone` of all known daemons. */
	addresses(includesGone: boolean, nowMs: number): PeerAddress[] {
		if (!includesGone) {
			return this.peersHeardWithin(goneAfterMs, nowMs).map(peer => peer.sender.address);
		}

		return [...this.relaySelections.values()].flatMap(selection => selection.all()).filter(({name}) => name !== this.local.name).map(({address}) => address);
	}

	/** The daemons that may serve requests of a service in place of this one: those that were heard from of late and are not cut off from it, and in a large fleet also all that do not report to this one. */
	proxyCandidates(service: string, nowMs: number): ProxyCandidate[] {
		const responsive = this.peersHeardWithin(silentAfterMs, nowMs).map(({sender}) => sender);
		const suitable = responsive.filter(({isStopping, cutOffServices}) => !isStopping && !cutOffServices?.includes(service)).map(({name, address}) => ({name, address, isResponsive: true}));
		if (this.role === FleetRole.Mesh) {
			return suitable;
		}

		const reporting = new Set([this.local.name, ...responsive.map(({name}) => name)]);
		const others = [...this.relaySelections.values()].flatMap(selection => selection.all()).filter(({name}) => !reporting.has(name));
		return [...suitable, ...others.map(other => ({...other, isResponsive: false}))];
	}

	/** Number of daemons whose addresses are known, including those that are gone. */
	get known(): number {
		let known = 0;
		for (const selection of this.relaySelections.values()) {
			known += selection.size;
		}

		return known;
	}

	/** Number of daemons that share the limits, including this one. */
	daemons(nowMs: number): number {
		return 1 + this.daemonCounts(nowMs).daemons;
	}

	/** Number of daemons that are silent but not yet considered gone. */
	silent(nowMs: number): number {
		return this.daemonCounts(nowMs).silent;
	}

	/** Number of daemons that were heard from of late, including this one. */
	responsive(nowMs: number): number {
		return 1 + this.daemonCounts(nowMs).responsive;
	}

	/** Whether at most half of the other daemons are silent; true if there are no others. */
	isMajorityResponsive(nowMs: number): boolean {
		const {daemons, silent} = this.daemonCounts(nowMs);
		return daemons - silent >= silent;
	}

	/** This daemon's position, by name, among the candidates for the singleton duties; undefined if it is not a candidate. */
	rank(nowMs: number): number | undefined {
		return this.roleAt(nowMs) === FleetRole.Leaf ? undefined : this.dutyCandidates(nowMs).toSorted().indexOf(this.local.name);
	}

	/** Whether a daemon that reported to this one is considered gone. */
	isGone(name: string, nowMs: number): boolean {
		const peer = this.peers.get(name);
		return peer !== undefined && nowMs - peer.heardAtMs > goneAfterMs;
	}

	/** Names of the daemons that may hold the singleton duties. */
	dutyCandidates(nowMs: number): string[] {
		return this.actingDaemons(nowMs).map(({name}) => name);
	}

	/** The daemons that may act for the whole fleet: every responsive daemon, or in a large fleet the relays, which all daemons know. */
	actingDaemons(nowMs: number): NamedAddress[] {
		const role = this.roleAt(nowMs);
		const others: NamedAddress[] = role === FleetRole.Mesh
			? this.peersHeardWithin(silentAfterMs, nowMs).map(({sender: {name, address}}) => ({name, address}))
			: [...this.relaySelections.values()].flatMap(selection => selection.relays(nowMs)).filter(({name}) => name !== this.local.name);
		const local = this.relaySelection(this.local.failureDomain).all().filter(({name}) => name === this.local.name);
		return role === FleetRole.Leaf ? others : [...others, ...local];
	}

	/** Records that a daemon was asked, whose failure domain the caller does not know. */
	noteAskedByName(name: string, nowMs: number): void {
		for (const selection of this.relaySelections.values()) {
			selection.noteAsked(name, nowMs);
		}
	}

	/** Records that a daemon has answered. */
	noteAnswered(sender: Sender): void {
		this.noteSender(sender);
	}

	/** Number of requests that the other daemons have in flight at the backend server with a key. */
	inFlight(backendKey: number, nowMs: number): number {
		if (nowMs - this.inFlightSums.atMs >= loadSumsMaxAgeMs) {
			this.inFlightSums = {atMs: nowMs, counts: sumPackedCounts(this.parts(nowMs).flatMap(part => part.inFlight()))};
		}

		return this.inFlightSums.counts.get(backendKey) ?? 0;
	}

	/**
	 * Creates the digest of this daemon's failure domain.
	 *
	 * @param own This daemon's own digest.
	 */
	domainDigest(own: Digest, nowMs: number): Digest {
		return this.digest(DigestScope.Domain, this.usageSums.domainTotals(readUse(own)), this.loadCache.domain(own, this.loadSources(nowMs), nowMs));
	}

	/** Creates the digest of all daemons except the receiver, a daemon of this failure domain. */
	restDigest(own: Digest, receiver: string, nowMs: number): Digest {
		return this.digest(DigestScope.Rest, this.usageSums.restTotals(readUse(own), receiver), this.loadCache.rest(own, receiver, this.loadSources(nowMs), nowMs));
	}

	/** Returns the table's part of the state dump. */
	toJson(nowMs: number): unknown {
		return {
			role: this.role,
			daemons: this.daemons(nowMs),
			silent: this.silent(nowMs),
			relays: Object.fromEntries([...this.relaySelections].map(([domain, selection]) => [domain, selection.relays(nowMs).map(({name}) => name)])),
			rows: [...this.peers.values()].map(({sender, heardAtMs}) => ({name: sender.name, incarnation: sender.incarnation, silentMs: Math.round(nowMs - heardAtMs)})),
		};
	}

	private noteSender(sender: Sender): void {
		this.relaySelection(sender.failureDomain).noteHeard(sender.name, sender.address, sender.isStopping);
	}

	private notePeer(sender: Sender, digest: Digest, nowMs: number): UseTotals {
		const previous = this.peers.get(sender.name);
		this.peers.set(sender.name, {sender, digest, heardAtMs: nowMs});
		if (!this.countsPeer(sender, nowMs)) {
			return new Map();
		}

		const isSameIncarnation = previous?.sender.incarnation === sender.incarnation;
		// What a daemon admitted before this one started or took its role is not counted again: relays may have reported it.
		const isCountedElsewhere = isSameIncarnation ? previous.heardAtMs < this.roleSinceMs : sender.uptimeMs > nowMs - this.roleSinceMs;
		const growth: UseTotals = new Map();
		for (const [account, total] of readUse(digest)) {
			const known = isSameIncarnation ? previous.digest.use[account] ?? [0, 0] : [0, 0];
			growth.set(account, isCountedElsewhere ? {admitted: 0, refused: 0} : {admitted: total.admitted - known[0], refused: total.refused - known[1]});
		}

		this.usageSums.addDaemon(sender.name, sender.failureDomain === this.local.failureDomain, growth);
		return growth;
	}

	private noteDomain(sender: Sender, digest: Digest, nowMs: number): UseTotals {
		if (sender.failureDomain === this.local.failureDomain) {
			return new Map();
		}

		const group = this.domainGroups.get(sender.failureDomain) ?? new ReportedGroup();
		this.domainGroups.set(sender.failureDomain, group);
		const growth = group.note(sender, digest, nowMs);
		if (this.role !== FleetRole.Relay) {
			return new Map();
		}

		this.usageSums.addDomain(growth);
		return growth;
	}

	/** Whether a daemon's own reports count, rather than the sums in which relays include it. */
	private countsPeer(sender: Sender, nowMs: number): boolean {
		if (this.role === FleetRole.Mesh) {
			return true;
		}

		if (this.role === FleetRole.Leaf) {
			return this.restGroup.mostComplete(countedForMs, nowMs) === undefined;
		}

		return sender.failureDomain === this.local.failureDomain || this.domainGroups.get(sender.failureDomain)?.mostComplete(countedForMs, nowMs) === undefined;
	}

	private updateRole(nowMs: number): void {
		if (nowMs - this.roleCheckedAtMs < roleCheckIntervalMs) {
			return;
		}

		this.roleCheckedAtMs = nowMs;
		const role = this.roleFor(nowMs);
		if (role !== this.role) {
			log.info('role of this daemon in the fleet changed.', {
				from: this.role, to: role, daemons: this.daemons(nowMs), silent: this.silent(nowMs),
			});
			this.role = role;
			this.roleSinceMs = nowMs;
		}
	}

	private roleFor(nowMs: number): FleetRole {
		const daemons = this.daemons(nowMs);
		this.smallSinceMs = daemons <= meshReturnMaxDaemons ? this.smallSinceMs ?? nowMs : undefined;
		// In a large fleet, no daemon reports to one that does not ask, so a restarted daemon hears from nobody at first.
		// It must go by what relays report: a duty holder that assumed a full mesh released three quarters of the pool.
		const isSmall = this.role === FleetRole.Mesh
			? daemons <= meshMaxDaemons && this.reportedDaemons(nowMs) <= meshReturnMaxDaemons
			: this.smallSinceMs !== undefined && nowMs - this.smallSinceMs >= meshReturnDelayMs;
		if (isSmall) {
			return FleetRole.Mesh;
		}

		return this.relays(this.local.failureDomain, nowMs).some(({name}) => name === this.local.name) ? FleetRole.Relay : FleetRole.Leaf;
	}

	/** Size of the fleet, including this daemon, by the sums that relays send: those of all other daemons from a relay of this failure domain, or those of the other failure domains from their relays, whichever is larger. Only large fleets have relays. */
	private reportedDaemons(nowMs: number): number {
		let inDomains = 0;
		for (const group of this.domainGroups.values()) {
			inDomains += group.mostComplete(silentAfterMs, nowMs)?.digest.daemons ?? 0;
		}

		const own = inDomains > 0 ? this.peersPart(this.domainPeers(), nowMs).count().daemons : 0;
		return 1 + Math.max(this.restGroup.mostComplete(silentAfterMs, nowMs)?.digest.daemons ?? 0, inDomains + own);
	}

	private daemonCounts(nowMs: number): DaemonCounts {
		return sumDaemonCounts(this.parts(nowMs).map(part => part.count()));
	}

	/** The disjoint parts that together make up the rest of the fleet. */
	private parts(nowMs: number): FleetPart[] {
		if (this.role === FleetRole.Mesh) {
			return [this.peersPart([...this.peers.values()], nowMs)];
		}

		const isNewRelay = this.role === FleetRole.Relay && nowMs - this.roleSinceMs < relayWarmUpMs;
		if (this.role === FleetRole.Leaf || isNewRelay) {
			const report = this.restGroup.mostComplete(silentAfterMs, nowMs) ?? this.restGroup.mostComplete(countedForMs, nowMs);
			return [report ? reportedPart(report, nowMs) : this.peersPart([...this.peers.values()], nowMs)];
		}

		return [this.peersPart(this.domainPeers(), nowMs), ...this.otherDomains().map(domain => this.domainPart(domain, nowMs))];
	}

	private domainPart(failureDomain: string, nowMs: number): FleetPart {
		const group = this.domainGroups.get(failureDomain);
		const report = group?.mostComplete(silentAfterMs, nowMs) ?? group?.mostComplete(countedForMs, nowMs);
		return report ? reportedPart(report, nowMs) : this.peersPart([...this.peers.values()].filter(peer => peer.sender.failureDomain === failureDomain), nowMs);
	}

	private domainPeers(): PeerEntry[] {
		return [...this.peers.values()].filter(peer => peer.sender.failureDomain === this.local.failureDomain);
	}

	private peersHeardWithin(maxAgeMs: number, nowMs: number): PeerEntry[] {
		return [...this.peers.values()].filter(peer => nowMs - peer.heardAtMs <= maxAgeMs);
	}

	private peersPart(peers: PeerEntry[], nowMs: number): FleetPart {
		const loads = peers.map(peer => daemonLoad(peer, nowMs));
		return {count: () => sumDaemonCounts(loads), inFlight: () => loads.map(({inFlight}) => inFlight)};
	}

	private loadSources(nowMs: number): LoadSources {
		return {
			daemons: () => new Map(this.domainPeers().map(peer => [peer.sender.name, daemonLoad(peer, nowMs)])),
			otherDomains: () => this.otherDomains().map(domain => this.domainPart(domain, nowMs)),
		};
	}

	private digest(scope: DigestScope, use: UseTotals, load: LoadDigest): Digest {
		return {
			scope, epoch: this.epoch, ...load, use: writeUse(use), usage: [],
		};
	}

	private relaySelection(failureDomain: string): RelaySelection {
		let selection = this.relaySelections.get(failureDomain);
		if (!selection) {
			selection = new RelaySelection(undefined);
			this.relaySelections.set(failureDomain, selection);
		}

		return selection;
	}
}

/** What a daemon's own report contributes to the sums. */
function daemonLoad({sender, digest, heardAtMs}: PeerEntry, nowMs: number): DaemonLoad {
	const ageMs = nowMs - heardAtMs;
	return {
		daemons: ageMs <= countedForMs && !sender.isStopping ? 1 : 0,
		silent: ageMs > silentAfterMs && ageMs <= goneAfterMs ? 1 : 0,
		responsive: ageMs <= silentAfterMs && !sender.isStopping ? 1 : 0,
		inFlight: ageMs <= loadExpiryMs ? digest.inFlight : [],
	};
}
