/**
 * Stand-in for the rate-limited weight store: `GET /weights/{model}` answers 429 when there
 * are more than `downloadsPerSecond` downloads in a second.
 */
import {createServerWithDiagnostics, startServer} from '../transport/http-server.js';
import {createMetricsRegistry} from '../transport/metrics-registry.js';
import {createLogger} from '../log.js';
import {waitForAbort} from '../abort.js';
import {type WeightsStandinSettings} from './settings.js';

const log = createLogger('standin-weights');

/**
 * Runs the weight store stand-in until the signal aborts.
 *
 * @throws {TransportError} When its port cannot be bound.
 */
export async function runWeightsStandin(settings: WeightsStandinSettings, signal: AbortSignal): Promise<void> {
	let windowStartMs = 0;
	let downloadsInWindow = 0;
	let downloads = 0;
	let refused = 0;
	const server = createServerWithDiagnostics(settings.listen, createMetricsRegistry(), () => ({downloads, refused}));
	server.route({
		method: 'GET',
		path: '/weights/{model}',
		handler(request, h) {
			const nowMs = Date.now();
			if (nowMs - windowStartMs >= 1000) {
				windowStartMs = nowMs;
				downloadsInWindow = 0;
			}

			if (downloadsInWindow >= settings.downloadsPerSecond) {
				refused++;
				return h.response({error: 'rate limited'}).code(429).header('retry-after', '1');
			}

			downloadsInWindow++;
			downloads++;
			return {model: request.params.model as string, bytes: 1024};
		},
	});
	await startServer(server);
	log.info('listening.', {port: server.info.port});
	await waitForAbort(signal);
	await server.stop({timeout: 1000});
}
