import {Writable} from 'node:stream';
import {describe, expect, it} from 'vitest';
import {LogOutput} from '../log-output.js';

/** Creates an output whose reader reads everything or nothing. */
function createOutput(isRead: boolean): {output: Writable; lines: string[]} {
	const lines: string[] = [];
	const output = new Writable({
		write(chunk: Uint8Array, _encoding, done) {
			lines.push(chunk.toString());
			if (isRead) {
				done();
			}
		},
	});
	return {output, lines};
}

describe('LogOutput', () => {
	it('drops lines beyond its rate limit and logs how many', () => {
		const {output, lines} = createOutput(true);
		const log = new LogOutput(output);
		for (let index = 0; index < 1000; index++) {
			log.write('line', 0);
		}

		log.write('later', 60_000);
		expect(lines.length).toBe(402);
		expect(lines.at(-2)).toContain('"dropped":600');
	});

	it('buffers a bounded amount when nothing is read', () => {
		const {output} = createOutput(false);
		const log = new LogOutput(output);
		for (let index = 0; index < 10_000; index++) {
			log.write('x'.repeat(1000), index * 1000);
		}

		expect(output.writableLength).toBeLessThan(300_000);
	});

	it.each([
		{name: 'writes all lines before it closes', isRead: true, written: 3},
		{name: 'closes without a reader', isRead: false, written: 1},
	])('$name', async ({isRead, written}) => {
		const {output, lines} = createOutput(isRead);
		const log = new LogOutput(output);
		for (let index = 0; index < 3; index++) {
			log.write('line', 0);
		}

		await log.close(50);
		log.write('later', 60_000);
		expect(output.destroyed).toBe(true);
		expect(lines).toHaveLength(written);
	});
});
