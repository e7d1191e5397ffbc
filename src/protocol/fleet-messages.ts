/**
 * The datagrams between serving daemons. A report carries the state of its sender or of the
 * sender's failure domain; a view answers a report with a relay's state of the other daemons.
 * Messages carry totals instead of changes, so the newest one is sufficient and lost ones need
 * no resending.
 */

import {isIPv4} from 'node:net';
import {
	type AssignmentAnswer, type AssignmentEnd, type AssignmentId, type AssignmentRequest, isAssignmentAnswers, isAssignmentEnds, isAssignmentRequest,
} from './assignment.js';
import {type LogPosition} from './log-position.js';
import {isPacePercent} from './pace-percent.js';
import {type Topic} from './platform.js';

/** The largest port number. */
const maxPort = 65_535;

/** The address at which a daemon receives datagrams. */
export type PeerAddress = {host: string; port: number};

/** The kinds of message. */
export enum FleetMessageKind {
	Report = 'report',
	View = 'view',
	Suspects = 'suspects',
	Limits = 'limits',
	Rollouts = 'rollouts',
	Tolerances = 'tolerances',
	Paces = 'paces',
	SlotClaim = 'slot-claim',
	SlotDecision = 'slot-decision',
	AssignmentRequest = 'assignment-request',
	AssignmentDecision = 'assignment-decision',
	AssignmentEnd = 'assignment-end',
	AssignmentWithdrawal = 'assignment-withdrawal',
	StreamOrigins = 'stream-origins',
	StreamOriginQuery = 'stream-origin-query',
	StreamOriginAnswer = 'stream-origin-answer',
}

/** The daemons that a digest covers. */
export enum DigestScope {
	/** The sender alone. */
	Daemon = 'daemon',
	/** The failure domain of the sender. */
	Domain = 'domain',
	/** All daemons except the receiver. */
	Rest = 'rest',
}

/** Number of requests of each account that began to run in one usage window. */
export type WindowCounts = Record<string, number>;

/** State of one or more daemons, summed up. */
export type Digest = {
	scope: DigestScope;
	/** Identifies a period of counting; it changes when the sender's totals start over. */
	epoch: string;
	/** Number of daemons that share the limits. */
	daemons: number;
	/** Number of them that are silent but not yet considered gone. */
	silent: number;
	/** Cost units admitted and refused since the epoch began, by client account. */
	use: Record<string, [admitted: number, refused: number]>;
	/** Counts of the latest usage windows; empty if the receiver does not need them. */
	usage: Array<[window: number, counts: WindowCounts]>;
	/** Requests in flight: keys of backend servers and counts alternate. */
	inFlight: number[];
};

/** The sender of a message. */
export type Sender = {
	name: string;
	/** Differs for each start of the daemon. */
	incarnation: string;
	failureDomain: string;
	address: PeerAddress;
	/** Time since the daemon started, in milliseconds. */
	uptimeMs: number;
	/** Whether it is about to stop. */
	isStopping: boolean;
	/** The services from whose backend servers it is cut off; undefined if there are none. */
	cutOffServices?: string[];
};

/** The fencing token of the known duty holder, and how long ago that was confirmed. */
export type HolderUpdate = {token: number; ageMs: number};

type MessageHead = {
	sender: Sender;
	holder: HolderUpdate | undefined;
	/** Cost units that all daemons admitted in the window of the limits, by client account: one sum for each equal part of the window, the newest first. Sent to receivers that lack it, such as ones that have just started; undefined otherwise, and while the sender does not know. */
	windowUses: Record<string, number[]> | undefined;
};

/** The sender's view of a topic of the store. */
export type TopicUpdate = {
	/** Position of the first record that it has not read. */
	next: LogPosition;
	/** How long ago the view was known to be current, in milliseconds. */
	ageMs: number;
	/** Records from the position that the receiver named on, in order; an undefined value deletes its key. */
	records: Array<[offset: number, key: string, value: Uint8Array | undefined]>;
};

