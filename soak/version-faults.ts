/** Replicas of several software versions that serve side by side, and the checks that streams keep to the version that began them. */
import {type RequestRecord} from './clients.js';
import {type SoakCluster} from './cluster.js';

/** The versions of the replicas, which take turns. */
export const versions = ['v1', 'v2', 'v3'];
/** Pause between two events of a stream, in milliseconds: streams last long enough to be broken off. */
export const eventPauseMs = 180;
/** Time without a disturbance of a daemon and the store after which the daemon must find where a stream began, in milliseconds. */
const contactMs = 3000;
/** Fewest streams taken up in contact by which their share is judged. */
const minTakenUp = 12;

/** A fault: `begin` injects it. */
type VersionFault = {name: string; begin: () => void};

/** Returns the faults of runs with several versions. */
export function versionFaults(cluster: SoakCluster, index: number): Array<() => VersionFault> {
	if (!cluster.options.hasVersions) {
		return [];
	}

	const killAll = () => ({
		name: 'all daemons SIGKILL',
		begin() {
			for (const daemon of cluster.daemons) {
				daemon.signal('SIGKILL');
			}
		},
	});
	const restartAsOther = () => ({
		name: `replica ${cluster.replicas[index].id} restarts as another version`,
		begin() {
			cluster.restartAsNextVersion(index);
		},
	});
	return [killAll, killAll, restartAsOther, restartAsOther];
}

/** Returns the versions whose events a client received, in the order of their first event. */
function versionsIn({body}: RequestRecord): string[] {
	return [...new Set([...body.matchAll(/^data: (\S+)$/gmv)].map(match => match[1]))];
}

/** The attempts of one stream: the one that began it, and those that took it up. */
function groupStreams(records: RequestRecord[]): RequestRecord[][] {
	const groups = new Map<string, RequestRecord[]>();
	for (const record of records.filter(({kind}) => kind === 'stream' || kind === 'once')) {
		const id = record.resumedId ?? record.id;
		groups.set(id, [...groups.get(id) ?? [], record]);
	}

	return [...groups.values()];
}

/** Whether a daemon had not been disturbed of late when a request was sent to it, nor the store. */
function wasInContact({host, sentAtMs}: RequestRecord, cluster: SoakCluster): boolean {
	const disturbances = [...cluster.daemons.find(daemon => daemon.host === host)?.disturbedAtMs ?? [], ...cluster.storeDisturbedAtMs];
	return disturbances.every(atMs => atMs > sentAtMs || sentAtMs - atMs > contactMs);
}

/** How many attempts in contact took streams up, and how many of them went on; and how many streams were taken up at any time, and how many of these went on in the end. */
export function countTakenUp(records: RequestRecord[], cluster: SoakCluster): {takenUp: number; wentOn: number; streams: number; streamsWentOn: number} {
	const attempts = records.filter(record => record.resumedId !== undefined);
	const takenUp = attempts.filter(record => wasInContact(record, cluster));
	const wentOn = (of: RequestRecord[]) => of.filter(({status}) => status === 200);
	const countStreams = (of: RequestRecord[]) => new Set(of.map(({resumedId}) => resumedId)).size;
	return {
		takenUp: takenUp.length, wentOn: wentOn(takenUp).length, streams: countStreams(attempts), streamsWentOn: countStreams(wentOn(attempts)),
	};
}

/** Checks that no stream holds events of two versions, and that streams that are taken up go on at least half as often as new ones begin. */
export function findVersionViolations(cluster: SoakCluster, records: RequestRecord[]): string[] {
	const crossed = groupStreams(records).filter(attempts => new Set(attempts.flatMap(attempt => versionsIn(attempt))).size > 1);
	const violations = crossed.map(attempts => `${attempts[0].id}: events of ${attempts.map(attempt => `${attempt.id} ${versionsIn(attempt).join('+')}`).join(', ')}`);
	const {takenUp, wentOn} = countTakenUp(records, cluster);
	const begun = records.filter(record => record.kind === 'stream' && record.resumedId === undefined && wasInContact(record, cluster));
	const beginShare = begun.filter(({status}) => status === 200).length / Math.max(1, begun.length);
	if (takenUp >= minTakenUp && wentOn / takenUp < beginShare / 2) {
		violations.push(`${wentOn} of ${takenUp} streams went on that were taken up, ${beginShare.toFixed(2)} of the new ones began`);
	}

	return violations;
}

