/**
 * The settings of the stand-ins and their schemas.
 */
import {type ValidateFunction} from 'ajv';
import {type Price, type VmEntry} from '../protocol/cloud-api.js';
import {compileCheck} from '../protocol/schema.js';
import {
	type Listen, idSchema, listenSchema, urlSchema,
} from '../protocol/settings.js';

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

/** The validators of the stand-ins' settings, by stand-in. */
export const standinValidators = {
	log: compileCheck<LogStandinSettings>(logStandinSchema, 'log settings').validate,
	engine: compileCheck<EngineStandinSettings>(engineStandinSchema, 'engine settings').validate,
	service: compileCheck<ServiceStandinSettings>(serviceStandinSchema, 'service settings').validate,
	cloud: compileCheck<CloudStandinSettings>(cloudStandinSchema, 'cloud settings').validate,
	vms: compileCheck<VmListStandinSettings>(vmListStandinSchema, 'vms settings').validate,
	weights: compileCheck<WeightsStandinSettings>(weightsStandinSchema, 'weights settings').validate,
} satisfies Record<string, ValidateFunction>;
