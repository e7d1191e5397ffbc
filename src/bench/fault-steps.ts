/**
 * Runs the fault steps of an experiment.
 */
import process from 'node:process';
import {requestJson} from '../transport/http-client.js';
import {FaultAction, type FaultStep} from './experiment.js';

/** Runs one fault step. An error is returned, not thrown, so that the experiment continues. */
export async function runFaultStep(step: FaultStep): Promise<{error?: string}> {
	const signalsByAction: Partial<Record<FaultAction, NodeJS.Signals>> = {
		[FaultAction.Kill]: 'SIGKILL',
		[FaultAction.Stop]: 'SIGSTOP',
		[FaultAction.Continue]: 'SIGCONT',
		[FaultAction.Terminate]: 'SIGTERM',
	};
	try {
		const signalName = signalsByAction[step.action];
		if (signalName !== undefined) {
			process.kill(step.pid!, signalName);
		} else if (step.action === FaultAction.SetFaults) {
			await requestJson({method: 'POST', url: `${step.url!}/admin/faults`, payload: step.faults ?? {}});
		} else if (step.action === FaultAction.Reclaim) {
			await requestJson({method: 'POST', url: `${step.url!}/admin/reclaim`, payload: {failureDomain: step.failureDomain}});
		}

		return {};
	} catch (error) {
		return {error: String(error)};
	}
}
