/**
 * The JSON settings of every process, their schemas and the loader that checks them.
 * A process learns its addresses and failure domain from these settings only.
 */
import {readFileSync} from 'node:fs';
import {type ValidateFunction} from 'ajv';
import {compileCheck, describeSchemaError} from './schema.js';
import {SettingsError} from './errors.js';
import {type Price, type VmEntry} from './cloud-api.js';

/** Where a server listens. */
export type Listen = {
	host: string;
	port: number;
};

/** The role a team's token grants on the administration API. */
export enum TeamRole {
	Operator = 'operator',
	Viewer = 'viewer',
}

/** A team that may use the administration API with its bearer token. */
export type Team = {
	name: string;
	token: string;
	role: TeamRole;
};

/** The kinds of backend server a gateway routes to. */
export enum BackendKind {
	Engine = 'engine',
	Service = 'service',
}

/** A backend server: a model engine or a plain service. */
export type BackendServer = {
	id: string;
	kind: BackendKind;
	/** The model an engine serves, or the name of a plain service. */
	name: string;
	url: string;
	failureDomain: string;
	/** Whether the backend server refuses orders that carry an old fencing token. */
	checksFencing: boolean;
};

/** A client account and the API keys that map to it. */
export type ClientAccount = {
	name: string;
	apiKeys: string[];
};

/** Another gateway, reached over `ws` at its admin port. */
export type Peer = {
	id: string;
	url: string;
};

/** Settings of the controller role. */
export type ControllerSettings = {
	/** How long a lease lasts after its last renewal, by the platform log's clock. */
	leaseMs: number;
	/** Interval between passes over the fleet. */
	passMs: number;
};

/** Settings of `sesametally gateway`. */
export type GatewaySettings = {
	id: string;
	failureDomain: string;
	listen: Listen;
	admin: Listen & {teams: Team[]};
	/** The platform log, and how long it keeps records. */
	platformLog: {url: string; retentionMs: number};
	/** The platform's cloud API: reclaim notices, and VM orders from the controller. */
	cloud?: {url: string; noticePollMs: number};
	/** The platform's lagging VM list. */
	vmList?: {url: string; pollMs: number};
	/** The pace of the controller role, should this gateway hold it. */
	controller: ControllerSettings;
	peers: Peer[];
	backendServers: BackendServer[];
	clientAccounts: ClientAccount[];
	heartbeatMs: number;
	loadPollMs: number;
	/** Grace for in-flight streams on SIGTERM before the gateway exits anyway. */
	drainMs: number;
	/** How long `/ready` answers 503 on SIGTERM before the port closes. */
	notReadyMs: number;
	/** Time intents of non-idempotent calls wait to share one journal append. */
	journalFlushMs: number;
};

/** Settings of the platform log stand-in. */
export type LogStandinSettings = {
	listen: Listen;
	failureDomain: string;
	retentionMs: number;
	appendsPerSecond: number;
};

/** Settings of the model engine stand-in. */
export type EngineStandinSettings = {
	id: string;
	listen: Listen;
	failureDomain: string;
	/** The model loaded at the start; none on a VM that awaits orders. */
	model?: string;
	/** Time per output token, the engine's clock tick. */
	tpotMs: number;
	/** Prompt tokens prefilled per tick. */
	prefillTokensPerTick: number;
	maxBatch: number;
	/** Prefix cache size, in blocks of `blockTokens`. */
	cacheBlocks: number;
	blockTokens: number;
	/** How stale the reported load is. */
	loadLagMs: number;
	checksFencing: boolean;
	/** How long the KV cache of an abandoned or exported request is kept. */
	kvHoldMs: number;
	/** Where weights come from; without it a model order takes effect at once. */
	weightsUrl?: string;
	/** False for a slot on which no VM runs yet. */
	powered: boolean;
};

/** Settings of the plain service stand-in. */
export type ServiceStandinSettings = {
	id: string;
	listen: Listen;
	failureDomain: string;
	latencyMs: number;
};

/** Settings of the cloud API stand-in. */
export type CloudStandinSettings = {
	listen: Listen;
	failureDomain: string;
	/** Warning before a reclaim takes effect. */
	reclaimNoticeMs: number;
	/** Time a VM takes to boot. */
	bootMs: number;
	prices: Price[];
	/** VMs that run from the start. */
	vms: Array<Pick<VmEntry, 'name' | 'url' | 'failureDomain' | 'machineClass' | 'reclaimable'>>;
	/** Places for VMs: engine processes, those of `vms` among them. */
	slots: Array<{url: string; failureDomain: string}>;
};

