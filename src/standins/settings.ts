/**
 * The settings of the stand-ins and their JSON schemas.
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
	/** How long records are retained, in milliseconds. */
	retentionMs: number;
	/** Rate limit on appends. */
	appendsPerSecond: number;
};

/** Settings of the model engine stand-in. */
export type EngineStandinSettings = {
	id: string;
	listen: Listen;
	failureDomain: string;
	/** The model loaded at the start; without it the engine loads one when it is ordered to. */
	model?: string;
	/** Time per output token in milliseconds: the length of a scheduler tick. */
	tpotMs: number;
	/** Prompt tokens that a sequence prefills per tick. */
	prefillTokensPerTick: number;
	/** Maximum number of running sequences. */
	maxBatch: number;
	/** Size of the prefix cache, in blocks of `blockTokens`. */
	cacheBlocks: number;
	blockTokens: number;
	/** Interval at which the reported load is refreshed, in milliseconds; 0 refreshes it at each tick. */
	loadLagMs: number;
	/** Whether orders with an old fencing token are refused. */
	checksFencing: boolean;
	/** How long the KV cache of an abandoned or exported request is held, in milliseconds. */
	kvHoldMs: number;
	/** URL of the weight store; without it an ordered model is loaded at once. */
	weightsUrl?: string;
	/** Whether a VM runs on the slot from the start. */
	powered: boolean;
};

/** Settings of the plain service stand-in. */
export type ServiceStandinSettings = {
	id: string;
	listen: Listen;
	failureDomain: string;
	/** Time that a call takes to execute, in milliseconds. */
	latencyMs: number;
};

/** Settings of the cloud API stand-in. */
export type CloudStandinSettings = {
	listen: Listen;
	failureDomain: string;
	/** Time between the notice of a reclaim and the stop of the VM, in milliseconds. */
	reclaimNoticeMs: number;
	/** Time that a VM takes to boot, in milliseconds. */
	bootMs: number;
	prices: Price[];
	/** VMs that run from the start. */
	vms: Array<Pick<VmEntry, 'name' | 'url' | 'failureDomain' | 'machineClass' | 'reclaimable'>>;
	/** Engine processes that can run a VM, including those of `vms`. */
	slots: Array<{url: string; failureDomain: string}>;
};

/** Settings of the VM list stand-in. */
export type VmListStandinSettings = {
	listen: Listen;
	failureDomain: string;
	cloudUrl: string;
	/** How far the served list lags behind the cloud's, in milliseconds. */
	lagMs: number;
};

/** Settings of the weight store stand-in. */
export type WeightsStandinSettings = {
	listen: Listen;
	failureDomain: string;
	/** Rate limit on weight downloads. */
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

const vmEntrySchema = {
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
		vms: {type: 'array', default: [], items: vmEntrySchema},
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

/** The settings validators of the stand-ins, keyed by the stand-in's name on the command line. */
export const standinValidators = {
	log: compileCheck<LogStandinSettings>(logStandinSchema, 'log settings').validate,
	engine: compileCheck<EngineStandinSettings>(engineStandinSchema, 'engine settings').validate,
	service: compileCheck<ServiceStandinSettings>(serviceStandinSchema, 'service settings').validate,
	cloud: compileCheck<CloudStandinSettings>(cloudStandinSchema, 'cloud settings').validate,
	vms: compileCheck<VmListStandinSettings>(vmListStandinSchema, 'vms settings').validate,
	weights: compileCheck<WeightsStandinSettings>(weightsStandinSchema, 'weights settings').validate,
} satisfies Record<string, ValidateFunction>;
