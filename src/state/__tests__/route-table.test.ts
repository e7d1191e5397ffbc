import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {RequestKind, type Route, type ServingConfig} from '../../protocol/serving.js';
import {RouteTable} from '../route-table.js';

const route = (name: string, host: string, pathPrefix: string): Route => ({
	name, host, pathPrefix, kind: RequestKind.Idempotent, timeoutMs: 1000, latencyTargetMs: 100, priority: 0, attempts: 2, isPublic: false, isResumable: false, targets: [{service: 's', weight: 1}],
});
const config = (version: number, routes: Route[], keys: string[] = []): ServingConfig => ({
	version,
	routes,
	services: [],
	limits: {
		headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
	},
	accounts: [{
		name: 'a', apiKeys: keys, priority: undefined, ratePerSecond: undefined, burst: 0, countsTokens: false, defaultTokenCost: 1,
	}],
});

describe('RouteTable', () => {
	const table = new RouteTable();
	table.apply(config(7, [route('short', 'h.example', '/a/'), route('long', 'h.example', '/a/b/'), route('other', 'o.example', '/a/')], ['k1']));

	it.each([
		{host: 'h.example', path: '/a/x', expected: 'short'},
		{host: 'h.example', path: '/a/b/x', expected: 'long'},
		{host: 'h.example', path: '/a/b', expected: 'short'},
		{host: 'h.example', path: '/a?x=/a/b/', expected: undefined},
		{host: 'o.example', path: '/a/b/x', expected: 'other'},
		{host: 'n.example', path: '/a/', expected: undefined},
	])('$host$path matches route $expected', ({host, path, expected}) => {
		expect(table.match(host, path)?.name).toBe(expected);
	});

	it('finds the same longest prefix as a scan of all routes, for random routes and paths', () => {
		const segments = fc.array(fc.constantFrom('a', 'b', ''), {maxLength: 5});
		const prefix = segments.map(parts => parts.length === 0 ? '/' : `/${parts.join('/')}/`);
		fc.assert(fc.property(fc.array(prefix, {maxLength: 8}), segments, (prefixes, parts) => {
			const routes = prefixes.map((pathPrefix, index) => route(`r-${index}`, 'h.example', pathPrefix));
			const path = `/${parts.join('/')}`;
			const many = new RouteTable();
			many.apply(config(1, routes));
			const expected = routes.filter(({pathPrefix}) => path.startsWith(pathPrefix)).toSorted((a, b) => b.pathPrefix.length - a.pathPrefix.length).at(0);
			expect(many.match('h.example', `${path}?q=/a/`)?.name).toBe(expected?.name);
		}), {seed: 31, numRuns: 500});
	});

	it.each([{version: 7, taken: false}, {version: 6, taken: false}, {version: 9, taken: true}])('applies version $version after version 7: $taken', ({version, taken}) => {
		const other = new RouteTable();
		other.apply(config(7, [], ['k1']));
		expect(other.apply(config(version, [], ['k2']))).toBe(taken);
		expect(other.accountOf('k1') !== undefined).toBe(!taken);
	});
});
