/** Guards against streams that go on at a guessed version, and against refusing those whose version could be known. */
import {describe, expect, it} from 'vitest';
import {type StreamOriginAnswer, type VersionKnowledge} from '../../../protocol/fleet-messages.js';
import {Topic} from '../../../protocol/platform.js';
import {SteadyClock} from '../../../clock.js';
import {LogEra} from '../../../state/log-era.js';
import {FakeStore} from '../../../testing/fake-store.js';
import {type DutyLease} from '../../duty-lease.js';
import {type ServiceVersions} from '../service-versions.js';
import {OriginSource, StreamOriginLookup} from '../stream-origin-lookup.js';
import {StreamOriginRecord} from '../stream-origin-record.js';
import {computeStreamKey, StreamOrigins} from '../stream-origins.js';

const origin = {service: 's', version: 'v1'};
const key = computeStreamKey('a', 'x');
const mixed: VersionKnowledge = {versions: ['v1', 'v2'], hasHistory: true};
const single: VersionKnowledge = {versions: ['v1'], hasHistory: true};
const agreeing = {origin: undefined, knowledge: single};

/** The parts of one daemon, at a store that may be shared with others. */
function createDaemon({store = new FakeStore(), name = 'd', knowledge = mixed, answers = [] as Array<Partial<StreamOriginAnswer>>, asked = 1, canRefresh = true} = {}) {
	const clock = new SteadyClock({monotonicMs: () => 1000, wallMs: () => 1000, uptimeMs: () => 1000});
	const origins = new StreamOrigins(() => 30_000);
	const versions: Partial<ServiceVersions> = {
		knowledge: () => knowledge, hasHistory: () => true, all: () => ({s: knowledge.versions}), restore: () => undefined,
	};
	const lease: Partial<DutyLease> = {tokenAt: () => name === 'holder' ? 1 : undefined};
	const record = new StreamOriginRecord({
		store, logEra: new LogEra(), origins, versions: versions as ServiceVersions, lease: lease as DutyLease, isFirstDaemon: () => true, name, clock, signal: new AbortController().signal,
	});
	record.applyVersions(undefined, 0);
	const lookup = new StreamOriginLookup({
		origins, versions: versions as ServiceVersions, exchange: {ask: async () => ({answers: answers as StreamOriginAnswer[], asked})}, record, clock, refreshBackends: async () => canRefresh,
	});
	return {
		store, origins, record, lookup,
	};
}

describe('StreamOriginLookup', () => {
	it.each([
		{
			name: 'in its memory', daemon() {
				const daemon = createDaemon();
				daemon.origins.note(key, origin, 1000);
				return daemon;
			}, source: OriginSource.Memory,
		},
		{name: 'as the only version', daemon: () => createDaemon({knowledge: single}), source: OriginSource.OnlyVersion},
		{name: 'from another daemon', daemon: () => createDaemon({answers: [{origin: undefined, knowledge: mixed}, {origin, knowledge: mixed}]}), source: OriginSource.OtherDaemon},
		{
			name: 'as the only version that others know too', daemon: () => createDaemon({
				knowledge: single, answers: [agreeing], asked: 2, canRefresh: false,
			}), source: OriginSource.OnlyVersion,
		},
	])('finds the version of a stream $name', async ({daemon, source}) => {
		expect(await daemon().lookup.find({account: 'a', service: 's', requestId: 'x'})).toEqual({origin, source});
	});

	// The daemon may lack a version at which the stream began.
	it.each([
		{name: 'nobody answers', answers: [], asked: 2},
		{name: 'nobody is known', answers: [], asked: 0},
		{name: 'few of those asked agree', answers: [agreeing], asked: 3},
		{name: 'another daemon knows a second version', answers: [agreeing, {origin: undefined, knowledge: mixed}], asked: 2},
	])('does not take the version that it knows for the only one while the list of backend servers cannot be read and $name', async ({answers, asked}) => {
		const {lookup} = createDaemon({
			knowledge: single, answers, asked, canRefresh: false,
		});
		expect(await lookup.find({account: 'a', service: 's', requestId: 'x'})).toEqual({origin: undefined, source: OriginSource.Unknown});
	});

	it('finds the version of a stream that another daemon wrote to the store', async () => {
		const writer = createDaemon({name: 'writer'});
		writer.origins.note(key, origin, 1000);
		await writer.record.save(new AbortController().signal);
		const {lookup} = createDaemon({store: writer.store});
		expect(await lookup.find({account: 'a', service: 's', requestId: 'x'})).toEqual({origin, source: OriginSource.Store});
	});

	it.each([
		{name: 'nobody knows', account: 'a', requestId: 'y'},
		{name: 'another account began', account: 'b', requestId: 'x'},
		{name: 'the client does not name', account: 'a', requestId: undefined},
	])('does not guess the version of a stream that $name', async ({account, requestId}) => {
		const {lookup, origins} = createDaemon();
		origins.note(key, origin, 1000);
		expect(await lookup.find({account, service: 's', requestId})).toEqual({origin: undefined, source: OriginSource.Unknown});
	});

	it('does not guess while the store does not answer', async () => {
		const {lookup, store} = createDaemon();
		store.isDown = true;
		expect(await lookup.find({account: 'a', service: 's', requestId: 'x'})).toEqual({origin: undefined, source: OriginSource.Unknown});
	});
});

describe('StreamOriginRecord', () => {
	it('keeps what two daemons write that both take themselves for the first', async () => {
		const one = createDaemon({name: 'one'});
		const two = createDaemon({name: 'two', store: one.store});
		one.origins.note(1, origin, 1000);
		two.origins.note(2, {service: 's', version: 'v2'}, 1000);
		await one.record.save(new AbortController().signal);
		await two.record.save(new AbortController().signal);
		const third = createDaemon({store: one.store});
		await third.record.restoreStreams();
		expect([1, 2].map(stream => third.origins.originOf(stream, 1000)?.version)).toEqual(['v1', 'v2']);
	});

	it('writes only what is new', async () => {
		const {record, origins, store} = createDaemon();
		origins.note(1, origin, 1000);
		await record.save(new AbortController().signal);
		await record.save(new AbortController().signal);
		expect(store.length(Topic.Streams)).toBe(1);
	});

	it.each([{name: 'holder', records: 1}, {name: 'another', records: 0}])('writes the versions $records times as the $name of the duties', async ({name, records}) => {
		const {record, store} = createDaemon({name});
		await record.save(new AbortController().signal);
		await record.save(new AbortController().signal);
		expect(store.length(Topic.Members)).toBe(records);
	});

	it('skips a record that another writer left', async () => {
		const writer = createDaemon({name: 'writer'});
		writer.origins.note(key, origin, 1000);
		await writer.record.save(new AbortController().signal);
		writer.store.put(Topic.Streams, 'foreign', 'not what daemons write');
		const {record, origins} = createDaemon({store: writer.store});
		await record.restoreStreams();
		expect(origins.originOf(key, 1000)).toEqual(origin);
	});
});
