/**
 * Which daemons of a failure domain relay what the others say: the first two by name that
 * answer. Every daemon chooses for itself from whom it hears, so no agreement is needed;
 * while choices differ, the one relay that they share knows all.
 */
import {type NamedAddress, type PeerAddress} from '../../protocol/fleet-messages.js';

/** Relays of a failure domain: one that is asked each round, and one that takes over. */
const relayCount = 2;
/** A daemon that was asked and says nothing for this long is passed over, in milliseconds: three rounds. */
const unansweredMs = 800;
/** A daemon that is passed over is asked again after this, in milliseconds. */
const probeMs = 2000;

type Candidate = {
	readonly name: string;
	address: PeerAddress;
	/** When it was first asked since it last said something. */
	askedAtMs: number | undefined;
	probedAtMs: number;
	isStopping: boolean;
};

/** The daemons of one failure domain, and which of them relay. */
export class RelayChoice {
	private readonly candidates = new Map<string, Candidate>();
	/** In the order of their names, which every message asks for. */
	private inOrder: Candidate[] = [];

	/** @param self This daemon's name, where the failure domain is its own. */
	constructor(private readonly self: string | undefined) {}

	/** How many daemons are known. */
	get size(): number {
		return this.candidates.size;
	}

	/** Notes where a daemon takes datagrams. */
	learn(name: string, address: PeerAddress): void {
		const known = this.candidates.get(name);
		if (known) {
			known.address = address;
		} else {
			this.candidates.set(name, {
				name, address, askedAtMs: undefined, probedAtMs: Number.NEGATIVE_INFINITY, isStopping: false,
			});
			this.inOrder = [...this.candidates.values()].toSorted((a, b) => a.name < b.name ? -1 : 1);
		}
	}

	/** Notes that a daemon said something. */
	noteHeard(name: string, address: PeerAddress, isStopping: boolean): void {
		this.learn(name, address);
		const candidate = this.candidates.get(name)!;
		candidate.askedAtMs = undefined;
		candidate.isStopping = isStopping;
	}

	/** Notes that a daemon was asked. */
	noteAsked(name: string, nowMs: number): void {
		const candidate = this.candidates.get(name);
		if (candidate) {
			candidate.askedAtMs ??= nowMs;
		}
	}

	/** The relays, the one to ask each round first; this daemon may be among them. */
	relays(nowMs: number): NamedAddress[] {
		const relays: NamedAddress[] = [];
		for (const candidate of this.inOrder) {
			if (candidate.name === this.self || isUsable(candidate, nowMs)) {
				relays.push({name: candidate.name, address: candidate.address});
			}

			if (relays.length === relayCount) {
				break;
			}
		}

		return relays;
	}

	/** Daemons that would be relays if they answered, to be asked once more; each is named once in a while. */
	probes(nowMs: number): NamedAddress[] {
		const last = this.relays(nowMs).at(-1)?.name;
		const due: NamedAddress[] = [];
		for (const candidate of this.inOrder) {
			if (candidate.name === last) {
				break;
			}

			if (candidate.name !== this.self && !isUsable(candidate, nowMs) && nowMs - candidate.probedAtMs >= probeMs) {
				candidate.probedAtMs = nowMs;
				due.push({name: candidate.name, address: candidate.address});
			}
		}

		return due;
	}

	/** Every daemon that is known. */
	all(): NamedAddress[] {
		return [...this.candidates].map(([name, {address}]) => ({name, address}));
	}
}

function isUsable(candidate: Candidate, nowMs: number): boolean {
	return !candidate.isStopping && (candidate.askedAtMs === undefined || nowMs - candidate.askedAtMs <= unansweredMs);
}
