/** What a soak run consists of: stand-ins of the platform, and real daemons as processes of their own. */
import {spawn, type ChildProcess} from 'node:child_process';
import {mkdirSync, mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {CloudStandin, ReplicaStandin, StoreStandin} from '../platform/__tests__/standins.js';
import {FaultyLink} from './faulty-link.js';

/** Replicas of one run. */
const replicaCount = 4;
/** Failure domains of a run with more daemons than report to each other. */
const zones = ['zone-a', 'zone-b'];
/** Daemons beyond which they are spread over the failure domains. */
const oneZoneDaemons = 3;
/** Time until an ended daemon is started again, in milliseconds. */
const restartMs = 200;
/** Time until another replica stands in for one that crashed, in milliseconds. */
const replaceMs = 400;
/** Body of the request that crashes every replica, in runs that have one. */
export const fatalBody = 'fatal';
/** First port of a run's daemons; each daemon has a loopback address of its own. */
const callersPort = 18_700;
/** Bounds that the daemons are held to, in the platform's settings. */
const usualBounds = {
	revoke_ms: 2000, config_apply_ms: 1500, grace_s: 5, usage_window_s: 1, drain_ms: 1000, lease_ms: 1500,
};

/** The same with faults on the link to the store: far apart, so that a view that is only young enough for keys shows. */
const storeLinkBounds = {...usualBounds, revoke_ms: 6000};

/** One daemon, through all its restarts. */
export class SoakDaemon {
	readonly log: string[] = [];
	private child: ChildProcess | undefined;
	private isClosed = false;
	private readonly settingsFile: string;

	constructor(readonly host: string, settings: Record<string, unknown>) {
		this.settingsFile = path.join(mkdtempSync(path.join(tmpdir(), 'sesametally-soak-')), 'node.json');
		writeFileSync(this.settingsFile, JSON.stringify(settings));
	}

	/** Starts the daemon, and starts it again whenever it ends, as the platform does. */
	start(): void {
		const child = spawn(process.execPath, ['dist/sesametally.cjs', 'front'], {env: {...process.env, SESAMETALLY_BOOT: this.settingsFile, SESAMETALLY_LOG: 'on'}, stdio: ['ignore', 'pipe', 'pipe']});
		this.child = child;
		child.once('exit', () => {
			if (!this.isClosed) {
				setTimeout(() => {
					this.start();
				}, restartMs);
			}
		});
		for (const output of [child.stdout, child.stderr]) {
			output?.on('data', chunk => {
				this.log.push(...String(chunk).split('\n').filter(line => line !== ''));
			});
		}
	}

	/** Ends the daemon for good. */
	close(): void {
		this.isClosed = true;
		this.signal('SIGCONT');
		this.signal('SIGKILL');
	}

	signal(name: NodeJS.Signals): void {
		this.child?.kill(name);
	}
}

/** What a run has beside daemons and replicas. */
export type WorldTraits = {
	/** A link to the store that can have faults. */
	hasStoreLink?: boolean;
	/** A request that crashes replicas, and replicas that state limits. */
	hasReplicaTrouble?: boolean;
};

/** The processes and stand-ins of one run. */
export class SoakWorld {
	readonly bounds: typeof usualBounds;
	readonly store = new StoreStandin();
	readonly cloud = new CloudStandin();
	readonly replicas: ReplicaStandin[] = [];
	readonly links: FaultyLink[] = [];
	/** The link to the store, in runs with faults on it. */
	storeLink: FaultyLink | undefined;
	daemons: SoakDaemon[] = [];
	readonly callersPort = callersPort;
	/** API keys that the configuration holds now. */
	apiKeys = ['key-0'];
	/** When a key's removal was taken by the store, in milliseconds since 1970. */
	readonly revokedAtMs = new Map<string, number>();
	/** When a key was taken into the configuration by the store, in milliseconds since 1970. */
	readonly addedAtMs = new Map<string, number>();
	private version = 1;
	private replicaIds = 0;
	private isClosed = false;

	constructor(private readonly daemonCount: number, private readonly traits: WorldTraits) {
		this.bounds = traits.hasStoreLink ? storeLinkBounds : usualBounds;
	}

	async start(): Promise<void> {
		await this.store.start();
		await this.cloud.start();
		for (let index = 0; index < replicaCount; index++) {
			// eslint-disable-next-line no-await-in-loop -- a handful, in order.
			await this.addReplica();
		}

		if (this.traits.hasStoreLink) {
			this.storeLink = new FaultyLink(this.store.address);
			await this.storeLink.start();
		}

		this.putConfig();
		this.daemons = Array.from({length: this.daemonCount}, (_, index) => this.createDaemon(index));
		for (const daemon of this.daemons) {
			daemon.start();
		}
	}

	stop(): void {
		this.isClosed = true;
		for (const daemon of this.daemons) {
			daemon.close();
		}

		for (const part of [this.store, this.cloud, ...this.replicas, ...this.links, this.storeLink]) {
			part?.stop();
		}
	}

	/** Writes what each daemon logged to a folder. */
	saveLogs(folder: string): void {
		mkdirSync(folder, {recursive: true});
		for (const {host, log} of this.daemons) {
			writeFileSync(path.join(folder, `${host}.log`), log.join('\n'));
		}
	}

	/** Adds a replica behind a link of its own. */
	async addReplica(): Promise<void> {
		const replica = new ReplicaStandin(`i-${++this.replicaIds}`);
		await replica.start();
		const link = new FaultyLink(replica.address);
		await link.start();
		this.replicas.push(replica);
		this.links.push(link);
		this.listReplica(replica, link, 'ready');
		if (this.traits.hasReplicaTrouble) {
			replica.fatalBody = fatalBody;
			replica.onCrash = () => {
				this.replaceCrashed(replica, link);
			};
		}
	}

	/** Lists a replica as leaving. */
	drainReplica(index: number): void {
		this.listReplica(this.replicas[index], this.links[index], 'draining');
	}

	/** Replaces the API key by a new one. */
	revokeKey(): void {
		const [old] = this.apiKeys;
		this.apiKeys = [`key-${this.version}`];
		this.putConfig();
		this.revokedAtMs.set(old, Date.now());
		this.addedAtMs.set(this.apiKeys[0], Date.now());
	}

	/** Closes the address of a replica that crashed at once; its entry lapses as another replica comes. */
	private replaceCrashed(replica: ReplicaStandin, link: FaultyLink): void {
		link.stop();
		setTimeout(() => {
			if (!this.isClosed) {
				this.store.put('keyed.servers', replica.id, undefined);
				void this.addReplica();
			}
		}, replaceMs);
	}

	private listReplica(replica: ReplicaStandin, link: FaultyLink, state: string): void {
		this.store.put('keyed.servers', replica.id, {
			service: 'svc', address: link.address, zone: zones[0], slots: 8, state, sequence: 1, version: 'v1', cold_left_ms: 0,
		});
	}

	private putConfig(): void {
		this.version += 2;
		const route = (name: string, kind: string, isResumable = false) => ({
			name, host: 'h.example', path_prefix: `/${name}/`, kind, timeout_ms: 1500, latency_target_ms: 200, attempts: 2, service: 'svc', resumable: isResumable,
		});
		this.store.put('keyed.op', 'config', {
			version: this.version,
			routes: [route('call', 'idempotent'), route('pay', 'non_idempotent'), route('stream', 'streaming', true), route('once', 'streaming')],
			services: [{name: 'svc', max_conns: 50}],
			tenants: [{name: 'team', api_keys: this.apiKeys}],
		});
	}

	private createDaemon(index: number): SoakDaemon {
		const host = `127.0.0.${index + 2}`;
		return new SoakDaemon(host, {
			node_name: `front-${String(index).padStart(2, '0')}`,
			ip: host,
			zone: this.daemonCount > oneZoneDaemons ? zones[index % zones.length] : zones[0],
			bootstrap: true,
			listen: {front: `${host}:${callersPort}`, readiness_addr: `${host}:${callersPort + 1}`},
			port_range: [callersPort + 2, callersPort + 5],
			platform: {address: this.storeLink?.address ?? this.store.address},
			cloud: {address: this.cloud.address},
			bounds: this.bounds,
		});
	}
}
