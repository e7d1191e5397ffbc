/**
 * The other daemons, as this one last heard of them. Up to a dozen daemons report to each
 * other. In a larger fleet each reports to the relays of its failure domain, the relays
 * tell each other the sums of their failure domains, and answer with the sums of all
 * others: a daemon's messages then grow with its failure domain at most. At 86 daemons
 * reports to all came every 1.8 s, too late for the load of engines and the usage counts.
 */
import {
	type Digest, DigestScope, type NamedAddress, type PeerAddress, type Report, type Sender, type View,
} from '../../protocol/fleet-messages.js';
import {createLogger} from '../../log.js';
import {type AccountUse} from '../account-window.js';
import {readUse, sumCounts, writeUse} from './digest-sums.js';
import {type UseTotals} from './merged-counters.js';
import {RelayChoice} from './relay-choice.js';
import {
	type Contribution, CountedUse, KeptLoad, type LoadDigest, type LoadSources,
} from './relay-sums.js';
import {
	countedMs, freshMs, goneMs, type Headcount, type Part, silentMs, sumHeadcounts, ToldGroup, toldPart,
} from './told-group.js';

const log = createLogger('fleet');

/** What a daemon is to the others. */
export enum FleetRole {
	/** One of few, which all report to each other. */
	Mesh = 'mesh',
	Relay = 'relay',
	Leaf = 'leaf',
}

/** Most daemons that all report to each other; six and nine did on calm and bad days. */
const meshDaemons = 12;
/** A fleet that shrinks goes back to that at this many, so that one that varies does not change by turns. */
const meshAgainDaemons = 8;
/** ... and has been for this long, in milliseconds: a new relay hears of all within a few rounds. */
const smallForMs = 5000;
/** A new relay goes by what relays told it for this long, in milliseconds: until its failure domain's daemons and the other relays have reported. */
const newRelayMs = 1000;
/** How often a daemon looks what it is to the others, in milliseconds: twice a round. */
const roleCheckMs = 100;
/** The sums of requests in flight are made anew after this, in milliseconds: a fifth of a round. */
const loadSumsMs = 50;

/** A daemon that reported by itself. */
type Row = {sender: Sender; digest: Digest; heardAtMs: number};

/** The daemon that keeps the table. */
export type Self = {name: string; failureDomain: string; startedAtMs: number};

/** The rest of the fleet, for one daemon. */
export class FleetTable {
	private role = FleetRole.Mesh;
	private roleSinceMs: number;
	private readonly rows = new Map<string, Row>();
	private readonly relayChoices = new Map<string, RelayChoice>();
	/** What this daemon counted of each daemon and failure domain since it started. */
	private readonly counted = new CountedUse();
	private readonly keptLoad = new KeptLoad();
	private readonly domains = new Map<string, ToldGroup>();
	private readonly rest = new ToldGroup();
	/** Since when the fleet has been small enough to report to all. */
	private smallSinceMs: number | undefined;
	private roleCheckedAtMs = Number.NEGATIVE_INFINITY;
	private loadSums = {atMs: Number.NEGATIVE_INFINITY, counts: new Map<number, number>()};

	constructor(private readonly self: Self) {
		this.roleSinceMs = self.startedAtMs;
		this.relayChoices.set(self.failureDomain, new RelayChoice(self.name));
	}

	/** Notes an address from the platform's store. */
	learn(name: string, failureDomain: string, address: PeerAddress): void {
		this.relayChoice(failureDomain).learn(name, address);
	}

	/** Notes that a daemon was asked for a view. */
	noteAsked(name: string, failureDomain: string, nowMs: number): void {
		this.relayChoice(failureDomain).noteAsked(name, nowMs);
	}

	/**
	 * Takes a report.
	 *
	 * @returns Cost units that its daemons were found to have admitted and refused since the last one, by account.
	 */
	noteReport(report: Report, nowMs: number): UseTotals {
		const {sender, digest} = report;
		this.noteSender(sender);
		const growth = digest.scope === DigestScope.Domain ? this.noteDomain(sender, digest, nowMs) : this.noteRow(sender, digest, nowMs);
		this.updateRole(nowMs);
		return growth;
	}

