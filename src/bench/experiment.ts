/**
 * The experiment file of `sesametally bench`: the load to offer, the mix of calls,
 * and fault steps at set times. Checked against its schema with `ajv`.
 */
import {readFileSync} from 'node:fs';
import {compileCheck} from '../protocol/schema.js';

/** The kinds of fault step. */
export enum FaultAction {
	/** SIGKILL a process by id. */
	Kill = 'kill',
	/** SIGSTOP a process by id. */
	Stop = 'stop',
	/** SIGCONT a process by id. */
	Continue = 'continue',
	/** SIGTERM a process by id: a planned stop. */
	Terminate = 'terminate',
	/** Post fault switches to a stand-in's `/admin/faults`. */
	Switch = 'switch',
	/** Announce a reclaim of a failure domain on the cloud stand-in. */
	Reclaim = 'reclaim',
}

/** One fault step. */
export type FaultStep = {
	atMs: number;
	action: FaultAction;
	pid?: number;
	url?: string;
	faults?: Record<string, unknown>;
	failureDomain?: string;
};

/** An experiment. */
export type Experiment = {
	seed: number;
	/** Caller URLs of the gateways; requests go to them in turn. */
	gateways: string[];
	/** Admin URLs of the gateways, for reading their state after the run. */
	gatewayAdmins?: string[];
	/** API key of each client account in the mix, with its share of requests. */
	accounts: Array<{apiKey: string; share: number}>;
	model: string;
	/** Open-loop arrival rate, requests per second (Poisson). */
	ratePerSecond: number;
	durationMs: number;
	maxRequests: number;
	promptWords: {min: number; max: number};
	/** Shared prefix length in words, to exercise the prefix cache; 0 for none. */
	sharedPrefixWords?: number;
	maxTokens: {min: number; max: number};
	/** Share of requests that go to a plain service as non-idempotent calls. */
	nonIdempotentShare?: number;
	service?: string;
	/** Cloud stand-in URL, for prices. */
	cloud?: string;
	/** VMs in use, by failure domain and machine class, for the cost figure. */
	vms?: Array<{failureDomain: string; machineClass: string; reclaimable: boolean; count: number}>;
	faults?: FaultStep[];
};

const rangeSchema = {
	type: 'object',
	properties: {min: {type: 'integer', minimum: 1}, max: {type: 'integer', minimum: 1}},
	required: ['min', 'max'],
	additionalProperties: false,
};

/** Checks an experiment. */
export const checkExperiment = compileCheck<Experiment>({
	type: 'object',
	properties: {
		seed: {type: 'integer'},
		gateways: {type: 'array', items: {type: 'string'}, minItems: 1},
		gatewayAdmins: {type: 'array', items: {type: 'string'}},
		accounts: {
			type: 'array',
			minItems: 1,
			items: {
				type: 'object',
				properties: {apiKey: {type: 'string'}, share: {type: 'number', minimum: 0}},
				required: ['apiKey', 'share'],
				additionalProperties: false,
			},
		},
		model: {type: 'string'},
		ratePerSecond: {type: 'number', exclusiveMinimum: 0, maximum: 5000},
		durationMs: {type: 'integer', minimum: 1, maximum: 600_000},
		maxRequests: {type: 'integer', minimum: 1, maximum: 1_000_000},
		promptWords: rangeSchema,
		sharedPrefixWords: {type: 'integer', minimum: 0},
		maxTokens: rangeSchema,
		nonIdempotentShare: {type: 'number', minimum: 0, maximum: 1},
		service: {type: 'string'},
		cloud: {type: 'string'},
		vms: {
			type: 'array',
			items: {
				type: 'object',
				properties: {
					failureDomain: {type: 'string'},
					machineClass: {type: 'string'},
					reclaimable: {type: 'boolean'},
					count: {type: 'integer', minimum: 0},
				},
				required: ['failureDomain', 'machineClass', 'reclaimable', 'count'],
				additionalProperties: false,
			},
		},
		faults: {
			type: 'array',
			items: {
				type: 'object',
				properties: {
					atMs: {type: 'integer', minimum: 0},
					action: {enum: Object.values(FaultAction)},
					pid: {type: 'integer'},
					url: {type: 'string'},
					faults: {type: 'object'},
					failureDomain: {type: 'string'},
				},
				required: ['atMs', 'action'],
				additionalProperties: false,
			},
		},
	},
	required: ['seed', 'gateways', 'accounts', 'model', 'ratePerSecond', 'durationMs', 'maxRequests', 'promptWords', 'maxTokens'],
	additionalProperties: false,
}, 'experiment');

/**
 * Reads and checks an experiment file.
 *
 * @throws {ProtocolError} When the file fails its schema.
 */
export function loadExperiment(file: string): Experiment {
	return checkExperiment(JSON.parse(readFileSync(file, 'utf8')));
}
