/**
 * Takes changed settings into force while the daemon runs. Bounds are changed in place;
 * what a port, an address or the length of a counted window was set to holds until the
 * next start, which the log says.
 */
import {type FrontSettings, type ServiceBounds} from '../protocol/platform.js';

/** Bounds whose change would make what was counted so far meaningless, or two daemons disagree on who may act. */
const fixedBounds: ReadonlySet<keyof ServiceBounds> = new Set(['quotaWindowMs', 'retryWindowMs', 'usageWindowMs', 'leaseMs']);

/** What a reload changed. */
export type SettingsChange = {
	/** Bounds in force with their new values. */
	changed: Partial<ServiceBounds>;
	/** Names of settings that differ and need a restart. */
	needRestart: string[];
};

/** Changes the bounds in force to those of freshly read settings. */
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
	// A restart is no first start, so that one changes by itself.
	needRestart.push(...names.filter(name => name !== 'bounds' && name !== 'isFirstStart' && JSON.stringify(reloaded[name]) !== JSON.stringify(current[name])));
	return {changed, needRestart};
}
