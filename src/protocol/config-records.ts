/**
 * The records of the `config` stream of the platform's log: presets, the activation of
 * a preset, and drains. Each record names the configuration version that it is based on.
 * Of several records with the same base, only the first in log order is accepted, so that
 * every reader resolves concurrent changes alike.
 */
import {compileCheck} from './schema.js';

/** The name of the stream that carries configuration. */
export const configStream = 'config';

/** The limits of one client account, over all gateways together. */
export type AccountLimit = {
	/** Sustained rate of admitted requests. */
	requestsPerSecond: number;
	/** Number of requests that may be admitted in a burst above the sustained rate. */
	burst: number;
	/** Maximum number of requests of the account in flight. */
	maxConcurrent: number;
};

/** The size and kind of the fleet that the controller maintains for one model. */
export type ModelFleet = {
	/** Minimum number of replicas, whatever the load. */
	min: number;
	/** Maximum number of replicas. */
	max: number;
	/** Requests in flight per replica at which the latency target is still met. */
	inFlightPerReplica: number;
	/** Share of the needed replicas, from 0 to 1, that must remain after the loss of one failure domain. */
	survivingShare: number;
	machineClass: string;
};

/** A preset: a named configuration of the operators, such as one for ordinary days or one for peaks. */
export type Preset = {
	name: string;
	limits: {
		default: AccountLimit;
		accounts?: Record<string, AccountLimit>;
	};
	routing?: {
		/** How much more load than the least loaded backend server one with a matching prompt prefix may have and still be chosen. */
		affinitySlack?: number;
	};
	/** The fleet of each model that the controller scales; other models are not scaled. */
	fleet?: Record<string, ModelFleet>;
};

/** The configuration as of one record of the config stream. */
export type ConfigSnapshot = {
	/** Offset of the last record that the snapshot covers. */
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
	/** The whole configuration, for gateways that start after older records expired. */
	Snapshot = 'snapshot',
}

/** A record on the config stream. */
export type ConfigRecord = {
	kind: ConfigRecordKind;
	/** A unique id, by which a publisher finds its record if the answer to its append was lost. */
	id: string;
	team: string;
	/** The configuration version that the change is based on: the offset of the last accepted record, or -1 for none. */
	base: number;
	preset?: Preset;
	/** For `activate`: the name of the preset to activate. */
	name?: string;
	/** For `drain` and `undrain`: the id of the backend server. */
	backendServer?: string;
	snapshot?: ConfigSnapshot;
};

const modelFleetSchema = {
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

const accountLimitSchema = {
	type: 'object',
	properties: {
		requestsPerSecond: {type: 'number', exclusiveMinimum: 0},
		burst: {type: 'integer', minimum: 1},
		maxConcurrent: {type: 'integer', minimum: 1},
	},
	required: ['requestsPerSecond', 'burst', 'maxConcurrent'],
	additionalProperties: false,
};

/** Checks a preset that an operator submits. */
export const checkPreset = compileCheck<Preset>({
	type: 'object',
	properties: {
		name: {type: 'string', pattern: '^[a-z0-9][a-z0-9-]*$'},
		limits: {
			type: 'object',
			properties: {
				default: accountLimitSchema,
				accounts: {type: 'object', additionalProperties: accountLimitSchema},
			},
			required: ['default'],
			additionalProperties: false,
		},
		routing: {
			type: 'object',
			properties: {affinitySlack: {type: 'number', minimum: 0}},
			additionalProperties: false,
		},
		fleet: {type: 'object', additionalProperties: modelFleetSchema},
	},
	required: ['name', 'limits'],
	additionalProperties: false,
}, 'preset');
