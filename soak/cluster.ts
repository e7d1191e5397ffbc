/** The cluster of a soak run: stand-ins of the platform, and real daemons as separate processes. */
import {spawn, type ChildProcess} from 'node:child_process';
import {mkdirSync, mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {RunMoves} from '../platform/__tests__/run-moves.js';
import {CloudStandin, ReplicaStandin, StoreStandin} from '../platform/__tests__/standins.js';
import {FaultyLink} from './faulty-link.js';
import {allowMoves, capacity} from './move-faults.js';
import {plannedSlots, plannedTimeoutMs} from './planned-faults.js';
import {stateUsualPace} from './pace-faults.js';
import {fatalPart} from './prompt-faults.js';
import {eventPauseMs, versions} from './version-faults.js';

/** Number of replicas of one run. */
const replicaCount = 4;
/** Failure domains; small runs use only the first. */
const failureDomains = ['zone-a', 'zone-b'];
/** Largest number of daemons that all stand in one failure domain; more are spread over all domains. */
const maxDaemonsInOneDomain = 3;
/** Time after its exit until a daemon is started again, in milliseconds. */
const restartDelayMs = 200;
/** Time after a replica's crash until another one replaces it, in milliseconds. */
const replacementDelayMs = 400;
/** Time after a replica's restart until its entry shows it, in milliseconds. */
const republishDelayMs = 300;
/** Body of the request that crashes every replica that runs it, in runs with replica faults. */
export const fatalBody = 'fatal';
/** Port of every daemon for clients; its other ports follow. Each daemon has a loopback address of its own. */
const clientPort = 18_700;
/** Bounds that the daemons must meet, under the names of the platform's settings. */
const defaultBounds = {
	revoke_ms: 2000, config_apply_ms: 1500, grace_s: 5, usage_window_s: 1, drain_ms: 1000, lease_ms: 1500,
};

/**
 * Bounds in runs with faults on the link to the store. The bound for revocations is far above that for other changes,
 * so that the checks notice a daemon that serves from a view that is fresh enough only for API keys.
 */
const storeLinkBounds = {...defaultBounds, revoke_ms: 6000};

/** One daemon and its process, which is started again after each exit. */
export class SoakDaemon {
	/** Lines that the daemon wrote to its outputs, over all starts. */
	readonly log: string[] = [];
	/** When its process was started or got a signal, in milliseconds since 1970. */
	readonly disturbedAtMs: number[] = [];
	/** When it was told to stop, in milliseconds since 1970. */
	readonly stopsAtMs: number[] = [];
	private child: ChildProcess | undefined;
	private isClosed = false;
	private readonly settingsFile: string;

	/** @param keepsSettings Whether its settings state the first start of the whole system at its restarts too, as on a machine that keeps the file. */
	constructor(readonly host: string, private readonly settings: Record<string, unknown>, private readonly keepsSettings: boolean) {
		this.settingsFile = path.join(mkdtempSync(path.join(tmpdir(), 'sesametally-soak-')), 'node.json');
	}

	/** Starts the daemon, and starts it again after each exit, as the platform does. */
	start(): void {
		writeFileSync(this.settingsFile, JSON.stringify({...this.settings, bootstrap: this.keepsSettings || this.child === undefined}));
		const child = spawn(process.execPath, ['dist/sesametally.cjs', 'front'], {env: {...process.env, SESAMETALLY_BOOT: this.settingsFile, SESAMETALLY_LOG: 'on'}, stdio: ['ignore', 'pipe', 'pipe']});
		this.child = child;
		this.disturbedAtMs.push(Date.now());
		child.once('exit', () => {
			if (!this.isClosed) {
				setTimeout(() => {
					this.start();
				}, restartDelayMs);
			}
		});
		for (const output of [child.stdout, child.stderr]) {
			output?.on('data', chunk => {
				this.log.push(...String(chunk).split('\n').filter(line => line !== ''));
			});
		}
	}

	/** Kills the daemon and doesn't start it again. */
	close(): void {
		this.isClosed = true;
		this.signal('SIGCONT');
		this.signal('SIGKILL');
	}

	/** Sends a signal to the daemon's current process. */
	signal(name: NodeJS.Signals): void {
		this.disturbedAtMs.push(Date.now());
		if (name === 'SIGTERM') {
			this.stopsAtMs.push(Date.now());
		}

		this.child?.kill(name);
	}
}

/** Additional faults of a run. */
export type ClusterOptions = {
	/** Whether the daemons reach the store through a {@link FaultyLink}. */
	hasStoreLinkFaults?: boolean;
	/** Whether the store is restored from copies. */
	hasStoreRestores?: boolean;
	/** Whether there are a request that crashes replicas and a replica that states a limit. */
	hasReplicaFaults?: boolean;
	/** Whether replicas announce in their answers that they leave, or ask for a cooldown; such runs have no faults on the links to replicas. */
	hasReplicaStatements?: boolean;
	/** Whether replicas of several versions serve side by side, and clients take up streams that break off. */
	hasVersions?: boolean;
	/** Whether replicas state their pace, which changes, and have few slots, so that coordinators assign requests and queue them. */
	hasPaces?: boolean;
	/** Whether prompts have parts, one of which crashes replicas; replicas answer without length, and single daemons receive most requests. */
	hasPrompts?: boolean;
	/** Whether replicas have few slots, refuse requests early and repeat refusals, and are reclaimed while they move running streams. */
	hasMoves?: boolean;
	/** Whether, in runs with moves, streams have neither a length nor chunks, orders stop them whatever becomes of their answers, and reclaimed replicas exit with runs unfinished. */
	hasStops?: boolean;
	/** Whether all that happens is planned work, on replicas as in runs with moves, and these are silent or refuse late at times. */
	hasPlannedWork?: boolean;
};

/** The daemons, stand-ins and links of one run. */
export class SoakCluster {
	/** Bounds in the daemons' settings, which the checks use too. */
	readonly bounds: typeof defaultBounds;
	readonly store = new StoreStandin();
	readonly cloud = new CloudStandin();
	/** The copies of running streams, in runs with moves. */
	readonly moves = new RunMoves();
	/** All replicas of the run, also those that have left. */
	readonly replicas: ReplicaStandin[] = [];
	/** The link to each replica, at the same index. */
	readonly links: FaultyLink[] = [];
	/** The link to the store, in runs with faults on it. */
	storeLink: FaultyLink | undefined;
	daemons: SoakDaemon[] = [];
	/** The daemon that receives most requests, if there is one. */
	floodedDaemon: SoakDaemon | undefined;
	readonly clientPort = clientPort;
	/** API keys in the current configuration. */
	apiKeys = ['key-0'];
	/** Time when the store took the configuration without a key, in milliseconds since 1970. */
	readonly revokedAtMs = new Map<string, number>();
	/** Time when the store took the configuration with a new key, in milliseconds since 1970. */
	readonly addedAtMs = new Map<string, number>();
	/** When the store became unavailable or available again, in milliseconds since 1970. */
	readonly storeDisturbedAtMs: number[] = [];
	/** When replicas ended, in milliseconds since 1970. */
	readonly endedAtMs = new Map<ReplicaStandin, number>();
	/** What the replicas have written to the store. */
	private readonly entries = new Map<ReplicaStandin, {link: FaultyLink; state: string}>();
	private version = 1;
	private lastReplicaNumber = 0;
	private isClosed = false;

	constructor(private readonly daemonCount: number, readonly options: ClusterOptions) {
		this.bounds = options.hasStoreLinkFaults ? storeLinkBounds : defaultBounds;
	}

	/** Starts the stand-ins and all daemons. */
	async start(): Promise<void> {
		await this.store.start();
		await this.cloud.start();
		for (let index = 0; index < replicaCount; index++) {
			// eslint-disable-next-line no-await-in-loop -- replicas get their ids in order.
			await this.addReplica();
		}

		if (this.options.hasStoreLinkFaults) {
			this.storeLink = new FaultyLink(this.store.address);
			await this.storeLink.start();
		}

		this.putConfig();
		this.daemons = Array.from({length: this.daemonCount}, (_, index) => this.createDaemon(index));
		for (const daemon of this.daemons) {
			daemon.start();
		}
	}

	/** Kills the daemons and closes the stand-ins and links. */
	stop(): void {
		this.isClosed = true;
		for (const daemon of this.daemons) {
			daemon.close();
		}

		for (const server of [this.store, this.cloud, ...this.replicas, ...this.links, this.storeLink]) {
			server?.stop();
		}
	}

	/** Writes each daemon's log to a file in a folder. */
	saveLogs(folder: string): void {
		mkdirSync(folder, {recursive: true});
		for (const {host, log} of this.daemons) {
			writeFileSync(path.join(folder, `${host}.log`), log.join('\n'));
		}
	}

	/** Starts a replica behind its own link and publishes it as ready. */
	async addReplica(): Promise<void> {
		const replica = new ReplicaStandin(`i-${++this.lastReplicaNumber}`);
		if (this.options.hasVersions) {
			replica.version = versions[this.lastReplicaNumber % versions.length];
			replica.eventPauseMs = eventPauseMs;
			replica.startedAtMs = Date.now();
		}

		if (this.options.hasPaces) {
			stateUsualPace(replica);
		}

		await replica.start();
		const link = new FaultyLink(replica.address);
		await link.start();
		if (this.hasMovingReplicas) {
			allowMoves(replica, {
				address: link.address, moves: this.moves, slots: this.slots, hasUnframedStreams: this.options.hasStops === true,
			});
		}

		this.replicas.push(replica);
		this.links.push(link);
		this.publishReplica(replica, link, 'ready');
		if ([this.options.hasReplicaFaults, this.options.hasPrompts].includes(true)) {
			replica.fatalBody = this.options.hasReplicaFaults ? fatalBody : undefined;
			replica.fatalPart = this.options.hasPrompts ? fatalPart : undefined;
			replica.onCrash = () => {
				this.replaceCrashed(replica, link);
			};
		}
	}

	/** Makes the store unavailable, or available again. */
	setStoreDown(isDown: boolean): void {
		this.store.isDown = isDown;
		this.storeDisturbedAtMs.push(Date.now());
	}

	/** Restores the store from a copy; what the operator and the replicas wrote since is written again. */
	restoreStore(lostRecords: number): void {
		this.store.restore(new Map(this.store.topicNames.map(topic => [topic, lostRecords])));
		this.putConfig();
		for (const [replica, entry] of this.entries) {
			this.publishReplica(replica, entry.link, entry.state);
		}
	}

	/** Restarts a replica as the next version; its entry shows that later. */
	restartAsNextVersion(index: number): void {
		const {version} = this.replicas[index];
		this.restartReplica(index, versions[(versions.indexOf(version) + 1) % versions.length]);
	}

	/** Restarts a replica that has not been reclaimed; its entry shows that later. */
	restartInPlace(index: number): void {
		const replica = this.replicas[index];
		if (this.entries.get(replica)?.state === 'ready') {
			this.moves.remove(replica);
			this.restartReplica(index, replica.version);
		}
	}

	/** Publishes a replica as draining. */
	drainReplica(index: number): void {
		this.publishReplica(this.replicas[index], this.links[index], 'draining');
	}

	/** Reclaims every second replica that still serves, from one on: they leave after a notice, and others are added at once. */
	reclaimReplicas(index: number, noticeMs: number): void {
		const reclaimed = this.replicas.filter((replica, position) => (position - index) % 2 === 0 && this.entries.get(replica)?.state === 'ready');
		for (const replica of reclaimed) {
			const {link} = this.entries.get(replica)!;
			this.publishReplica(replica, link, 'draining', noticeMs);
			void this.addReplica();
			setTimeout(() => {
				this.moves.remove(replica);
				this.entries.delete(replica);
				this.store.put('keyed.servers', replica.id, undefined);
				this.endedAtMs.set(replica, Date.now());
				if (this.options.hasStops) {
					// The port refuses connections before the ends of the open ones arrive.
					link.stopListening();
					replica.stop();
					return;
				}

				replica.stop();
				link.stop();
			}, noticeMs);
		}
	}

	/** Replaces the API key with a new one. */
	revokeKey(): void {
		const [old] = this.apiKeys;
		this.apiKeys = [`key-${this.version}`];
		this.putConfig();
		this.revokedAtMs.set(old, Date.now());
		this.addedAtMs.set(this.apiKeys[0], Date.now());
	}

	/** Writes a new version of the configuration to the store. */
	putConfig(): void {
		this.version += 2;
		const route = (name: string, kind: string, isResumable = false) => ({
			name, host: 'h.example', path_prefix: `/${name}/`, kind, timeout_ms: this.options.hasPlannedWork ? plannedTimeoutMs : 1500, latency_target_ms: 200, attempts: 2, service: 'svc', resumable: isResumable,
		});
		this.store.put('keyed.op', 'config', {
			version: this.version,
			routes: [route('call', 'idempotent'), route('pay', 'non_idempotent'), route('stream', 'streaming', true), route('once', 'streaming')],
			services: [{
				name: 'svc', max_conns: 50, ...(this.hasMovingReplicas && {
					engine: {
						slots: this.slots, kv_tokens: 1000, moves: true, stride: 1, hold_ms: 2000,
					},
				}),
			}],
			tenants: [{name: 'team', api_keys: this.apiKeys}],
		});
	}

	/** The requests that a replica runs at once, in runs in which replicas move streams. */
	private get slots(): number {
		return this.options.hasPlannedWork ? plannedSlots : capacity;
	}

	private get hasMovingReplicas(): boolean {
		return this.options.hasMoves === true || this.options.hasPlannedWork === true;
	}

	private restartReplica(index: number, version: string): void {
		const replica = this.replicas[index];
		replica.restart(version);
		this.links[index].reset();
		setTimeout(() => {
			this.publishReplica(replica, this.links[index], 'ready');
		}, republishDelayMs);
	}

	/** Closes the address of a crashed replica at once; later removes its record from the store and adds another replica. */
	private replaceCrashed(replica: ReplicaStandin, link: FaultyLink): void {
		link.stop();
		setTimeout(() => {
			if (!this.isClosed) {
				this.entries.delete(replica);
				this.store.put('keyed.servers', replica.id, undefined);
				void this.addReplica();
			}
		}, replacementDelayMs);
	}

	/** Writes a replica's record to the store. */
	private publishReplica(replica: ReplicaStandin, link: FaultyLink, state: string, leavesInMs?: number): void { // eslint-disable-line max-params
		this.entries.set(replica, {link, state});
		this.store.put('keyed.servers', replica.id, {
			service: 'svc', address: link.address, zone: failureDomains[0], slots: replica.slots, state, sequence: 1, version: replica.version, cold_left_ms: 0, born: replica.startedAtMs, leaves_ms: leavesInMs,
		});
	}

	/** Creates a daemon with its settings; it isn't started yet. */
	private createDaemon(index: number): SoakDaemon {
		const host = `127.0.0.${index + 2}`;
		return new SoakDaemon(host, {
			node_name: `front-${String(index).padStart(2, '0')}`,
			ip: host,
			zone: this.daemonCount > maxDaemonsInOneDomain ? failureDomains[index % failureDomains.length] : failureDomains[0],
			listen: {front: `${host}:${clientPort}`, readiness_addr: `${host}:${clientPort + 1}`},
			port_range: [clientPort + 2, clientPort + 5],
			platform: {address: this.storeLink?.address ?? this.store.address},
			cloud: {address: this.cloud.address},
			bounds: this.bounds,
		}, index % 2 === 0);
	}
}
