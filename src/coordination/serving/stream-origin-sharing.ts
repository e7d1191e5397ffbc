/**
 * Tells other daemons at which version a stream began, as soon as replicas of another version
 * could continue it by mistake. The list may show a backend server that has restarted since, as
 * another version, so its start time is asked first; the stream goes on meanwhile.
 */
import {type EngineClient} from '../../protocol/platform.js';
import {createLogger} from '../../log.js';
import {type ServiceVersions} from '../stream-origins/service-versions.js';
import {type StreamOriginExchange} from '../stream-origins/stream-origin-exchange.js';
import {computeStreamKey} from '../stream-origins/stream-origins.js';
import {hasRestarted} from './restart-check.js';
import {type ServedRequest} from './served-request.js';

const log = createLogger('versions');

/** What a {@link StreamOriginSharing} depends on. */
export type StreamOriginSharingDependencies = {
	versions: Pick<ServiceVersions, 'isMixed'>;
	exchange: Pick<StreamOriginExchange, 'note'>;
	engines: Pick<EngineClient, 'readStartTime'>;
	signal: AbortSignal;
};

/** Shares the origins of the streams that this daemon serves. */
export class StreamOriginSharing {
	constructor(private readonly dependencies: StreamOriginSharingDependencies) {}

	/** Shares the origin of a stream that has delivered its first event, if its service has several versions. */
	share(served: ServedRequest, nowMs: number): void {
		const {service} = served.inputs;
		if (needsSharing(served) && this.dependencies.versions.isMixed(service, nowMs)) {
			void this.shareOrigin(served);
		}
	}

	/** Shares the origins of streams that began while one version served, if there are several now. */
	shareAll(streams: Iterable<ServedRequest>, nowMs: number): void {
		const isMixed = new Map<string, boolean>();
		for (const served of streams) {
			const {service} = served.inputs;
			if (!isMixed.has(service)) {
				isMixed.set(service, this.dependencies.versions.isMixed(service, nowMs));
			}

			if (isMixed.get(service) && needsSharing(served)) {
				void this.shareOrigin(served);
			}
		}
	}

	private async shareOrigin(served: ServedRequest): Promise<void> {
		const {exchange, engines, signal} = this.dependencies;
		const {account, service, request} = served.inputs;
		served.isOriginShared = true;
		// It has not restarted since the stream began either, if it states the listed start time.
		if (served.beganAt && await hasRestarted(engines, served.beganAt, signal)) {
			served.noteUnknownVersion();
			log.info('stream began at a backend server that had restarted, no other continues it.', {request: request.id, backend: served.beganAt.id});
			return;
		}

		exchange.note(computeStreamKey(account?.name, served.originalRequestId!), {service, version: served.version!});
	}
}

function needsSharing(served: ServedRequest): boolean {
	return served.version !== undefined && !served.isOriginShared && served.inputs.route.isResumable && served.originalRequestId !== undefined;
}
