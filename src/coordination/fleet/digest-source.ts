/** Makes the digests that a daemon tells: of itself, of its failure domain, and of all but the receiver. */
import {type Digest, DigestScope, type Sender} from '../../protocol/fleet-messages.js';
import {type Placement} from '../placement.js';
import {type QuotaLedger} from '../quota-ledger.js';
import {type UsageLedger} from '../usage-ledger.js';
import {backendKey} from './backend-key.js';
import {packCounts, writeUse} from './digest-sums.js';
import {type FleetTable} from './fleet-table.js';

/** The parts that digests are made from. */
export type DigestParts = {failureDomain: string; fleet: FleetTable; quota: QuotaLedger; usage: UsageLedger; placement: Placement};

/** Makes digests. */
export class DigestSource {
	/** Whether the daemon is about to stop, and shares no limits any more. */
	isStopping = false;

	constructor(private readonly parts: DigestParts) {}

	/** What this daemon says of itself. */
	own(): Digest {
		const {quota, usage, placement} = this.parts;
		return {
			scope: DigestScope.Daemon,
			epoch: '',
			daemons: this.isStopping ? 0 : 1,
			silent: 0,
			use: writeUse(quota.own()),
			usage: usage.own(),
			inFlight: packCounts(new Map(Object.entries(placement.inFlight()).map(([id, count]) => [backendKey(id), count]))),
		};
	}

	/** What a relay says of its failure domain. */
	domain(nowMs: number): Digest {
		const {fleet, usage, failureDomain} = this.parts;
		return {...fleet.domainDigest(this.own(), nowMs), usage: usage.domain(failureDomain)};
	}

	/** What a relay tells: a daemon of its failure domain the sums of all others, a relay of another one those of its own. */
	view(receiver: Sender, wantsUsage: boolean, nowMs: number): Digest {
		const {fleet, usage, failureDomain} = this.parts;
		if (receiver.failureDomain !== failureDomain) {
			return this.domain(nowMs);
		}

		return {...fleet.restDigest(this.own(), receiver.name, nowMs), usage: wantsUsage ? usage.restOf(receiver.failureDomain, receiver.incarnation) : []};
	}
}
