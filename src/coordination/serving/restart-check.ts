/** Tells whether the list of backend servers shows an earlier start of a backend server than the one that answers: it may be of another version by now. */
import {type EngineClient} from '../../protocol/platform.js';
import {type Backend} from '../../protocol/serving.js';

/** Whether a backend server states another start time than the list; false if either states none. */
export async function hasRestarted(engines: Pick<EngineClient, 'readStartTime'>, backend: Backend, signal: AbortSignal): Promise<boolean> {
	if (backend.startedAtMs === undefined) {
		return false;
	}

	const startedAtMs = await engines.readStartTime(backend, signal);
	return startedAtMs !== undefined && startedAtMs !== backend.startedAtMs;
}