/** The topics of the store that daemons gossip about. */
export type GossipedTopic = Topic.Config | Topic.Backends;

/** A daemon's report about itself, or a relay's report about its failure domain. */
export type Report = MessageHead & {
	kind: FleetMessageKind.Report;
	digest: Digest;
	/** Whether the receiver should answer with a view. */
	wantsView: boolean;
	/** Whether the view should include what was admitted in the window. */
	wantsUses: boolean;
	/** Whether the view should include usage counts, because the sender holds the singleton duties. */
	wantsUsage: boolean;
	/** Number of the sender's reporting round; the view repeats it. */
	round: number;
	/** Positions of the first records that the sender's views of the store's topics lack. */
	positions: Partial<Record<GossipedTopic, LogPosition>>;
};

/** The name and address of a daemon. */
export type NamedAddress = {name: string; address: PeerAddress};

/** A relay's answer to a report. */
export type View = MessageHead & {
	kind: FleetMessageKind.View;
	/** Undefined if the sender is not a relay. */
	digest: Digest | undefined;
	/** The relays of the sender's failure domain, as selected by the sender. */
	relays: NamedAddress[];
	/** Number of the round of the report that it answers. */
	round: number;
	topics: Partial<Record<GossipedTopic, TopicUpdate>>;
};

/** State of a request that backend servers were running when they ended. */
export type SuspectUpdate = {
	fingerprint: number;
	/** Keys of the backend servers that ended while they ran it, and how long ago, in milliseconds. */
	crashes: Array<[backend: number, ageMs: number]>;
	/** How long ago a run of it completed, in milliseconds; undefined if none has. */
	clearedAgeMs: number | undefined;
};

/** The requests that a daemon suspects of crashing backend servers. */
export type SuspectList = {kind: FleetMessageKind.Suspects; sender: Sender; suspects: SuspectUpdate[]};

/** The limit that a backend server states. */
export type LimitUpdate = {
	/** Key of the backend server. */
	backend: number;
	/** Requests per second from all daemons together; undefined once it no longer states a limit. */
	perSecond: number | undefined;
	/** How long ago it stated this, in milliseconds. */
	ageMs: number;
};

/** The limits that backend servers state. */
export type LimitList = {kind: FleetMessageKind.Limits; sender: Sender; limits: LimitUpdate[]};

/** The overload that a backend server tolerates. */
export type ToleranceUpdate = {
	/** Key of the backend server. */
	backend: number;
	/** Requests a second that it can refuse without failing; undefined once it no longer states this. */
	refusalsPerSecond: number | undefined;
	/** How long ago it stated this, in milliseconds. */
	ageMs: number;
};

/** The backend servers that fail under overload. */
export type ToleranceList = {kind: FleetMessageKind.Tolerances; sender: Sender; tolerances: ToleranceUpdate[]};

/** How long work usually takes at a backend server that states it: the key of the backend server, the percentage of the usual time, and how long ago a daemon determined it, in milliseconds. A tuple takes a third of the bytes of an object with named fields. */
export type PaceUpdate = [backend: number, percent: number, ageMs: number];

/** The usual paces of backend servers. */
export type PaceList = {kind: FleetMessageKind.Paces; sender: Sender; paces: PaceUpdate[]};

/** A daemon's use of the slots of a backend server that fails under overload, and the further ones that it asks for. */
export type SlotClaim = {
	kind: FleetMessageKind.SlotClaim;
	sender: Sender;
	/** Key of the backend server, and the number of its slots. */
	backend: number;
	slots: number;
	/** Grows with each claim since the sender's start. */
	sequence: number;
	/** Requests that the sender has there. */
	running: number;
	/** How long each request that it gave up may still occupy the backend server, in milliseconds. */
	lingeringMs: number[];
	/** Time after which all running ones must have ended, in milliseconds. */
	untilMs: number;
	/** Ids of the requests for slots that are not decided on. */
	pending: number[];
	/** Requests that the backend server has refused since the sender's start. */
	refusals: number;
	/** Requests that it said it runs and queues, if it has said so since the last claim. */
	load: number | undefined;
};

