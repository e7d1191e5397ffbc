/**
 * Finds the version at which a stream began that a client takes up: from this daemon's memory,
 * from the only version that serves, from other daemons, and at last from the store. A stream
 * whose version stays unknown must not go on, since it would join the output of two versions.
 *
 * A daemon that knows one version only may have missed another one at which the stream began. So
 * it reads the list of backend servers again, or has most of the daemons that it asks agree.
 */
import {type StreamOrigin, type VersionKnowledge} from '../../protocol/fleet-messages.js';
import {type SteadyClock} from '../../clock.js';
import {type StreamOriginExchange} from './stream-origin-exchange.js';
import {type StreamOriginRecord} from './stream-origin-record.js';
import {computeStreamKey, type StreamOrigins} from './stream-origins.js';
import {findOnlyVersion, type ServiceVersions} from './service-versions.js';

/** How long a daemon that has just started waits for the record of the versions that served before, in milliseconds. */
const versionsReadWaitMs = 400;
/** Share of the daemons that were asked which must agree that a version is the only one, if the list of backend servers cannot be read. */
const minAgreeingShare = 0.5;

/** Where the version of a stream is known from. */
export enum OriginSource {
	Memory = 'memory',
	/** No other version has served lately. */
	OnlyVersion = 'only version',
	OtherDaemon = 'other daemon',
	Store = 'store',
	Unknown = 'unknown',
}

/** The result of a lookup. */
export type FoundOrigin = {origin: StreamOrigin; source: Exclude<OriginSource, OriginSource.Unknown>} | {origin: undefined; source: OriginSource.Unknown};

/** A stream that a client takes up. */
export type ResumedStream = {
	account: string | undefined;
	service: string;
	/** The client's attempt that began it; undefined if the client does not name it. */
	requestId: string | undefined;
};

/** What a {@link StreamOriginLookup} depends on. */
export type StreamOriginLookupDependencies = {
	origins: StreamOrigins;
	versions: ServiceVersions;
	exchange: Pick<StreamOriginExchange, 'ask'>;
	record: StreamOriginRecord;
	clock: SteadyClock;
	/** Reads what the list of backend servers lacks; returns whether it is then complete as of a moment after the call. */
	refreshBackends: () => Promise<boolean>;
};

/** Finds where streams began. */
export class StreamOriginLookup {
	constructor(private readonly dependencies: StreamOriginLookupDependencies) {}

	async find({account, service, requestId}: ResumedStream): Promise<FoundOrigin> {
		const {origins, exchange, record, clock} = this.dependencies;
		const key = computeStreamKey(account, requestId ?? '');
		const remembered = origins.originOf(key, clock.now());
		if (remembered) {
			return {origin: remembered, source: OriginSource.Memory};
		}

		await record.isVersionsRead.wait(versionsReadWaitMs);
		const isRefreshed = this.findOnlyVersion(service, [], true) !== undefined && await this.dependencies.refreshBackends();
		const onlyVersion = this.findOnlyVersion(service, [], isRefreshed);
		if (onlyVersion !== undefined) {
			return {origin: {service, version: onlyVersion}, source: OriginSource.OnlyVersion};
		}

		const {answers, asked} = await exchange.ask(key, service);
		const origin = answers.find(answer => answer.origin)?.origin;
		if (origin) {
			origins.learn([[key, origin]], false, clock.now());
			return {origin, source: OriginSource.OtherDaemon};
		}

		const agreedVersion = this.findOnlyVersion(service, answers.map(({knowledge}) => knowledge), isRefreshed || (answers.length > 0 && answers.length >= asked * minAgreeingShare));
		if (agreedVersion !== undefined) {
			return {origin: {service, version: agreedVersion}, source: OriginSource.OnlyVersion};
		}

		await record.restoreStreams();
		const stored = origins.originOf(key, clock.now());
		return stored ? {origin: stored, source: OriginSource.Store} : {origin: undefined, source: OriginSource.Unknown};
	}

	private findOnlyVersion(service: string, others: VersionKnowledge[], isConfirmed: boolean): string | undefined {
		const {versions, clock} = this.dependencies;
		return findOnlyVersion(versions.knowledge(service, clock.now()), others, isConfirmed);
	}
}
