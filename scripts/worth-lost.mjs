/**
 * Says where a played day lost worth, from the report of its run: by two-second window, by
 * kind of request, by cause and by price. With --svg FILE it draws the windows of all reports.
 *
 *     node scripts/worth-lost.mjs [--svg FILE] REPORT.json...
 */
import {readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {parseArgs} from 'node:util';

/** Prices below this share of the day's worth are left out. */
const leastPrice = 0.002;
/** Windows shown, the worst first; the two worst count for the score. */
const shownWindows = 6;

const {values: {svg}, positionals: files} = parseArgs({options: {svg: {type: 'string'}}, allowPositionals: true});
const reports = files.map(file => ({name: path.basename(file, '.json'), report: JSON.parse(readFileSync(file, 'utf8'))}));

function print(line) {
	process.stdout.write(`${line}\n`);
}

/** One row of a table: name, requests, what became of them, worth. */
function row({
	name, n, in_aim: onTime, late, refused, failed, not_owed: notOwed, worth, p50_ms: medianMs,
}) {
	return [String(name).padEnd(14), ...[n, onTime, late, refused, failed, notOwed].map(count => String(count).padStart(7)), worth.toFixed(3).padStart(7), `${Math.round(medianMs)} ms`.padStart(9)].join(' ');
}

const head = `${''.padEnd(14)}   asked on time    late refused  failed notOwed   worth    median`;

for (const {name, report} of reports) {
	print(`${name}: worth ${report.G}, served ${report.served}; ${report.parts.map(([part, weight, worth]) => `${part} ${worth} (weight ${weight})`).join(', ')}`);
	print(`worst windows, from second\n${head}`);
	for (const window of report.windows.toSorted((a, b) => a.worth - b.worth).slice(0, shownWindows)) {
		print(row(window));
	}

	print(`kinds of request\n${head}`);
	for (const kind of report.classes) {
		print(row(kind));
	}

	print(`not served, by the last answer: ${report.unserved_by.map(([cause, count]) => `${cause}: ${count}`).join(', ')}`);
	print(`prices: ${report.prices.map(price => [price[0], price[2]]).filter(([, share]) => share >= leastPrice).toSorted((a, b) => b[1] - a[1]).map(([price, share]) => `${price} ${share}`).join(', ')}\n`);
}

/** Draws the worth of every window, a line a report. */
async function draw(file) {
	const [vega, vegaLite] = await Promise.all([import('vega'), import('vega-lite')]);
	const values = reports.flatMap(({name, report}) => report.windows.map(window => ({day: name, second: Number(window.name), worth: window.worth})));
	const {spec} = vegaLite.compile({
		width: 720,
		height: 260,
		data: {values},
		mark: {type: 'line', point: true},
		encoding: {
			x: {field: 'second', type: 'quantitative', title: 'seconds from the start of traffic'},
			y: {field: 'worth', type: 'quantitative', title: 'worth earned of worth owed'},
			color: {field: 'day', type: 'nominal'},
		},
	});
	writeFileSync(file, await new vega.View(vega.parse(spec), {renderer: 'none'}).toSVG());
}

if (svg) {
	await draw(svg);
}
