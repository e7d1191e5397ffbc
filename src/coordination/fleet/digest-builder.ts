/** Builds the digests that a daemon sends: of itself, of its failure domain, and of all daemons except the receiver. */
import {type Digest, DigestScope, type Sender} from '../../protocol/fleet-messages.js';
import {type Placement} from '../placement.js';
import {type Rollouts} from '../rollout/rollouts.js';
import {type SharedUse} from '../shared-windows.js';
import {type UsageLedger} from '../usage-ledger.js';
import {backendKey} from './backend-key.js';
import {packCounts, writeUse} from './digest-codec.js';
import {type FleetTable} from './fleet-table.js';

/** The dependencies of a digest builder. */
export type DigestParts = {failureDomain: string; fleet: FleetTable; sharedUse: SharedUse; usage: UsageLedger; placement: Placement; rollouts: Rollouts};

/** Builds the digests of one daemon. */
export class DigestBuilder {
	/** Whether the daemon is about to stop and no longer shares the limits. */
	isStopping = false;

	constructor(private readonly parts: DigestParts) {}

	/** Returns the digest of this daemon alone. */
	own(): Digest {
		const {sharedUse, usage, placement, rollouts} = this.parts;
		return {
			scope: DigestScope.Daemon,
			epoch: '',
			daemons: this.isStopping ? 0 : 1,
			silent: 0,
			use: writeUse(new Map([...sharedUse.ownTotals(), ...rollouts.outcomes.ownTotals()])),
			usage: usage.ownCounts(),
			inFlight: packCounts(new Map([...placement.inFlight()].map(([id, count]) => [backendKey(id), count]))),
		};
	}

	/** Returns a relay's digest of its failure domain. */
	domain(nowMs: number): Digest {
		const {fleet, usage, failureDomain} = this.parts;
		return {...fleet.domainDigest(this.own(), nowMs), usage: usage.domainCounts(failureDomain)};
	}

	/** Returns the digest of a relay's view: for a daemon of its own failure domain the sums of all other daemons, for a relay of another one the sums of its own failure domain. */
	view(receiver: Sender, wantsUsage: boolean, nowMs: number): Digest {
		const {fleet, usage, failureDomain} = this.parts;
		if (receiver.failureDomain !== failureDomain) {
			return this.domain(nowMs);
		}

		return {...fleet.restDigest(this.own(), receiver.name, nowMs), usage: wantsUsage ? usage.countsExcept(receiver.failureDomain, receiver.incarnation) : []};
	}
}
