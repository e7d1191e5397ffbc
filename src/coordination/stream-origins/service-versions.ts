/**
 * Which software versions of a service may have begun the streams that are still running. As
 * long as it is one only, every stream goes on there, and nothing about single streams has to
 * be remembered.
 *
 * A daemon that has just started does not know which versions served before it. It learns that
 * from the record that the duty holder keeps in the platform's store.
 */
import {type FirstStart} from '../first-start.js';
import {type BackendTable} from '../../state/backend-table.js';
import {type VersionKnowledge} from '../../protocol/fleet-messages.js';

/** How long a daemon must have run until no stream is left that began before its start, in milliseconds. */
const historyMs = 60_000;

/** What a {@link ServiceVersions} depends on. */
export type ServiceVersionsDependencies = {
	backends: BackendTable;
	startedAtMs: number;
	firstStart: Pick<FirstStart, 'isConfirmed'>;
};

/** The versions of each service, as this daemon knows them. */
export class ServiceVersions {
	/** The versions that served before this daemon started, by service; undefined until they are read. */
	private earlier: ReadonlyMap<string, readonly string[]> | undefined;

	constructor(private readonly dependencies: ServiceVersionsDependencies) {}

	/** Records which versions served before this daemon started. */
	restore(versions: Record<string, string[]>): void {
		this.earlier = new Map(Object.entries(versions));
	}

	/** Whether a version of a service was listed before this daemon started. */
	wasListedBefore(service: string, version: string): boolean {
		return this.earlier?.get(service)?.includes(version) === true;
	}

	/** Returns the versions at which running streams of a service may have begun. */
	known(service: string, nowMs: number): ReadonlySet<string> {
		const listed = this.dependencies.backends.versionsOf(service);
		return this.isHistoryNeeded(nowMs) ? new Set([...listed, ...this.earlier?.get(service) ?? []]) : listed;
	}

	/** Whether streams of a service may have begun at different versions. */
	isMixed(service: string, nowMs: number): boolean {
		return this.known(service, nowMs).size > 1;
	}

	/** What this daemon knows of a service's versions, for itself and for others. */
	knowledge(service: string, nowMs: number): VersionKnowledge {
		return {
			versions: [...this.known(service, nowMs)],
			hasHistory: !this.isHistoryNeeded(nowMs) || this.earlier?.has(service) === true || this.dependencies.firstStart.isConfirmed,
		};
	}

	/** Returns the versions at which running streams may have begun, by service, for the record in the store. */
	all(nowMs: number): Record<string, string[]> {
		const services = new Set([...this.dependencies.backends.services(), ...this.isHistoryNeeded(nowMs) ? this.earlier?.keys() ?? [] : []]);
		return Object.fromEntries([...services].toSorted().map(service => [service, [...this.known(service, nowMs)].toSorted()]));
	}

	/** Whether this daemon knows the versions that served before it started, as far as streams may still run that began there. */
	hasHistory(nowMs: number): boolean {
		return this.earlier !== undefined || this.dependencies.firstStart.isConfirmed || !this.isHistoryNeeded(nowMs);
	}

	private isHistoryNeeded(nowMs: number): boolean {
		return nowMs - this.dependencies.startedAtMs < historyMs;
	}
}

/**
 * Returns the only version at which streams of a service may have begun, by what this daemon
 * and those that answered it know; undefined if there may be several.
 *
 * @param isConfirmed Whether no version can have been missed that served before the stream was taken up.
 */
export function findOnlyVersion(own: VersionKnowledge, others: VersionKnowledge[], isConfirmed: boolean): string | undefined {
	const all = [own, ...others];
	const versions = new Set(all.flatMap(knowledge => knowledge.versions));
	return versions.size === 1 && isConfirmed && all.some(({hasHistory}) => hasHistory) ? [...versions][0] : undefined;
}
