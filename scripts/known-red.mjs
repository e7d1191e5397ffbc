// Judges a test run by KNOWN-RED.txt: it passes if every failed test is listed there, and
// prints those. A listed test that passes fails the run too, so that its line goes with its fault.
import process from 'node:process';
import {existsSync, readFileSync} from 'node:fs';

const [reportFile] = process.argv.slice(2);
const report = JSON.parse(readFileSync(reportFile, 'utf8'));
const lines = existsSync('KNOWN-RED.txt') ? readFileSync('KNOWN-RED.txt', 'utf8').split('\n').filter(line => line.includes(' | ')) : [];
const known = new Map(lines.map(line => [line.split(' | ')[0], line]));
const tests = report.testResults.flatMap(file => file.assertionResults);
const failed = new Set(tests.filter(test => test.status === 'failed').map(test => test.fullName));
const unlisted = [...failed].filter(name => !known.has(name));
const mended = [...known.keys()].filter(name => !failed.has(name));
// A file that failed to load has no tests to name.
const broken = report.testResults.filter(file => file.status === 'failed' && file.assertionResults.every(test => test.status !== 'failed')).map(file => file.name);

for (const name of failed) {
	process.stdout.write(`${known.has(name) ? 'known red' : 'FAILED'}: ${known.get(name) ?? name}\n`);
}

for (const name of mended) {
	process.stdout.write(`listed in KNOWN-RED.txt and not failing: ${name}\n`);
}

for (const name of broken) {
	process.stdout.write(`did not run: ${name}\n`);
}

process.stdout.write(`${tests.length - failed.size} passed, ${unlisted.length + mended.length + broken.length} failed\n`);
process.exitCode = unlisted.length + mended.length + broken.length > 0 || tests.length === 0 ? 1 : 0;
