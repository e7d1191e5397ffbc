/**
 * `sesametally bench`: runs an experiment file and prints a summary; the JSON
 * report goes to `--out` when given.
 */
import process from 'node:process';
import {writeFileSync} from 'node:fs';
import {loadExperiment} from '../../bench/experiment.js';
import {runExperiment, summarize} from '../../bench/run.js';

/**
 * Runs one experiment.
 *
 * @throws {ProtocolError} When the experiment file fails its schema.
 */
export async function runBench(experimentFile: string, out: string | undefined, signal: AbortSignal): Promise<void> {
	const report = await runExperiment(loadExperiment(experimentFile), signal);
	if (out !== undefined) {
		writeFileSync(out, JSON.stringify(report, undefined, 2));
	}

	process.stdout.write(summarize(report) + '\n');
}
