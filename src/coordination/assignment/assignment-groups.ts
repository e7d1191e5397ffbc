/**
 * Divides the backend servers of a service into groups, each of which one daemon coordinates,
 * and ranks them for a request. A prompt with a long shared prefix goes to the same group from
 * every daemon, so that the prefix is read in one failure domain; other requests stay in the
 * failure domain of the daemon that received them. It answers demand that is uneven over the
 * failure domains: a group that states a long wait is passed over for one that states less.
 */
import {createHash} from 'node:crypto';
import {type GroupName} from '../../protocol/fleet-messages.js';
import {type Backend, type PromptPart} from '../../protocol/serving.js';

/** Tokens of a shared prefix from which on a prompt goes to the group that holds the prefix: an engine takes 20 to 40 ms to prefill them, ten times the round trip to another failure domain. */
const minPrefixTokens = 2000;
/** Share of a request's latency target up to which the wait of a group is accepted. */
const acceptedWaitShare = 0.25;

/** Identifies a group of backend servers. */
export type GroupIdentity = {
	name: string;
	service: string;
	/** Set for engines only: their groups are those of a failure domain. */
	failureDomain: string | undefined;
};

/** A group of backend servers. */
export type AssignmentGroup = GroupIdentity & {backends: Backend[]};

/** Returns the identity of a group that a message names. */
export function identifyGroup({service, failureDomain}: GroupName): GroupIdentity {
	return {name: failureDomain === undefined ? service : `${service}/${failureDomain}`, service, failureDomain};
}

/** Returns what names a group in messages. */
export function toGroupName({service, failureDomain}: GroupIdentity): GroupName {
	return {service, failureDomain};
}

/** Whether a backend server belongs to a group. */
export function isInGroup({service, failureDomain}: Pick<AssignmentGroup, 'service' | 'failureDomain'>, backend: Backend): boolean {
	return backend.service === service && (failureDomain === undefined || backend.failureDomain === failureDomain);
}

/** Returns the groups of a service: one for each failure domain with engines, or one for a plain service. */
export function groupsOf(service: string, isEngine: boolean, candidates: Backend[]): AssignmentGroup[] {
	if (!isEngine) {
		return candidates.length > 0
			? [{
				name: service, service, failureDomain: undefined, backends: candidates,
			}]
			: [];
	}

	const byDomain = new Map<string, Backend[]>();
	for (const backend of candidates) {
		byDomain.set(backend.failureDomain, [...byDomain.get(backend.failureDomain) ?? [], backend]);
	}

	return [...byDomain].map(([failureDomain, backends]) => ({
		name: `${service}/${failureDomain}`, service, failureDomain, backends,
	}));
}

/** What a request is ranked by. */
export type GroupQuery = {
	promptParts: PromptPart[];
	/** The failure domain of the daemon that asks. */
	failureDomain: string;
	targetMs: number;
	/** Returns the wait that a group has stated of late, in milliseconds; 0 if it has stated none. */
	waitMs: (group: AssignmentGroup) => number;
};

/** Returns the groups to ask for a request, the first one first. */
export function rankGroups(groups: AssignmentGroup[], query: GroupQuery): AssignmentGroup[] {
	const ranked = rankByPreference(groups, query);
	const acceptedMs = Math.max(0, query.targetMs) * acceptedWaitShare;
	const waits = new Map(ranked.map(group => [group, query.waitMs(group)]));
	const accepted = ranked.filter(group => waits.get(group)! <= acceptedMs);
	const others = ranked.filter(group => waits.get(group)! > acceptedMs).toSorted((a, b) => waits.get(a)! - waits.get(b)!);
	return [...accepted, ...others];
}

function rankByPreference(groups: AssignmentGroup[], {promptParts, failureDomain}: GroupQuery): AssignmentGroup[] {
	const shared = promptParts.slice(0, -1);
	let sharedTokens = 0;
	for (const {tokens} of shared) {
		sharedTokens += tokens;
	}

	const key = sharedTokens >= minPrefixTokens ? shared.at(-1)!.id : `near ${failureDomain}`;
	const scored = groups.map(group => ({group, score: group.failureDomain === failureDomain && sharedTokens < minPrefixTokens ? Number.POSITIVE_INFINITY : weightedScore(key, group)}));
	return scored.toSorted((a, b) => b.score - a.score).map(({group}) => group);
}

/** Returns the score of weighted rendezvous hashing: each group comes first in proportion to the number of its engines. */
function weightedScore(key: string, {name, backends}: AssignmentGroup): number {
	const hash = createHash('md5').update(`${key} ${name}`).digest().readUInt32BE(0);
	return -backends.length / Math.log((hash + 0.5) / (2 ** 32));
}