/** The decision on the slots that a claim asks for. */
export type SlotDecision = {
	kind: FleetMessageKind.SlotDecision;
	sender: Sender;
	backend: number;
	granted: number[];
	denied: number[];
	/** Time after which the receiver may ask again if some were denied, in milliseconds. */
	retryAfterMs: number;
};

/** A group of backend servers of a service, which one daemon coordinates. */
export type GroupName = {service: string; failureDomain: string | undefined};

/** Asks the coordinator of a group for a backend server for a request. */
export type AssignmentRequestMessage = {
	kind: FleetMessageKind.AssignmentRequest;
	sender: Sender;
	group: GroupName;
	request: Omit<AssignmentRequest, keyof AssignmentId> & {id: number};
};

/** What a coordinator decided on requests of the receiver. */
export type AssignmentDecisionMessage = {
	kind: FleetMessageKind.AssignmentDecision;
	sender: Sender;
	group: GroupName;
	decisions: AssignmentAnswer[];
	/** Ids of requests on which the sender does not decide, since it is not the coordinator, or not yet. */
	declined: number[];
	/** The wait that a request of a priority would meet now, in milliseconds; undefined if it is not stated. */
	wait: {priority: number; ms: number} | undefined;
};

/** Reports the ends of assigned requests. */
export type AssignmentEndMessage = {kind: FleetMessageKind.AssignmentEnd; sender: Sender; group: GroupName; ends: Array<Omit<AssignmentEnd, 'daemon' | 'incarnation'>>};

/** Withdraws requests that wait. */
export type AssignmentWithdrawal = {kind: FleetMessageKind.AssignmentWithdrawal; sender: Sender; group: GroupName; ids: number[]};

/** A roll-out in the phase that the duty holder has committed. */
export type RolloutUpdate = {
	service: string;
	/** Offset of the order's record in the store. */
	orderId: number;
	version: string;
	/** The versions that served when the order arrived. */
	currentVersions: string[];
	/** The versions of earlier orders that were not completed; undefined if there are none. */
	rejectedVersions?: string[];
	phase: string;
	/** How long ago the order arrived, in milliseconds. */
	ageMs: number;
	durationMs: number;
};

/** The roll-outs that are under way or have just ended. */
export type RolloutList = {kind: FleetMessageKind.Rollouts; sender: Sender; rollouts: RolloutUpdate[]};

/** Where a stream began: it can go on only at backend servers of this service and software version. */
export type StreamOrigin = {service: string; version: string};

/** The key of a stream, and where it began. */
export type StreamOriginEntry = [key: number, origin: StreamOrigin];

/** The origins of many streams. */
export type PackedStreamOrigins = {
	origins: Array<[service: string, version: string]>;
	/** Keys of streams and indexes of their origins alternate. */
	streams: number[];
};

/** Streams that the sender serves or has learned of. */
export type StreamOriginList = PackedStreamOrigins & {kind: FleetMessageKind.StreamOrigins; sender: Sender};

/** Asks where a stream began that a client takes up. */
export type StreamOriginQuery = {kind: FleetMessageKind.StreamOriginQuery; sender: Sender; stream: number; service: string};

/** What a daemon knows of the versions at which running streams of a service may have begun. */
export type VersionKnowledge = {
	versions: string[];
	/** Whether it knows those from before its start. */
	hasHistory: boolean;
};

/** Answers a query; the origin is undefined if the sender does not know the stream. */
export type StreamOriginAnswer = {kind: FleetMessageKind.StreamOriginAnswer; sender: Sender; stream: number; origin: StreamOrigin | undefined; knowledge: VersionKnowledge};

/** Any message between serving daemons. */
export type FleetMessage = Report | View | SuspectList | LimitList | ToleranceList | PaceList | SlotClaim | SlotDecision | AssignmentRequestMessage | AssignmentDecisionMessage | AssignmentEndMessage | AssignmentWithdrawal | RolloutList | StreamOriginList | StreamOriginQuery | StreamOriginAnswer;

