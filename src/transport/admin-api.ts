/**
 * The administration API of a gateway: publishes and activates presets, drains backend
 * servers, and reports the status of every gateway. The settings define each team's bearer
 * token; a request without a valid token gets status 401, and one beyond the team's role or
 * for another team's preset gets 403. Configuration changes are appended to the platform
 * log; the response waits until this gateway has processed the record and states whether
 * the change was accepted.
 */
import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import type Hapi from '@hapi/hapi';
import {
	type ConfigRecord, ConfigRecordKind, checkPreset, configStream,
} from '../protocol/config-records.js';
import {ProtocolError} from '../protocol/errors.js';
import {compileCheck} from '../protocol/schema.js';
import {type Team, TeamRole} from '../protocol/gateway-settings.js';
import {type ConfigTable} from '../state/config-table.js';
import {type PlatformLog} from '../state/platform-log.js';
import {UnknownAppendError} from '../state/errors.js';
import {createLogger} from '../log.js';
import {bearerToken} from './http-server.js';

const log = createLogger('admin');

/** Longest wait for this gateway to process a published record, in milliseconds. */
export const applyTimeoutMs = 17_000;
const applyPollIntervalMs = 20;

const checkActivation = compileCheck<{name: string}>({
	type: 'object',
	properties: {name: {type: 'string', minLength: 1}, base: {type: 'integer'}},
	required: ['name'],
	additionalProperties: false,
}, 'activation');

const checkDrain = compileCheck<{backendServer: string; undo?: boolean}>({
	type: 'object',
	properties: {backendServer: {type: 'string', minLength: 1}, undo: {type: 'boolean'}, base: {type: 'integer'}},
	required: ['backendServer'],
	additionalProperties: false,
}, 'drain');

/** The dependencies of the admin routes. */
export type AdminContext = {
	teams: Team[];
	config: ConfigTable;
	platformLog: PlatformLog;
	status: () => unknown;
};

/** Adds the admin routes to a server. */
export function addAdminRoutes(server: Hapi.Server, context: AdminContext): void {
	const teamsByToken = new Map(context.teams.map(team => [team.token, team]));

	const authorize = (request: Hapi.Request, h: Hapi.ResponseToolkit, role: TeamRole): Team | Hapi.ResponseObject => {
		const team = teamsByToken.get(bearerToken(request));
		if (!team) {
			return h.response({error: 'a team bearer token is required'}).code(401);
		}

		if (role === TeamRole.Operator && team.role !== TeamRole.Operator) {
			return h.response({error: `team ${team.name} may only read`}).code(403);
		}

		return team;
	};

	const publish = async (h: Hapi.ResponseToolkit, record: ConfigRecord) => {
		try {
			await context.platformLog.append(configStream, [record]);
		} catch (error) {
			if (!(error instanceof UnknownAppendError)) {
				log.warn('platform log refused the config change.', {id: record.id, error: String(error)});
				return h.response({error: 'the platform log refused the change; it was not published', outcome: 'not-run'}).code(503).header('retry-after', '1');
			}

			log.warn('outcome of the config append unknown, waiting for the record.', {id: record.id});
		}

		const deadline = Date.now() + applyTimeoutMs;
		while (Date.now() < deadline) {
			const outcome = context.config.outcomes.get(record.id);
			if (outcome) {
				return outcome.accepted
					? {accepted: true, version: outcome.offset}
					: h.response({
						accepted: false, offset: outcome.offset, reason: outcome.reason, version: context.config.version,
					}).code(409);
			}

			// eslint-disable-next-line no-await-in-loop
			await delay(applyPollIntervalMs);
		}

		return h.response({error: 'the change was not seen applied in time; its outcome is unknown', outcome: 'unknown', id: record.id}).code(504);
	};

	const readBaseVersion = (request: Hapi.Request) => {
		const base = (request.payload as {base?: number} | undefined)?.base;
		return typeof base === 'number' ? base : context.config.version;
	};

	/** Adds a route that only operators may call; `perform` gets the caller's team. */
	const addOperatorRoute = (path: string, perform: (team: Team, request: Hapi.Request, h: Hapi.ResponseToolkit) => ReturnType<typeof publish> | Hapi.ResponseObject) => {
		server.route({
			method: 'POST',
			path,
			async handler(request, h) {
				const team = authorize(request, h, TeamRole.Operator);
				if (isResponse(team)) {
					return team;
				}

				try {
					return await perform(team, request, h);
				} catch (error) {
					if (error instanceof ProtocolError) {
						return h.response({error: error.message}).code(400);
					}

					throw error;
				}
			},
		});
	};

	addOperatorRoute('/admin/presets', async (team, request, h) => {
		const preset = checkPreset((request.payload as {preset?: unknown} | undefined)?.preset);
		const owner = context.config.presets.get(preset.name)?.team;
		if (owner !== undefined && owner !== team.name) {
			return h.response({error: `preset ${preset.name} belongs to team ${owner}`}).code(403);
		}

		return publish(h, {
			kind: ConfigRecordKind.Preset, id: randomUUID(), team: team.name, base: readBaseVersion(request), preset,
		});
	});
	addOperatorRoute('/admin/activate', async (team, request, h) => {
		const {name} = checkActivation(request.payload);
		return publish(h, {
			kind: ConfigRecordKind.Activate, id: randomUUID(), team: team.name, base: readBaseVersion(request), name,
		});
	});
	addOperatorRoute('/admin/drain', async (team, request, h) => {
		const {backendServer, undo} = checkDrain(request.payload);
		return publish(h, {
			kind: undo ? ConfigRecordKind.Undrain : ConfigRecordKind.Drain, id: randomUUID(), team: team.name, base: readBaseVersion(request), backendServer,
		});
	});

	server.route({
		method: 'GET',
		path: '/admin/status',
		handler(request, h) {
			const team = authorize(request, h, TeamRole.Viewer);
			return isResponse(team) ? team : context.status();
		},
	});
}

function isResponse(value: Team | Hapi.ResponseObject): value is Hapi.ResponseObject {
	return !('role' in value && 'token' in value);
}