/** Settings of the VM list stand-in. */
export type VmListStandinSettings = {
	listen: Listen;
	failureDomain: string;
	cloudUrl: string;
	/** How far behind the truth it is served. */
	lagMs: number;
};

/** Settings of the weight store stand-in. */
export type WeightsStandinSettings = {
	listen: Listen;
	failureDomain: string;
	downloadsPerSecond: number;
};

const listenSchema = {
	type: 'object',
	properties: {
		host: {type: 'string', minLength: 1},
		port: {type: 'integer', minimum: 0, maximum: 65_535},
	},
	required: ['host', 'port'],
	additionalProperties: false,
};

const idSchema = {type: 'string', pattern: '^[a-z0-9][a-z0-9-]*$'};
const urlSchema = {type: 'string', pattern: '^(https?|wss?)://'};

const gatewaySchema = {
	type: 'object',
	properties: {
		id: idSchema,
		failureDomain: idSchema,
		listen: listenSchema,
		admin: {
			type: 'object',
			properties: {
				...listenSchema.properties,
				teams: {
					type: 'array',
					items: {
						type: 'object',
						properties: {
							name: idSchema,
							token: {type: 'string', minLength: 16},
							role: {enum: Object.values(TeamRole)},
						},
						required: ['name', 'token', 'role'],
						additionalProperties: false,
					},
				},
			},
			required: ['host', 'port', 'teams'],
			additionalProperties: false,
		},
		platformLog: {
			type: 'object',
			properties: {url: urlSchema, retentionMs: {type: 'integer', minimum: 1, default: 3_600_000}},
			required: ['url'],
			additionalProperties: false,
		},
		cloud: {
			type: 'object',
			properties: {url: urlSchema, noticePollMs: {type: 'integer', minimum: 10, default: 250}},
			required: ['url'],
			additionalProperties: false,
		},
		vmList: {
			type: 'object',
			properties: {url: urlSchema, pollMs: {type: 'integer', minimum: 10, default: 1000}},
			required: ['url'],
			additionalProperties: false,
		},
		controller: {
			type: 'object',
			default: {},
			properties: {
				leaseMs: {type: 'integer', minimum: 500, default: 6000},
				passMs: {type: 'integer', minimum: 10, default: 500},
			},
			additionalProperties: false,
		},
		peers: {
			type: 'array',
			items: {
				type: 'object',
				properties: {id: idSchema, url: urlSchema},
				required: ['id', 'url'],
				additionalProperties: false,
			},
		},
		backendServers: {
			type: 'array',
			items: {
				type: 'object',
				properties: {
					id: idSchema,
					kind: {enum: Object.values(BackendKind)},
					name: idSchema,
					url: urlSchema,
					failureDomain: idSchema,
					checksFencing: {type: 'boolean', default: false},
				},
				required: ['id', 'kind', 'name', 'url', 'failureDomain'],
				additionalProperties: false,
			},
		},
		clientAccounts: {
			type: 'array',
			items: {
				type: 'object',
				properties: {
					name: idSchema,
					apiKeys: {type: 'array', items: {type: 'string', minLength: 8}, minItems: 1},
				},
				required: ['name', 'apiKeys'],
				additionalProperties: false,
			},
		},
		heartbeatMs: {type: 'integer', minimum: 10, default: 1000},
		loadPollMs: {type: 'integer', minimum: 10, default: 200},
		drainMs: {type: 'integer', minimum: 0, default: 30_000},
		notReadyMs: {type: 'integer', minimum: 0, default: 500},
		journalFlushMs: {type: 'integer', minimum: 0, default: 5},
	},
	required: ['id', 'failureDomain', 'listen', 'admin', 'platformLog', 'peers', 'backendServers', 'clientAccounts'],
	additionalProperties: false,
};

const logStandinSchema = {
	type: 'object',
	properties: {
		listen: listenSchema,
		failureDomain: idSchema,
		retentionMs: {type: 'integer', minimum: 1, default: 3_600_000},
		appendsPerSecond: {type: 'integer', minimum: 1, default: 500},
	},
	required: ['listen', 'failureDomain'],
	additionalProperties: false,
};

