/**
 * Stand-ins for the rest of the platform, each run as its own process:
 *
 * - cloud API: `GET /prices`, `POST /vms` (start a VM; `refuseStarts` fault refuses),
 *   `POST /admin/reclaim` `{failureDomain}` (announce a reclaim wave), `GET /notices?since=ms`.
 * - VM list: `GET /vms` answers the list as it was `lagMs` ago; `PUT /vms/{name}` sets an entry.
 * - weight store: `GET /weights/{model}` answers 429 over `downloadsPerSecond`.
 */
import {type PlatformStandinSettings} from '../protocol/settings.js';
import {createRegistry, createServer, startServer} from '../transport/http-server.js';
import {createLogger} from '../log.js';
import {waitForAbort} from '../abort.js';
import {addFaultRoute} from './faults.js';

/** The three platform stand-ins this module serves. */
export enum PlatformPart {
	Cloud = 'cloud',
	Vms = 'vms',
	Weights = 'weights',
}

/** A reclaim notice: the VMs of a failure domain go at `effectiveAtMs`. */
type ReclaimNotice = {failureDomain: string; noticedAtMs: number; effectiveAtMs: number};

/** An entry of the VM list. */
type VmEntry = {name: string; failureDomain: string; state: 'live' | 'leaving'; changedAtMs: number};

/**
 * Runs one platform stand-in until the signal aborts.
 *
 * @throws {TransportError} When its port cannot be bound.
 */
export async function runPlatformStandin(part: PlatformPart, settings: PlatformStandinSettings, signal: AbortSignal): Promise<void> {
	const log = createLogger(`standin-${part}`);
	const faults: {refuseStarts?: boolean} = {};
	const notices: ReclaimNotice[] = [];
	const vms = new Map<string, VmEntry[]>();
	let started = 0;
	let downloadWindowMs = 0;
	let downloadsInWindow = 0;
	const server = createServer(settings.listen, createRegistry(), () => ({
		part, notices, started, vms: Object.fromEntries(vms),
	}));
	addFaultRoute(server, faults);

	if (part === PlatformPart.Cloud) {
		server.route({method: 'GET', path: '/prices', handler: () => settings.prices});
		server.route({
			method: 'POST',
			path: '/vms',
			handler(request, h) {
				if (faults.refuseStarts) {
					return h.response({error: 'capacity not available'}).code(503);
				}

				started++;
				return {name: `vm-${started}`, ...(request.payload as Record<string, unknown>)};
			},
		});
		server.route({
			method: 'POST',
			path: '/admin/reclaim',
			handler(request) {
				const nowMs = Date.now();
				const {failureDomain} = request.payload as {failureDomain: string};
				const notice = {failureDomain, noticedAtMs: nowMs, effectiveAtMs: nowMs + settings.reclaimNoticeMs};
				notices.push(notice);
				log.info('reclaim announced.', notice);
				return notice;
			},
		});
		server.route({
			method: 'GET',
			path: '/notices',
			handler: request => notices.filter(notice => notice.noticedAtMs >= Number(request.query.since ?? 0)),
		});
	}

	if (part === PlatformPart.Vms) {
		server.route({
			method: 'PUT',
			path: '/vms/{name}',
			handler(request) {
				const {failureDomain, state} = request.payload as Pick<VmEntry, 'failureDomain' | 'state'>;
				const name = request.params.name as string;
				const history = vms.get(name) ?? [];
				history.push({
					name, failureDomain, state, changedAtMs: Date.now(),
				});
				vms.set(name, history);
				return {ok: true};
			},
		});
		server.route({
			method: 'GET',
			path: '/vms',
			handler() {
				const asOfMs = Date.now() - settings.lagMs;
				return [...vms.values()]
					.map(history => history.findLast(entry => entry.changedAtMs <= asOfMs))
					.filter(entry => entry !== undefined);
			},
		});
	}

	if (part === PlatformPart.Weights) {
		server.route({
			method: 'GET',
			path: '/weights/{model}',
			handler(request, h) {
				const nowMs = Date.now();
				if (nowMs - downloadWindowMs >= 1000) {
					downloadWindowMs = nowMs;
					downloadsInWindow = 0;
				}

				if (downloadsInWindow >= settings.downloadsPerSecond) {
					return h.response({error: 'rate limited'}).code(429).header('retry-after', '1');
				}

				downloadsInWindow++;
				return {model: request.params.model, bytes: 1024};
			},
		});
	}

	await startServer(server);
	log.info('listening.', {port: server.info.port});
	await waitForAbort(signal);
	await server.stop({timeout: 1000});
}
