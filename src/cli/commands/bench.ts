/**
 * `sesametally bench`: runs the experiment of a JSON file and prints a summary; `--out`
 * also writes the report as JSON.
 */
import process from 'node:process';
import {writeFileSync} from 'node:fs';
import {loadExperiment} from '../../bench/experiment.js';
import {runExperiment, formatSummary} from '../../bench/experiment-runner.js';

/**
 * Runs one experiment.
 *
 * @throws {ProtocolError} When the experiment file does not match its schema.
 */
export async function runBench(experimentFile: string, out: string | undefined, signal: AbortSignal): Promise<void> {
	const report = await runExperiment(loadExperiment(experimentFile), signal);
	if (out !== undefined) {
		writeFileSync(out, JSON.stringify(report, undefined, 2));
	}

	process.stdout.write(formatSummary(report) + '\n');
}
