/**
 * Decides for which services backend servers are assigned by coordinators: for those whose
 * backend servers state that they differ in pace, and for all services of a configuration in
 * which requests of very different urgency share engines. Elsewhere each daemon's own placement
 * does as well without the round trip.
 */
import {RequestKind, type ServingConfig} from '../../protocol/serving.js';

/** When coordinators assign requests to backend servers. */
export enum AssignmentMode {
	/** Where the configuration or the backend servers call for it. */
	Auto = 'auto',
	Off = 'off',
}

/** Factor from which on latency targets count as very different: a prompt that is in time for the longer one can make the shorter one late by itself. */
const minTargetRatio = 3;

/** Whether requests of different priorities share a service although the more urgent ones have a much shorter latency target. */
export function hasMixedUrgency({routes}: Pick<ServingConfig, 'routes'>): boolean {
	const streaming = routes.filter(({kind}) => kind === RequestKind.Streaming);
	return streaming.some(urgent => streaming.some(other => urgent.priority < other.priority
		&& urgent.latencyTargetMs * minTargetRatio <= other.latencyTargetMs
		&& urgent.targets.some(({service}) => other.targets.some(target => target.service === service))));
}

/** Follows the configuration for {@link hasMixedUrgency}. */
export class AssignmentActivation {
	private checked: ServingConfig | undefined;
	private isMixed = false;

	/**
	 * @param isEnabled Whether the operator allows it.
	 * @param config Returns the configuration in force.
	 * @param isPaceStated Whether a backend server of a service has stated its pace of late.
	 */
	constructor(
		private readonly isEnabled: boolean,
		private readonly config: () => ServingConfig | undefined,
		private readonly isPaceStated: (service: string, nowMs: number) => boolean,
	) {}

	/** Whether the requests of a service are assigned by coordinators. */
	isActive(service: string, nowMs: number): boolean {
		const config = this.config();
		if (!this.isEnabled || !config) {
			return false;
		}

		if (this.checked !== config) {
			this.checked = config;
			this.isMixed = hasMixedUrgency(config);
		}

		return this.isMixed || this.isPaceStated(service, nowMs);
	}
}
