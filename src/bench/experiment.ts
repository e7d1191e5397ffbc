/**
 * The experiment file of `sesametally bench`: the load to generate, the mix of calls, and
 * fault steps at given times. The file is checked against a JSON schema.
 */
import {readFileSync} from 'node:fs';
import {compileCheck} from '../protocol/schema.js';

/** The actions of fault steps. */
export enum FaultAction {
	/** Sends SIGKILL to the process `pid`. */
	Kill = 'kill',
	/** Sends SIGSTOP to the process `pid`. */
	Stop = 'stop',
	/** Sends SIGCONT to the process `pid`. */
	Continue = 'continue',
	/** Sends SIGTERM to the process `pid`: a planned stop. */
	Terminate = 'terminate',
	/** Posts the switches `faults` to `/admin/faults` of the stand-in at `url`. */
	SetFaults = 'switch',
	/** Announces the reclaim of `failureDomain` on the cloud stand-in at `url`. */
	Reclaim = 'reclaim',
}

/** One fault step; which of the optional fields it needs depends on its action. */
export type FaultStep = {
	/** Time from the start of the experiment, in milliseconds. */
	atMs: number;
	action: FaultAction;
	pid?: number;
	url?: string;
	faults?: Record<string, unknown>;
	failureDomain?: string;
};

/** An experiment; durations in milliseconds. */
export type Experiment = {
	/** Seed of the random numbers; the same seed generates the same load. */
	seed: number;
	/** Client-facing URLs of the gateways, or of engines; requests are distributed round-robin. */
	gateways: string[];
	/** Admin URLs of the gateways, whose state is read after the load has ended. */
	gatewayAdmins?: string[];
	/** API key of each client account in the mix, with its share of requests. */
	accounts: Array<{apiKey: string; share: number}>;
	model: string;
	/** Open-loop arrival rate, requests per second (Poisson). */
	ratePerSecond: number;
	durationMs: number;
	maxRequests: number;
	promptWords: {min: number; max: number};
	/** Number of words at the start of each prompt that all prompts share, to exercise the prefix cache; 0 by default. */
	sharedPrefixWords?: number;
	maxTokens: {min: number; max: number};
	/** Share, from 0 to 1, of requests that are non-idempotent calls to `service`. */
	nonIdempotentShare?: number;
	service?: string;
	/** URL of the cloud stand-in, from which prices are read. */
	cloud?: string;
	/** Numbers of VMs in use, from which the cost per hour is calculated. */
	vms?: Array<{failureDomain: string; machineClass: string; reclaimable: boolean; count: number}>;
	faults?: FaultStep[];
};

const rangeSchema = {
	type: 'object',
	properties: {min: {type: 'integer', minimum: 1}, max: {type: 'integer', minimum: 1}},
	required: ['min', 'max'],
	additionalProperties: false,
};

/**
 * Checks an experiment against its schema.
 *
 * @throws {ProtocolError} When it does not match the schema.
 */
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
 * @throws {ProtocolError} When its content does not match the schema.
 */
export function loadExperiment(file: string): Experiment {
	return checkExperiment(JSON.parse(readFileSync(file, 'utf8')));
}
