/** A part of a prompt that crashes replicas, answers without length, and daemons that receive most requests; and the check that few requests with the part reach replicas once they have crashed. */
import {promptPartIds, type ReplicaStandin, UnframedEnd} from '../platform/__tests__/standins.js';
import {type RequestRecord} from './clients.js';
import {type SoakCluster, type SoakDaemon} from './cluster.js';

/** The part that crashes replicas, and the first part of all prompts. */
export const fatalPart = 'bad0';
export const firstPart = 'aa01';
/** Crashes after which few requests with the part may reach replicas, and how many those are. */
const crashesUntilRefused = 5;
const maxLaterRequests = 3;
/** Time without a disturbance of a daemon from which the bound holds, in milliseconds. */
const contactMs = 3000;

/** Fewest sound requests by which their share is judged. */
const minSoundRequests = 20;

/** A fault: `begin` injects it, `end` removes it. */
type PromptFault = {name: string; begin: () => void; end: () => void};

/** Returns the faults of runs with prompts. */
export function promptFaults(cluster: SoakCluster, replica: ReplicaStandin, daemon: SoakDaemon): Array<() => PromptFault> {
	if (!cluster.options.hasPrompts) {
		return [];
	}

	const answerWithoutLength = () => ({
		name: `replica ${replica.id} answers without length`,
		begin() {
			replica.unframedEnd = UnframedEnd.Complete;
		},
		end() {
			replica.unframedEnd = undefined;
		},
	});
	const floodDaemon = () => ({
		name: `${daemon.host} receives most requests`,
		begin() {
			cluster.floodedDaemon = daemon;
		},
		end() {
			cluster.floodedDaemon = undefined;
		},
	});
	return [answerWithoutLength, answerWithoutLength, floodDaemon, floodDaemon];
}

/** Checks that few requests with the part reach replicas from daemons in contact, once it has crashed several and every daemon has had time to know, and that sound requests are not refused for it. */
export function findPromptViolations(cluster: SoakCluster, fatal: RequestRecord[], sound: RequestRecord[]): string[] {
	const received = cluster.replicas.flatMap(replica => replica.received).filter(({headers}) => promptPartIds(headers).includes(fatalPart)).toSorted((a, b) => a.atMs - b.atMs);
	const lastCrashMs = received.at(crashesUntilRefused - 1)?.atMs ?? Number.POSITIVE_INFINITY;
	const recordById = new Map(fatal.map(record => [record.id, record]));
	const later = received.filter(({id, atMs}) => atMs > lastCrashMs + contactMs && wasInContact(cluster, recordById.get(id)!, atMs));
	const soundLater = sound.filter(record => record.sentAtMs > lastCrashMs + (2 * contactMs) && wasInContact(cluster, record, record.sentAtMs));
	const refused = soundLater.filter(record => isQuarantined(record));
	return [
		...(later.length > maxLaterRequests ? [`requests with the part that crashes replicas were sent to ${later.length} more replicas after they should have been refused, ${received.length} in all`] : []),
		...(soundLater.length >= minSoundRequests && refused.length > soundLater.length / 2 ? [`${refused.length} of ${soundLater.length} sound requests were refused for the crashes`] : []),
	];
}

/** Whether a request was refused for crashes of replicas. */
export function isQuarantined({status, body}: RequestRecord): boolean {
	return status === 503 && body.includes('crashed under');
}

function wasInContact({daemons}: SoakCluster, {host}: RequestRecord, atMs: number): boolean {
	const {disturbedAtMs} = daemons.find(daemon => daemon.host === host)!;
	return disturbedAtMs.every(disturbed => disturbed > atMs || atMs - disturbed > contactMs);
}