	/** Takes a view; returns as {@link noteReport}. */
	noteView(view: View, nowMs: number): UseTotals {
		const {sender, digest, relays} = view;
		this.noteSender(sender);
		for (const {name, address} of relays) {
			this.relayChoice(sender.failureDomain).learn(name, address);
		}

		let growth = new Map<string, AccountUse>();
		if (digest?.scope === DigestScope.Domain) {
			growth = this.noteDomain(sender, digest, nowMs);
		} else if (digest?.scope === DigestScope.Rest) {
			growth = this.rest.note(sender, digest, nowMs);
			growth = this.role === FleetRole.Leaf ? growth : new Map<string, AccountUse>();
		}

		this.updateRole(nowMs);
		return growth;
	}

	/** What this daemon is to the others now. */
	roleAt(nowMs: number): FleetRole {
		this.updateRole(nowMs);
		return this.role;
	}

	/** When it became that; totals that it tells start anew then. */
	get epoch(): string {
		return String(Math.round(this.roleSinceMs));
	}

	/** The relays of a failure domain. */
	relays(failureDomain: string, nowMs: number): NamedAddress[] {
		return this.relayChoice(failureDomain).relays(nowMs);
	}

	/** Daemons of a failure domain that would relay if they answered, to be asked again. */
	probes(failureDomain: string, nowMs: number): NamedAddress[] {
		return this.relayChoice(failureDomain).probes(nowMs);
	}

	/** Failure domains other than this daemon's in which daemons are known. */
	otherDomains(): string[] {
		return [...this.relayChoices.keys()].filter(domain => domain !== this.self.failureDomain);
	}

	/** Where the daemons are that were heard of not long ago, or with `all` every one that is known. */
	addresses(all: boolean, nowMs: number): PeerAddress[] {
		if (!all) {
			return this.rowsWithin(goneMs, nowMs).map(row => row.sender.address);
		}

		return [...this.relayChoices.values()].flatMap(choice => choice.all()).filter(({name}) => name !== this.self.name).map(({address}) => address);
	}

	/** Daemons whose addresses are known, those that are gone included. */
	get known(): number {
		let known = 0;
		for (const choice of this.relayChoices.values()) {
			known += choice.size;
		}

		return known;
	}

	/** Daemons that share the limits, this one included. */
	daemons(nowMs: number): number {
		return 1 + this.headcount(nowMs).daemons;
	}

	/** Daemons that were heard of not long ago and are silent now. */
	silent(nowMs: number): number {
		return this.headcount(nowMs).silent;
	}

	/** Whether at least half of the daemons of late can be heard; true where there are none. */
	hearsMost(nowMs: number): boolean {
		const {daemons, silent} = this.headcount(nowMs);
		return daemons - silent >= silent;
	}

	/** This daemon's place among those that may take the singleton duties; undefined for one that may not. */
	rank(nowMs: number): number | undefined {
		return this.roleAt(nowMs) === FleetRole.Leaf ? undefined : this.eligible(nowMs).toSorted().indexOf(this.self.name);
	}

	/** Names of the daemons that may act for all: every one that answers, or the relays of a large fleet, which all daemons know. */
	eligible(nowMs: number): string[] {
		const role = this.roleAt(nowMs);
		const others = role === FleetRole.Mesh
			? this.rowsWithin(silentMs, nowMs).map(row => row.sender.name)
			: [...this.relayChoices.values()].flatMap(choice => choice.relays(nowMs).map(({name}) => name)).filter(name => name !== this.self.name);
		return role === FleetRole.Leaf ? others : [...others, this.self.name];
	}

	/** Requests that the other daemons have in flight at a backend server, by its key. */
	inFlight(backendKey: number, nowMs: number): number {
		if (nowMs - this.loadSums.atMs >= loadSumsMs) {
			this.loadSums = {atMs: nowMs, counts: sumCounts(this.parts(nowMs).flatMap(part => part.inFlight()))};
		}

		return this.loadSums.counts.get(backendKey) ?? 0;
	}

