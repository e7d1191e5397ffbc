// Sets the exit code of a test run by KNOWN-RED.txt, which lists the tests that are known to fail: the run passes if
// every failed test is listed there. The listed tests are printed. A listed test that passes fails the run as well, so
// that its line is removed together with the fault, unless the line ends with "intermittent".
// Usage: node scripts/known-red.mjs VITEST_REPORT.json
import process from 'node:process';
import {existsSync, readFileSync} from 'node:fs';

const intermittentMark = ' | intermittent';
const [reportFile] = process.argv.slice(2);
const report = JSON.parse(readFileSync(reportFile, 'utf8'));
const knownLines = existsSync('KNOWN-RED.txt') ? readFileSync('KNOWN-RED.txt', 'utf8').split('\n').filter(line => line.includes(' | ')) : [];
const lineByTestName = new Map(knownLines.map(line => [line.split(' | ')[0], line]));
const tests = report.testResults.flatMap(file => file.assertionResults);
const failed = new Set(tests.filter(test => test.status === 'failed').map(test => test.fullName));
const unlisted = [...failed].filter(name => !lineByTestName.has(name));
const passed = new Set(tests.filter(test => test.status === 'passed').map(test => test.fullName));
const notFailing = [...lineByTestName.keys()].filter(name => !failed.has(name));
const passedThisTime = notFailing.filter(name => passed.has(name) && lineByTestName.get(name).endsWith(intermittentMark));
const noLongerFailing = notFailing.filter(name => !passedThisTime.includes(name));
// A test file that failed to load has no failed tests in the report.
const failedFiles = report.testResults.filter(file => file.status === 'failed' && file.assertionResults.every(test => test.status !== 'failed')).map(file => file.name);

for (const name of failed) {
	process.stdout.write(`${lineByTestName.has(name) ? 'known red' : 'FAILED'}: ${lineByTestName.get(name) ?? name}\n`);
}

for (const name of passedThisTime) {
	process.stdout.write(`intermittent, passed this time: ${lineByTestName.get(name)}\n`);
}

for (const name of noLongerFailing) {
	process.stdout.write(`listed in KNOWN-RED.txt and not failing: ${name}\n`);
}

for (const name of failedFiles) {
	process.stdout.write(`did not run: ${name}\n`);
}

process.stdout.write(`${tests.length - failed.size} passed, ${unlisted.length + noLongerFailing.length + failedFiles.length} failed\n`);
process.exitCode = unlisted.length + noLongerFailing.length + failedFiles.length > 0 || tests.length === 0 ? 1 : 0;
