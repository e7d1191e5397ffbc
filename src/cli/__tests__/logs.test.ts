import {spawn} from 'node:child_process';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {describe, expect, it} from 'vitest';

const dir = mkdtempSync(path.join(tmpdir(), 'sesametally-logs-'));

/** Starts a stand-in, reads its first line on standard error, and stops it. */
async function readFirstLogLine(environment: Record<string, string>): Promise<string> {
	const file = path.join(dir, 'log.json');
	writeFileSync(file, JSON.stringify({listen: {host: '127.0.0.1', port: 0}, failureDomain: 'fd-a'}));
	const child = spawn(process.execPath, ['dist/sesametally.cjs', 'standin', 'log', '--config', file], {env: {...process.env, ...environment}, stdio: ['ignore', 'ignore', 'pipe']});
	let text = '';
	child.stderr.setEncoding('utf8');
	child.stderr.on('data', (chunk: string) => {
		text += chunk;
	});
	const deadline = Date.now() + 5000;
	while (!text.includes('\n') && Date.now() < deadline) {
		// eslint-disable-next-line no-await-in-loop
		await new Promise(resolve => {
			setTimeout(resolve, 20);
		});
	}

	child.kill('SIGTERM');
	await new Promise(resolve => {
		child.once('exit', resolve);
	});
	return text.split('\n')[0];
}

describe('logs', () => {
	it.each([
		{name: 'are JSON with a fixed prefix', environment: {SESAMETALLY_LOG: 'on'}, message: 'standin-log: listening.'},
		{name: 'are disabled by SESAMETALLY_LOG=off', environment: {SESAMETALLY_LOG: 'off'}, message: undefined},
	])('$name', async ({environment, message}) => {
		const line = await readFirstLogLine(environment);
		if (message === undefined) {
			expect(line).toBe('');
			return;
		}

		const entry = JSON.parse(line) as {message: string; context: {part: string}};
		expect(entry.message).toBe(message);
		expect(entry.context.part).toBe('standin-log');
	});
});