	/**
	 * Sums over this daemon's failure domain.
	 *
	 * @param own This daemon's own digest.
	 */
	domainDigest(own: Digest, nowMs: number): Digest {
		return this.digest(DigestScope.Domain, this.counted.domainTotals(readUse(own)), this.keptLoad.domain(own, this.loadSources(nowMs), nowMs));
	}

	/** Sums over all daemons but one of this failure domain. */
	restDigest(own: Digest, receiver: string, nowMs: number): Digest {
		return this.digest(DigestScope.Rest, this.counted.restTotals(readUse(own), receiver), this.keptLoad.rest(own, receiver, this.loadSources(nowMs), nowMs));
	}

	/** What a state dump shows. */
	toJson(nowMs: number): unknown {
		return {
			role: this.role,
			daemons: this.daemons(nowMs),
			silent: this.silent(nowMs),
			relays: Object.fromEntries([...this.relayChoices].map(([domain, choice]) => [domain, choice.relays(nowMs).map(({name}) => name)])),
			rows: [...this.rows.values()].map(({sender, heardAtMs}) => ({name: sender.name, incarnation: sender.incarnation, silentMs: Math.round(nowMs - heardAtMs)})),
		};
	}

	private noteSender(sender: Sender): void {
		this.relayChoice(sender.failureDomain).noteHeard(sender.name, sender.address, sender.isStopping);
	}

	private noteRow(sender: Sender, digest: Digest, nowMs: number): UseTotals {
		const before = this.rows.get(sender.name);
		this.rows.set(sender.name, {sender, digest, heardAtMs: nowMs});
		if (!this.countsRow(sender, nowMs)) {
			return new Map();
		}

		const isContinued = before?.sender.incarnation === sender.incarnation;
		// What a daemon admitted before this one started, or while relays told of it, is not counted again.
		const isHistory = isContinued ? before.heardAtMs < this.roleSinceMs : sender.uptimeMs > nowMs - this.roleSinceMs;
		const growth: UseTotals = new Map();
		for (const [account, total] of readUse(digest)) {
			const known = isContinued ? before.digest.use[account] ?? [0, 0] : [0, 0];
			growth.set(account, isHistory ? {admitted: 0, refused: 0} : {admitted: total.admitted - known[0], refused: total.refused - known[1]});
		}

		this.counted.addDaemon(sender.name, sender.failureDomain === this.self.failureDomain, growth);
		return growth;
	}

	private noteDomain(sender: Sender, digest: Digest, nowMs: number): UseTotals {
		if (sender.failureDomain === this.self.failureDomain) {
			return new Map();
		}

		const group = this.domains.get(sender.failureDomain) ?? new ToldGroup();
		this.domains.set(sender.failureDomain, group);
		const growth = group.note(sender, digest, nowMs);
		if (this.role !== FleetRole.Relay) {
			return new Map();
		}

		this.counted.addDomain(growth);
		return growth;
	}

	/** Whether a daemon's own reports count, rather than what relays say of it. */
	private countsRow(sender: Sender, nowMs: number): boolean {
		if (this.role === FleetRole.Mesh) {
			return true;
		}

		if (this.role === FleetRole.Leaf) {
			return this.rest.best(countedMs, nowMs) === undefined;
		}

		return sender.failureDomain === this.self.failureDomain || this.domains.get(sender.failureDomain)?.best(countedMs, nowMs) === undefined;
	}

	private updateRole(nowMs: number): void {
		if (nowMs - this.roleCheckedAtMs < roleCheckMs) {
			return;
		}

		this.roleCheckedAtMs = nowMs;
		const role = this.roleFor(nowMs);
		if (role !== this.role) {
			log.info('role changed.', {
				from: this.role, to: role, daemons: this.daemons(nowMs), silent: this.silent(nowMs),
			});
			this.role = role;
			this.roleSinceMs = nowMs;
		}
	}

