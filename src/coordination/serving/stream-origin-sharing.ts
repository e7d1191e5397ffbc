/** Tells other daemons at which version a stream began, as soon as replicas of another version could continue it by mistake. */
import {type ServiceVersions} from '../stream-origins/service-versions.js';
import {type StreamOriginExchange} from '../stream-origins/stream-origin-exchange.js';
import {computeStreamKey} from '../stream-origins/stream-origins.js';
import {type ServedRequest} from './served-request.js';

/** What a {@link StreamOriginSharing} depends on. */
export type StreamOriginSharingDependencies = {versions: Pick<ServiceVersions, 'isMixed'>; exchange: Pick<StreamOriginExchange, 'note'>};

/** Shares the origins of the streams that this daemon serves. */
export class StreamOriginSharing {
	constructor(private readonly dependencies: StreamOriginSharingDependencies) {}

	/** Shares the origin of a stream that has delivered its first event. */
	share(served: ServedRequest, nowMs: number): void {
		const {service} = served.inputs;
		if (needsSharing(served) && this.dependencies.versions.isMixed(service, nowMs)) {
			this.note(served);
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
				this.note(served);
			}
		}
	}

	private note(served: ServedRequest): void {
		const {account, service} = served.inputs;
		this.dependencies.exchange.note(computeStreamKey(account?.name, served.originalRequestId!), {service, version: served.version!});
		served.isOriginShared = true;
	}
}

function needsSharing(served: ServedRequest): boolean {
	return served.version !== undefined && !served.isOriginShared && served.inputs.route.isResumable && served.originalRequestId !== undefined;
}
