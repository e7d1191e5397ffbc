/**
 * The records of the `config` stream on the platform log: presets, which preset is
 * in force, and drains. Each record names the config version it was based on; the
 * first record in log order for a base wins, so every reader decides races alike.
 */
import {compileCheck} from './schema.js';

/** The name of the stream that carries configuration. */
export const configStream = 'config';

/** The limits of one client account over the whole fleet. */
export type AccountLimit = {
	/** Sustained admissions per second. */
	requestsPerSecond: number;
	/** Admissions allowed in a burst above the sustained rate. */
	burst: number;
	/** Requests of the account in flight at once. */
	maxConcurrent: number;
};

/** How the controller keeps one model's fleet. */
export type ModelFleet = {
	/** Replicas kept however little there is to do. */
	min: number;
	/** Replicas never exceeded. */
	max: number;
	/** Requests in flight per replica at which the latency target is still met. */
	inFlightPerReplica: number;
	/** Share, from 0 to 1, of the needed replicas that the loss of one failure domain must leave. */
	survivingShare: number;
	machineClass: string;
};

/** A preset: one of the operators' named configurations, such as ordinary days or peaks. */
export type Preset = {
	name: string;
	limits: {
		default: AccountLimit;
		accounts?: Record<string, AccountLimit>;
	};
	routing?: {
		/** How much more loaded than the least loaded a prefix-affine backend server may be. */
		affinitySlack?: number;
	};
	/** The fleet of each model the controller keeps; a model not named is left alone. */
	fleet?: Record<string, ModelFleet>;
};

/** The configuration as of one record of the stream. */
export type ConfigSnapshot = {
	/** Offset of the last record it covers. */
	upTo: number;
	version: number;
	active?: string;
	presets: Array<{team: string; preset: Preset}>;
	drained: string[];
};

/** The kinds of record on the config stream. */
export enum ConfigRecordKind {
	Preset = 'preset',
	Activate = 'activate',
	Drain = 'drain',
	Undrain = 'undrain',
	/** The configuration so far, for gateways that start after older records expired. */
	Snapshot = 'snapshot',
}

/** A record on the config stream. */
export type ConfigRecord = {
	kind: ConfigRecordKind;
	/** A unique id, so that a publisher can find its record after a lost answer. */
	id: string;
	team: string;
	/** The config version (offset of the last accepted record, -1 for none) this change was based on. */
	base: number;
	preset?: Preset;
	/** For `activate`: the preset to put in force. */
	name?: string;
	/** For `drain` and `undrain`: the backend server id. */
	backendServer?: string;
	snapshot?: ConfigSnapshot;
};

const fleetSchema = {
	type: 'object',
	properties: {
		min: {type: 'integer', minimum: 0},
		max: {type: 'integer', minimum: 0},
		inFlightPerReplica: {type: 'number', exclusiveMinimum: 0},
		survivingShare: {type: 'number', minimum: 0, maximum: 1},
		machineClass: {type: 'string', minLength: 1},
	},
	required: ['min', 'max', 'inFlightPerReplica', 'survivingShare', 'machineClass'],
	additionalProperties: false,
};

const limitSchema = {
	type: 'object',
	properties: {
		requestsPerSecond: {type: 'number', exclusiveMinimum: 0},
		burst: {type: 'integer', minimum: 1},
		maxConcurrent: {type: 'integer', minimum: 1},
	},
	required: ['requestsPerSecond', 'burst', 'maxConcurrent'],
	additionalProperties: false,
};

/** Checks a preset as operators write it. */
export const checkPreset = compileCheck<Preset>({
	type: 'object',
	properties: {
		name: {type: 'string', pattern: '^[a-z0-9][a-z0-9-]*$'},
		limits: {
			type: 'object',
			properties: {
				default: limitSchema,
				accounts: {type: 'object', additionalProperties: limitSchema},
			},
			required: ['default'],
			additionalProperties: false,
		},
		routing: {
			type: 'object',
			properties: {affinitySlack: {type: 'number', minimum: 0}},
			additionalProperties: false,
		},
		fleet: {type: 'object', additionalProperties: fleetSchema},
	},
	required: ['name', 'limits'],
	additionalProperties: false,
}, 'preset');