	private roleFor(nowMs: number): FleetRole {
		const daemons = this.daemons(nowMs);
		this.smallSinceMs = daemons <= meshAgainDaemons ? this.smallSinceMs ?? nowMs : undefined;
		// In a large fleet nobody reports to a daemon that does not ask. One that restarted heard nobody, held the duties and gave up three quarters of the pool.
		const isSmall = this.role === FleetRole.Mesh ? daemons <= meshDaemons && this.told(nowMs) <= meshAgainDaemons : this.smallSinceMs !== undefined && nowMs - this.smallSinceMs >= smallForMs;
		if (isSmall) {
			return FleetRole.Mesh;
		}

		return this.relays(this.self.failureDomain, nowMs).some(({name}) => name === this.self.name) ? FleetRole.Relay : FleetRole.Leaf;
	}

	/** Daemons that relays tell of, this one included: by all that one of this failure domain knows, or by the failure domains that others tell of. Only in a large fleet there are any. */
	private told(nowMs: number): number {
		let inDomains = 0;
		for (const group of this.domains.values()) {
			inDomains += group.best(silentMs, nowMs)?.digest.daemons ?? 0;
		}

		const own = inDomains > 0 ? this.rowsPart(this.domainRows(), nowMs).count().daemons : 0;
		return 1 + Math.max(this.rest.best(silentMs, nowMs)?.digest.daemons ?? 0, inDomains + own);
	}

	private headcount(nowMs: number): Headcount {
		return sumHeadcounts(this.parts(nowMs).map(part => part.count()));
	}

	/** The parts that together make up the rest of the fleet. */
	private parts(nowMs: number): Part[] {
		if (this.role === FleetRole.Mesh) {
			return [this.rowsPart([...this.rows.values()], nowMs)];
		}

		const isNewRelay = this.role === FleetRole.Relay && nowMs - this.roleSinceMs < newRelayMs;
		if (this.role === FleetRole.Leaf || isNewRelay) {
			const told = this.rest.best(silentMs, nowMs) ?? this.rest.best(countedMs, nowMs);
			return [told ? toldPart(told, nowMs) : this.rowsPart([...this.rows.values()], nowMs)];
		}

		return [this.rowsPart(this.domainRows(), nowMs), ...this.otherDomains().map(domain => this.domainPart(domain, nowMs))];
	}

	private domainPart(failureDomain: string, nowMs: number): Part {
		const group = this.domains.get(failureDomain);
		const told = group?.best(silentMs, nowMs) ?? group?.best(countedMs, nowMs);
		return told ? toldPart(told, nowMs) : this.rowsPart([...this.rows.values()].filter(row => row.sender.failureDomain === failureDomain), nowMs);
	}

	private domainRows(): Row[] {
		return [...this.rows.values()].filter(row => row.sender.failureDomain === this.self.failureDomain);
	}

	private rowsWithin(ageMs: number, nowMs: number): Row[] {
		return [...this.rows.values()].filter(row => nowMs - row.heardAtMs <= ageMs);
	}

	private rowsPart(rows: Row[], nowMs: number): Part {
		const contributions = rows.map(row => rowContribution(row, nowMs));
		return {count: () => sumHeadcounts(contributions), inFlight: () => contributions.map(({inFlight}) => inFlight)};
	}

	private loadSources(nowMs: number): LoadSources {
		return {
			daemons: () => new Map(this.domainRows().map(row => [row.sender.name, rowContribution(row, nowMs)])),
			otherDomains: () => this.otherDomains().map(domain => this.domainPart(domain, nowMs)),
		};
	}

	private digest(scope: DigestScope, use: UseTotals, load: LoadDigest): Digest {
		return {
			scope, epoch: this.epoch, ...load, use: writeUse(use), usage: [],
		};
	}

	private relayChoice(failureDomain: string): RelayChoice {
		let choice = this.relayChoices.get(failureDomain);
		if (!choice) {
			choice = new RelayChoice(undefined);
			this.relayChoices.set(failureDomain, choice);
		}

		return choice;
	}
}

/** What a daemon that reported by itself adds to sums. */
function rowContribution({sender, digest, heardAtMs}: Row, nowMs: number): Contribution {
	const ageMs = nowMs - heardAtMs;
	return {
		daemons: ageMs <= countedMs && !sender.isStopping ? 1 : 0,
		silent: ageMs > silentMs && ageMs <= goneMs ? 1 : 0,
		inFlight: ageMs <= freshMs ? digest.inFlight : [],
	};
}
