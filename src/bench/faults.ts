/**
 * The fault steps of an experiment.
 */
import process from 'node:process';
import {requestJson} from '../transport/http-client.js';
import {FaultAction, type FaultStep} from './experiment.js';

/** Carries out one step; an error is reported, not thrown, so that the run goes on. */
export async function applyFault(step: FaultStep): Promise<{error?: string}> {
	const signals: Partial<Record<FaultAction, NodeJS.Signals>> = {
		[FaultAction.Kill]: 'SIGKILL',
		[FaultAction.Stop]: 'SIGSTOP',
		[FaultAction.Continue]: 'SIGCONT',
		[FaultAction.Terminate]: 'SIGTERM',
	};
	try {
		const name = signals[step.action];
		if (name !== undefined) {
			process.kill(step.pid!, name);
		} else if (step.action === FaultAction.Switch) {
			await requestJson({method: 'POST', url: `${step.url!}/admin/faults`, payload: step.faults ?? {}});
		} else if (step.action === FaultAction.Reclaim) {
			await requestJson({method: 'POST', url: `${step.url!}/admin/reclaim`, payload: {failureDomain: step.failureDomain}});
		}

		return {};
	} catch (error) {
		return {error: String(error)};
	}
}