/** Whether datagrams can be sent to an address: `node:dgram` throws for other ports. */
export function isPeerAddress(value: unknown): value is PeerAddress {
	const {host, port} = (value ?? {}) as Partial<PeerAddress>;
	return typeof host === 'string' && isIPv4(host) && Number.isInteger(port) && port! > 0 && port! <= maxPort;
}

/** Whether the content of a datagram is a message of a daemon; anyone can send a datagram. */
export function isFleetMessage(value: unknown): value is FleetMessage {
	const {kind, sender, relays, suspects, limits, tolerances, paces, rollouts, stream, service, origin, knowledge} = (value ?? {}) as {kind?: FleetMessageKind; sender?: Sender; relays?: unknown; suspects?: unknown; limits?: unknown; tolerances?: unknown; paces?: unknown; rollouts?: unknown; stream?: unknown; service?: unknown; origin?: unknown; knowledge?: unknown};
	if (typeof sender?.name !== 'string' || !isPeerAddress(sender.address)) {
		return false;
	}

	return kind === FleetMessageKind.Report || (kind === FleetMessageKind.View && isNamedAddresses(relays))
		|| (kind === FleetMessageKind.Suspects && isSuspectUpdates(suspects)) || (kind === FleetMessageKind.Limits && isLimitUpdates(limits))
		|| (kind === FleetMessageKind.Tolerances && isToleranceUpdates(tolerances))
		|| (kind === FleetMessageKind.Paces && isPaceUpdates(paces))
		|| (kind === FleetMessageKind.SlotClaim && isSlotClaim(value)) || (kind === FleetMessageKind.SlotDecision && isSlotDecision(value))
		|| isAssignmentMessage(kind, value)
		|| (kind === FleetMessageKind.Rollouts && isRolloutUpdates(rollouts))
		|| (kind === FleetMessageKind.StreamOrigins && isPackedStreamOrigins(value))
		|| (kind === FleetMessageKind.StreamOriginQuery && Number.isSafeInteger(stream) && typeof service === 'string')
		|| (kind === FleetMessageKind.StreamOriginAnswer && Number.isSafeInteger(stream) && (origin === undefined || isStreamOrigin(origin)) && isVersionKnowledge(knowledge));
}

function isNamedAddresses(value: unknown): value is NamedAddress[] {
	return Array.isArray(value) && (value as Array<Partial<NamedAddress> | undefined>).every(relay => typeof relay?.name === 'string' && isPeerAddress(relay.address));
}

/** Whether a value holds the origins of streams. */
export function isPackedStreamOrigins(value: unknown): value is PackedStreamOrigins {
	const {origins, streams} = (value ?? {}) as Partial<PackedStreamOrigins>;
	return Array.isArray(origins) && origins.every(origin => Array.isArray(origin) && origin.length === 2 && origin.every(part => typeof part === 'string'))
		&& Array.isArray(streams) && streams.length % 2 === 0
		&& streams.every((number, position) => Number.isSafeInteger(number) && number >= 0 && (position % 2 === 0 || number < origins.length));
}

function isStreamOrigin(value: unknown): value is StreamOrigin {
	const {service, version} = (value ?? {}) as Partial<StreamOrigin>;
	return typeof service === 'string' && typeof version === 'string';
}

function isVersionKnowledge(value: unknown): value is VersionKnowledge {
	const {versions, hasHistory} = (value ?? {}) as Partial<VersionKnowledge>;
	return isStringList(versions) && typeof hasHistory === 'boolean';
}

/** Whether a value is a list of roll-outs. */
export function isRolloutUpdates(value: unknown): value is RolloutUpdate[] {
	return Array.isArray(value) && (value as Array<Partial<RolloutUpdate> | undefined>).every(update => typeof update?.service === 'string'
		&& Number.isSafeInteger(update.orderId) && typeof update.version === 'string' && typeof update.phase === 'string'
		&& isStringList(update.currentVersions) && (update.rejectedVersions === undefined || isStringList(update.rejectedVersions))
		&& isNonNegative(update.ageMs) && isNonNegative(update.durationMs));
}

