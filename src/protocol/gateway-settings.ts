/** The settings of `sesametally gateway` and their schema. */
import {type MachineLimits} from './platform.js';
import {compileCheck} from './schema.js';
import {
	type Listen, idSchema, listenSchema, urlSchema,
} from './settings.js';

/** The role a team's token grants on the administration API. */
export enum TeamRole {
	Operator = 'operator',
	Viewer = 'viewer',
}

/** A team that may use the administration API, and its bearer token. */
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

/** A client account and its API keys. */
export type ClientAccount = {
	name: string;
	apiKeys: string[];
};

/** Another gateway, whose `url` is the WebSocket address of its admin port. */
export type Peer = {
	id: string;
	url: string;
};

/** The settings of the controller. */
export type ControllerSettings = {
	/** How long a lease lasts after its last renewal, in milliseconds of each gateway's monotonic clock. */
	leaseMs: number;
	/** Interval between two checks of the fleet, in milliseconds. */
	passMs: number;
	/** How long an engine may be silent before its VM is stopped and replaced, in milliseconds. */
	silentMs: number;
};

/** Settings of `sesametally gateway`. */
export type GatewaySettings = {
	id: string;
	failureDomain: string;
	/** The memory and the descriptors that the gateway may take, from which the limits of its callers follow. */
	machine: MachineLimits;
	listen: Listen;
	admin: Listen & {teams: Team[]};
	/** The platform's log, and how long it retains records. */
	platformLog: {url: string; retentionMs: number};
	/** The platform's cloud API, which announces reclaims and takes the controller's orders of VMs. */
	cloud?: {url: string; noticePollMs: number};
	/** The platform's VM list, which is some seconds out of date. */
	vmList?: {url: string; pollMs: number};
	/** The settings of the controller, which runs on the gateway that holds the lease. */
	controller: ControllerSettings;
	peers: Peer[];
	backendServers: BackendServer[];
	clientAccounts: ClientAccount[];
	/** Interval between two heartbeats to a peer. */
	heartbeatMs: number;
	/** Interval between two queries of an engine's load. */
	loadPollMs: number;
	/** How long in-flight streams may continue after SIGTERM before the gateway exits anyway. */
	drainMs: number;
	/** How long `/ready` answers 503 after SIGTERM before the port closes. */
	notReadyMs: number;
	/** How long intents of non-idempotent calls wait so that several share one append to the journal. */
	journalFlushMs: number;
};

const gatewaySchema = {
	type: 'object',
	properties: {
		id: idSchema,
		failureDomain: idSchema,
		machine: {
			type: 'object',
			default: {},
			properties: {
				memoryMegabytes: {type: 'integer', minimum: 64, default: 512},
				maxDescriptors: {type: 'integer', minimum: 256, default: 4096},
			},
			additionalProperties: false,
		},
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
				silentMs: {type: 'integer', minimum: 100, default: 30_000},
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

/** The validator of a gateway's settings. */
export const gatewayValidator = compileCheck<GatewaySettings>(gatewaySchema, 'gateway settings').validate;
