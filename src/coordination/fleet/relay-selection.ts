/**
 * Selects the daemons of a failure domain that relay the reports of the others: the first two
 * responsive ones by name. Every daemon selects them from the messages that it receives itself, so
 * no agreement is needed; while the selections differ, the relay that they have in common
 * receives the reports of all daemons.
 */
import {type NamedAddress, type PeerAddress} from '../../protocol/fleet-messages.js';

/** Relays of each failure domain: one that is asked in each round, and a standby that takes over. */
const relaysPerDomain = 2;
/** Time without an answer after which a daemon is skipped, in milliseconds: a little over three rounds. */
const answerTimeoutMs = 800;
/** Time between two requests to a daemon that is skipped, in milliseconds. */
const probeIntervalMs = 2000;

type Candidate = {
	readonly name: string;
	address: PeerAddress;
	/** When it was first asked after its last message; undefined if it has not been asked since. */
	askedAtMs: number | undefined;
	probedAtMs: number;
	isStopping: boolean;
};

/** Tracks the daemons of one failure domain and selects its relays. */
export class RelaySelection {
	private readonly candidates = new Map<string, Candidate>();
	/** Sorted by name; the order is kept because it is needed for every message. */
	private sortedCandidates: Candidate[] = [];

	/** @param localName This daemon's name if the failure domain is its own. */
	constructor(private readonly localName: string | undefined) {}

	/** Number of known daemons. */
	get size(): number {
		return this.candidates.size;
	}

	/** Records the address at which a daemon receives datagrams. */
	addAddress(name: string, address: PeerAddress): void {
		const known = this.candidates.get(name);
		if (known) {
			known.address = address;
		} else {
			this.candidates.set(name, {
				name, address, askedAtMs: undefined, probedAtMs: Number.NEGATIVE_INFINITY, isStopping: false,
			});
			this.sortedCandidates = [...this.candidates.values()].toSorted((a, b) => a.name < b.name ? -1 : 1);
		}
	}

	/** Records that a message of a daemon arrived. */
	noteHeard(name: string, address: PeerAddress, isStopping: boolean): void {
		this.addAddress(name, address);
		const candidate = this.candidates.get(name)!;
		candidate.askedAtMs = undefined;
		candidate.isStopping = isStopping;
	}

	/** Records that a daemon was asked for a view. */
	noteAsked(name: string, nowMs: number): void {
		const candidate = this.candidates.get(name);
		if (candidate) {
			candidate.askedAtMs ??= nowMs;
		}
	}

	/** The relays, the one to ask in each round first; this daemon may be among them. */
	relays(nowMs: number): NamedAddress[] {
		const relays: NamedAddress[] = [];
		for (const candidate of this.sortedCandidates) {
			if (candidate.name === this.localName || isResponsive(candidate, nowMs)) {
				relays.push({name: candidate.name, address: candidate.address});
			}

			if (relays.length === relaysPerDomain) {
				break;
			}
		}

		return relays;
	}

	/** Unresponsive daemons that would be relays if they answered and are due for another request; each is returned at most once per {@link probeIntervalMs}. */
	probes(nowMs: number): NamedAddress[] {
		const last = this.relays(nowMs).at(-1)?.name;
		const due: NamedAddress[] = [];
		for (const candidate of this.sortedCandidates) {
			if (candidate.name === last) {
				break;
			}

			if (candidate.name !== this.localName && !isResponsive(candidate, nowMs) && nowMs - candidate.probedAtMs >= probeIntervalMs) {
				candidate.probedAtMs = nowMs;
				due.push({name: candidate.name, address: candidate.address});
			}
		}

		return due;
	}

	/** All known daemons. */
	all(): NamedAddress[] {
		return [...this.candidates].map(([name, {address}]) => ({name, address}));
	}
}

function isResponsive(candidate: Candidate, nowMs: number): boolean {
	return !candidate.isStopping && (candidate.askedAtMs === undefined || nowMs - candidate.askedAtMs <= answerTimeoutMs);
}
