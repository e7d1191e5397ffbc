/**
 * Limits on what the clients of one listener take together, whatever they send. The defaults
 * follow from the memory and the descriptors of the VM, so that all of them together fit into
 * it beside the process itself.
 */
import {type MachineLimits} from '../protocol/platform.js';

/** The limits of one listener. */
export type ConnectionLimits = {
	/** Connections open at once. */
	maxConnections: number;
	/** Requests of one connection whose answers it has not received completely; further ones are not read meanwhile. */
	maxRequestsAhead: number;
	/** Requests of all connections beyond the first of each. */
	maxTotalAhead: number;
	/** Connections at once that have more requests to read than they may have ahead; beyond it, the first ones are closed after their answers. */
	maxWaiting: number;
	/** Bytes of heads and bodies of all requests that have not been answered. */
	maxReceivedBytes: number;
	/** Bytes of all answers that clients have not read. */
	maxUnreadBytes: number;
	/** Time after which a connection is closed whose client does not read its answer, in milliseconds. */
	unreadTimeoutMs: number;
};

/** The limits of a machine whose settings state none: the smallest VM of the known deployments. */
export const defaultMachineLimits: MachineLimits = {memoryMegabytes: 210, maxDescriptors: 3075};

/** Descriptors reserved for files. */
const fileDescriptors = 200;
/** Share of the others that clients may take; the rest is for backend servers, other daemons and the store. */
const clientDescriptorShare = 0.6;
/** Connections of clients for each megabyte of memory. */
const connectionsPerMegabyte = 4;
/** Requests of one connection that are read ahead; HTTP clients rarely send more than one before its answer. */
const maxRequestsAhead = 4;
/** Requests that are read ahead of all connections, for each megabyte of memory. */
const aheadPerMegabyte = 2;
/** Share of the connections that may have more to read. */
const waitingShare = 0.125;
/** Shares of the memory for requests that are being received or served, and for answers that clients have not read. */
const receivedShare = 0.125;
const unreadShare = 0.1;
/** Time after which an unread answer is dropped where the configuration states none, in milliseconds. */
const defaultUnreadTimeoutMs = 15_000;
/** Share of the descriptors, and limits, of a listener that serves monitoring, whose clients are few. */
const monitoringDescriptorShare = 0.08;
const monitoringReceivedBytes = 1024 * 1024;
const monitoringUnreadBytes = 4 * 1024 * 1024;
const bytesPerMegabyte = 1024 * 1024;

/** Returns the limits of a listener for clients. */
export function clientListenerLimits({memoryMegabytes, maxDescriptors}: MachineLimits): ConnectionLimits {
	const maxConnections = Math.max(1, Math.floor(Math.min(memoryMegabytes * connectionsPerMegabyte, (maxDescriptors - fileDescriptors) * clientDescriptorShare)));
	return {
		maxConnections,
		maxRequestsAhead,
		maxTotalAhead: Math.ceil(memoryMegabytes * aheadPerMegabyte),
		maxWaiting: Math.ceil(maxConnections * waitingShare),
		maxReceivedBytes: memoryMegabytes * bytesPerMegabyte * receivedShare,
		maxUnreadBytes: memoryMegabytes * bytesPerMegabyte * unreadShare,
		unreadTimeoutMs: defaultUnreadTimeoutMs,
	};
}

/** Returns the limits of a listener for monitoring: readiness checks, metrics and state. */
export function monitoringListenerLimits({maxDescriptors}: MachineLimits): ConnectionLimits {
	const maxConnections = Math.max(1, Math.floor((maxDescriptors - fileDescriptors) * monitoringDescriptorShare));
	return {
		maxConnections,
		maxRequestsAhead: 1,
		maxTotalAhead: 0,
		maxWaiting: maxConnections,
		maxReceivedBytes: monitoringReceivedBytes,
		maxUnreadBytes: monitoringUnreadBytes,
		unreadTimeoutMs: defaultUnreadTimeoutMs,
	};
}

/** Bytes of requests that other daemons may send together: a dozen of the longest bodies of the known deployments. */
const internalReceivedBytes = 48 * 1024 * 1024;

/** The limits of a listener that only this system's own processes reach. */
export const internalListenerLimits: ConnectionLimits = {
	maxConnections: Number.POSITIVE_INFINITY,
	maxRequestsAhead: Number.POSITIVE_INFINITY,
	maxTotalAhead: Number.POSITIVE_INFINITY,
	maxWaiting: Number.POSITIVE_INFINITY,
	maxReceivedBytes: internalReceivedBytes,
	maxUnreadBytes: Number.POSITIVE_INFINITY,
	unreadTimeoutMs: Number.POSITIVE_INFINITY,
};