function isStringList(value: unknown): value is string[] {
	return Array.isArray(value) && value.every(item => typeof item === 'string');
}

function isLimitUpdates(value: unknown): value is LimitUpdate[] {
	return Array.isArray(value) && (value as Array<Partial<LimitUpdate> | undefined>).every(update => Number.isSafeInteger(update?.backend)
		&& isNonNegative(update!.ageMs) && (update!.perSecond === undefined || isNonNegative(update!.perSecond)));
}

function isToleranceUpdates(value: unknown): value is ToleranceUpdate[] {
	return Array.isArray(value) && (value as Array<Partial<ToleranceUpdate> | undefined>).every(update => Number.isSafeInteger(update?.backend) && isNonNegative(update!.ageMs)
		&& (update!.refusalsPerSecond === undefined || isNonNegative(update!.refusalsPerSecond)));
}

function isPaceUpdates(value: unknown): value is PaceUpdate[] {
	return Array.isArray(value) && value.every(update => Array.isArray(update) && update.length === 3 && Number.isSafeInteger(update[0]) && isPacePercent(update[1]) && isNonNegative(update[2]));
}

function isSlotClaim(value: unknown): boolean {
	const {backend, slots, sequence, running, lingeringMs, untilMs, pending, refusals, load} = value as Partial<SlotClaim>;
	return Number.isSafeInteger(backend) && [slots, sequence, running, untilMs, refusals].every(number => isNonNegative(number)) && isIntegerList(pending) && isIntegerList(lingeringMs) && (load === undefined || isNonNegative(load));
}

function isSlotDecision(value: unknown): boolean {
	const {backend, granted, denied, retryAfterMs} = value as Partial<SlotDecision>;
	return Number.isSafeInteger(backend) && isIntegerList(granted) && isIntegerList(denied) && isNonNegative(retryAfterMs);
}

/** Whether a value is a valid message of an assignment. */
function isAssignmentMessage(kind: FleetMessageKind | undefined, value: unknown): boolean {
	const {group, request, decisions, declined, wait, ends, ids} = value as {group?: Partial<GroupName>; request?: unknown; decisions?: unknown; declined?: unknown; wait?: {priority?: unknown; ms?: unknown}; ends?: unknown; ids?: unknown};
	if (typeof group?.service !== 'string' || !['string', 'undefined'].includes(typeof group.failureDomain)) {
		return false;
	}

	return (kind === FleetMessageKind.AssignmentRequest && isAssignmentRequest(request))
		|| (kind === FleetMessageKind.AssignmentDecision && isAssignmentAnswers(decisions) && isIntegerList(declined) && (wait === undefined || (isNonNegative(wait.priority) && isNonNegative(wait.ms))))
		|| (kind === FleetMessageKind.AssignmentEnd && isAssignmentEnds(ends))
		|| (kind === FleetMessageKind.AssignmentWithdrawal && isIntegerList(ids));
}

function isIntegerList(value: unknown): value is number[] {
	return Array.isArray(value) && value.every(item => Number.isSafeInteger(item));
}

/** Whether a value is a list of the states of suspected requests. */
export function isSuspectUpdates(value: unknown): value is SuspectUpdate[] {
	return Array.isArray(value) && (value as Array<Partial<SuspectUpdate> | undefined>).every(update => Number.isSafeInteger(update?.fingerprint)
		&& Array.isArray(update!.crashes) && update!.crashes.every(([backend, ageMs]) => Number.isSafeInteger(backend) && isNonNegative(ageMs))
		&& (update!.clearedAgeMs === undefined || isNonNegative(update!.clearedAgeMs)));
}

function isNonNegative(value: unknown): boolean {
	return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}