const engineStandinSchema = {
	type: 'object',
	properties: {
		id: idSchema,
		listen: listenSchema,
		failureDomain: idSchema,
		model: idSchema,
		tpotMs: {type: 'integer', minimum: 1, default: 10},
		prefillTokensPerTick: {type: 'integer', minimum: 1, default: 512},
		maxBatch: {type: 'integer', minimum: 1, default: 32},
		cacheBlocks: {type: 'integer', minimum: 1, default: 1024},
		blockTokens: {type: 'integer', minimum: 1, default: 16},
		loadLagMs: {type: 'integer', minimum: 0, default: 250},
		checksFencing: {type: 'boolean', default: true},
		kvHoldMs: {type: 'integer', minimum: 0, default: 10_000},
		weightsUrl: urlSchema,
		powered: {type: 'boolean', default: true},
	},
	required: ['id', 'listen', 'failureDomain'],
	additionalProperties: false,
};

const serviceStandinSchema = {
	type: 'object',
	properties: {
		id: idSchema,
		listen: listenSchema,
		failureDomain: idSchema,
		latencyMs: {type: 'integer', minimum: 0, default: 5},
	},
	required: ['id', 'listen', 'failureDomain'],
	additionalProperties: false,
};

const vmSchema = {
	type: 'object',
	properties: {
		name: idSchema,
		url: urlSchema,
		failureDomain: idSchema,
		machineClass: idSchema,
		reclaimable: {type: 'boolean'},
	},
	required: ['name', 'url', 'failureDomain', 'machineClass', 'reclaimable'],
	additionalProperties: false,
};

const cloudStandinSchema = {
	type: 'object',
	properties: {
		listen: listenSchema,
		failureDomain: idSchema,
		reclaimNoticeMs: {type: 'integer', minimum: 0, default: 5000},
		bootMs: {type: 'integer', minimum: 0, default: 1000},
		prices: {
			type: 'array',
			default: [],
			items: {
				type: 'object',
				properties: {
					failureDomain: idSchema,
					machineClass: idSchema,
					reclaimable: {type: 'boolean'},
					perHour: {type: 'number', minimum: 0},
				},
				required: ['failureDomain', 'machineClass', 'reclaimable', 'perHour'],
				additionalProperties: false,
			},
		},
		vms: {type: 'array', default: [], items: vmSchema},
		slots: {
			type: 'array',
			default: [],
			items: {
				type: 'object',
				properties: {url: urlSchema, failureDomain: idSchema},
				required: ['url', 'failureDomain'],
				additionalProperties: false,
			},
		},
	},
	required: ['listen', 'failureDomain'],
	additionalProperties: false,
};

const vmListStandinSchema = {
	type: 'object',
	properties: {
		listen: listenSchema,
		failureDomain: idSchema,
		cloudUrl: urlSchema,
		lagMs: {type: 'integer', minimum: 0, default: 2000},
	},
	required: ['listen', 'failureDomain', 'cloudUrl'],
	additionalProperties: false,
};

const weightsStandinSchema = {
	type: 'object',
	properties: {
		listen: listenSchema,
		failureDomain: idSchema,
		downloadsPerSecond: {type: 'integer', minimum: 1, default: 2},
	},
	required: ['listen', 'failureDomain'],
	additionalProperties: false,
};

/** The validators of each role's settings, by role name. */
export const settingsValidators = {
	gateway: compileCheck<GatewaySettings>(gatewaySchema, 'gateway settings').validate,
	log: compileCheck<LogStandinSettings>(logStandinSchema, 'log settings').validate,
	engine: compileCheck<EngineStandinSettings>(engineStandinSchema, 'engine settings').validate,
	service: compileCheck<ServiceStandinSettings>(serviceStandinSchema, 'service settings').validate,
	cloud: compileCheck<CloudStandinSettings>(cloudStandinSchema, 'cloud settings').validate,
	vms: compileCheck<VmListStandinSettings>(vmListStandinSchema, 'vms settings').validate,
	weights: compileCheck<WeightsStandinSettings>(weightsStandinSchema, 'weights settings').validate,
} satisfies Record<string, ValidateFunction>;

/**
 * Reads a JSON settings file and checks it against a schema, filling defaults.
 *
 * @param file Path of the JSON file.
 * @param validate One of {@link settingsValidators}.
 * @throws {SettingsError} Naming the file and the setting, when the file is missing,
 * is not JSON, or fails the schema.
 */
export function loadSettings<T>(file: string, validate: ValidateFunction): T {
	let text: string;
	try {
		text = readFileSync(file, 'utf8');
	} catch (error) {
		throw new SettingsError(file, '(file)', 'cannot be read', {cause: error});
	}

	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch (error) {
		throw new SettingsError(file, '(file)', 'is not valid JSON', {cause: error});
	}

	if (!validate(value)) {
		const {setting, detail} = describeSchemaError(validate.errors![0]);
		throw new SettingsError(file, setting, detail);
	}

	return value as T;
}
