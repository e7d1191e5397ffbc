/**
 * The JSON settings of every process, their schemas and the loader that checks them.
 * A process learns its addresses and failure domain from these settings only.
 */
import {readFileSync} from 'node:fs';
import {type ValidateFunction} from 'ajv';
import {compileCheck, describeSchemaError} from './schema.js';
import {SettingsError} from './errors.js';

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

/** Settings of `sesametally gateway`. */
export type GatewaySettings = {
	id: string;
	failureDomain: string;
	listen: Listen;
	admin: Listen & {teams: Team[]};
	platformLog: {url: string};
	peers: Peer[];
	backendServers: BackendServer[];
	clientAccounts: ClientAccount[];
	heartbeatMs: number;
	loadPollMs: number;
	/** Grace for in-flight streams on SIGTERM before the gateway exits anyway. */
	drainMs: number;
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
	model: string;
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
};

/** Settings of the plain service stand-in. */
export type ServiceStandinSettings = {
	id: string;
	listen: Listen;
	failureDomain: string;
	latencyMs: number;
};

/** Settings of the cloud API, VM list and weight store stand-ins. */
export type PlatformStandinSettings = {
	listen: Listen;
	failureDomain: string;
	/** For the VM list: how far behind the truth it is served. */
	lagMs: number;
	/** For the weight store: downloads allowed per second. */
	downloadsPerSecond: number;
	/** For the cloud API: warning before a reclaim takes effect. */
	reclaimNoticeMs: number;
	/** For the cloud API: hourly price by failure domain and machine class. */
	prices: Array<{failureDomain: string; machineClass: string; reclaimable: boolean; perHour: number}>;
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
			properties: {url: urlSchema},
			required: ['url'],
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
	},
	required: ['id', 'listen', 'failureDomain', 'model'],
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

const platformStandinSchema = {
	type: 'object',
	properties: {
		listen: listenSchema,
		failureDomain: idSchema,
		lagMs: {type: 'integer', minimum: 0, default: 2000},
		downloadsPerSecond: {type: 'integer', minimum: 1, default: 2},
		reclaimNoticeMs: {type: 'integer', minimum: 0, default: 5000},
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
	platform: compileCheck<PlatformStandinSettings>(platformStandinSchema, 'platform settings').validate,
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
