/**
 * Guards against a gateway that takes ever more memory, and answers nobody, since callers send
 * more than the limits allow and never read their answers.
 */
import {Buffer} from 'node:buffer';
import {type ChildProcess} from 'node:child_process';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {
	ClientCrowd, type CrowdOptions, isRunning, repeatText,
} from '../../testing/client-crowd.js';
import {buildSmallTopology, startTestStack} from '../../testing/stack.js';
import {requestJson} from '../../transport/http-client.js';

const basePort = 21_900;
/** The memory and the descriptors of a gateway whose settings state none. */
const memoryMegabytes = 512;
const maxDescriptors = 4096;
const crowdMs = 6000;
const apiKey = 'coop-trading-desk-key';
const authorization = `Bearer ${apiKey}`;
const completion = JSON.stringify({model: 'desk', prompt: 'price the cathode lot', max_tokens: 4});
const head = `Host: h\r\nAuthorization: ${authorization}\r\nContent-Type: application/json\r\n`;
const maxBodyBytes = 8 * 1024 * 1024;
const manyValues = `[${'[],'.repeat(2_700_000)}[]]`;

const crowds: Array<{name: string; crowd: Omit<CrowdOptions, 'port'>}> = [
	{name: 'requests for its readiness', crowd: {connections: 100, repeated: repeatText('GET /ready HTTP/1.1\r\nHost: h\r\n\r\n')}},
	{name: 'requests for the models', crowd: {connections: 100, repeated: repeatText(`GET /v1/models HTTP/1.1\r\n${head}\r\n`)}},
	{name: 'requests without headers', crowd: {connections: 100, repeated: repeatText('GET / HTTP/1.1\r\n\r\n')}},
	{name: 'completions', crowd: {connections: 100, repeated: repeatText(`POST /v1/completions HTTP/1.1\r\n${head}Content-Length: ${completion.length}\r\n\r\n${completion}`)}},
	{
		name: 'bodies that lack their last byte',
		crowd: {
			connections: 100, first: `POST /v1/completions HTTP/1.1\r\n${head}Content-Length: ${maxBodyBytes}\r\n\r\n`, repeated: repeatText('x'), totalBytes: maxBodyBytes - 1,
		},
	},
	{
		name: 'bodies far over the limit in chunks of one byte',
		crowd: {connections: 60, first: `POST /v1/completions HTTP/1.1\r\n${head}Transfer-Encoding: chunked\r\n\r\n`, repeated: repeatText('1\r\nx\r\n')},
	},
	{name: 'bodies of millions of values', crowd: {connections: 20, repeated: Buffer.from(`POST /v1/completions HTTP/1.1\r\n${head}Content-Length: ${manyValues.length}\r\n\r\n${manyValues}`)}},
	{
		name: 'bodies of millions of values without a key',
		crowd: {connections: 20, repeated: Buffer.from(`POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nContent-Length: ${manyValues.length}\r\n\r\n${manyValues}`)},
	},
];

let stack: Awaited<ReturnType<typeof startTestStack>>;
let gateway: ChildProcess;
let crowd: ClientCrowd;

beforeEach(async () => {
	stack = await startTestStack(buildSmallTopology(basePort, {gateways: 1}));
	gateway = stack.running.children.find(({name}) => name === 'gateway-0')!.child;
}, 30_000);

afterEach(async () => {
	crowd.close();
	gateway.kill('SIGKILL');
	await stack.running.stop();
});

describe('a gateway whose callers never read their answers', () => {
	it.each(crowds)('survives $name, sent ahead', async ({crowd: options}) => {
		const [{port, url}] = stack.gateways;
		crowd = new ClientCrowd({port, ...options});
		const peaks = await crowd.play(gateway, crowdMs);
		expect(isRunning(gateway)).toBe(true);
		expect(peaks.megabytes).toBeLessThan(memoryMegabytes);
		expect(peaks.descriptors).toBeLessThan(maxDescriptors);
		const {statusCode} = await requestJson({
			method: 'POST', url: `${url}/v1/completions`, payload: JSON.parse(completion) as Record<string, unknown>, headers: {authorization}, timeoutMs: 20_000,
		});
		expect(statusCode).toBe(200);
	}, 60_000);
});
