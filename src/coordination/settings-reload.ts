/**
 * Applies changed settings while the daemon runs. Bounds are changed in place. Changes of
 * ports, addresses and the lengths of counted windows need a restart, which is logged.
 */
import {type FrontSettings, type ServiceBounds} from '../protocol/platform.js';

/** Bounds that only a restart changes: otherwise earlier counts would become meaningless, or two daemons could disagree on which one may act. */
const fixedBounds: ReadonlySet<keyof ServiceBounds> = new Set(['quotaWindowMs', 'retryWindowMs', 'usageWindowMs', 'leaseMs']);

/** The result of a reload. */
export type SettingsChange = {
	/** Changed bounds that apply at once, with their new values. */
	changed: Partial<ServiceBounds>;
	/** Names of settings that differ and need a restart. */
	needRestart: string[];
};

/** Applies the bounds of reloaded settings to the current settings. */
export function applySettings(current: FrontSettings, reloaded: FrontSettings): SettingsChange {
	const changed: Partial<ServiceBounds> = {};
	const needRestart: string[] = [];
	for (const [name, value] of Object.entries(reloaded.bounds) as Array<[keyof ServiceBounds, number]>) {
		if (value === current.bounds[name]) {
			continue;
		}

		if (fixedBounds.has(name)) {
			needRestart.push(name);
		} else {
			changed[name] = value;
		}
	}

	Object.assign(current.bounds, changed);
	const names = Object.keys(reloaded) as Array<keyof FrontSettings>;
	// `isFirstStart` is ignored, because it changes by itself after the first start.
	needRestart.push(...names.filter(name => name !== 'bounds' && name !== 'isFirstStart' && JSON.stringify(reloaded[name]) !== JSON.stringify(current[name])));
	return {changed, needRestart};
}
