/**
 * Wiring of a gateway's parts with `tsyringe`: each part is registered once per
 * process under its class or a token, and built on first use from the settings.
 */
// The decorator metadata polyfill that tsyringe needs loaded once, before any container use.
import 'reflect-metadata'; // eslint-disable-line import-x/no-unassigned-import
import {container, type DependencyContainer, instanceCachingFactory} from 'tsyringe';
import {type GatewaySettings} from '../protocol/gateway-settings.js';
import {ConfigTable} from '../state/config-table.js';
import {PlatformLog} from '../state/platform-log.js';
import {BackendDirectory} from '../coordination/backend-directory.js';
import {FleetController} from '../coordination/fleet-controller.js';
import {LeaseKeeper} from '../coordination/lease.js';
import {LeaseTable} from '../state/lease-table.js';
import {readClocks} from '../clock.js';
import {ServiceCalls} from '../coordination/service-calls.js';
import {LoadTracker} from '../coordination/load-tracker.js';
import {Completions} from '../coordination/completions.js';
import {Limits} from '../coordination/admission.js';
import {Membership} from '../coordination/membership.js';
import {Journal} from '../coordination/journal.js';
import {JournalTable, defaultJournalKeptMs} from '../state/journal-table.js';

/** The token of the gateway's settings. */
export const gatewaySettingsToken = Symbol('GatewaySettings');

/** Builds the container of one gateway. */
export function createGatewayContainer(settings: GatewaySettings): DependencyContainer {
	const child = container.createChildContainer();
	child.registerInstance(gatewaySettingsToken, settings);
	child.register(ConfigTable, {useFactory: instanceCachingFactory(() => new ConfigTable())});
	child.register(PlatformLog, {useFactory: instanceCachingFactory(() => new PlatformLog(settings.platformLog.url, settings.id))});
	child.register(Limits, {useFactory: instanceCachingFactory(() => new Limits())});
	child.register(Membership, {useFactory: instanceCachingFactory(() => new Membership(settings.heartbeatMs))});
	child.register(JournalTable, {useFactory: instanceCachingFactory(() => new JournalTable(settings.id, Math.min(defaultJournalKeptMs, settings.platformLog.retentionMs)))});
	child.register(Journal, {
		useFactory: instanceCachingFactory(resolver => new Journal(resolver.resolve(PlatformLog), resolver.resolve(JournalTable), settings.id, settings.journalFlushMs)),
	});
	child.register(LeaseTable, {useFactory: instanceCachingFactory(() => new LeaseTable())});
	child.register(LeaseKeeper, {
		useFactory: instanceCachingFactory(resolver => new LeaseKeeper({
			platformLog: resolver.resolve(PlatformLog), table: resolver.resolve(LeaseTable), holder: settings.id, leaseMs: settings.controller.leaseMs,
		}, readClocks())),
	});
	child.register(FleetController, {
		useFactory: instanceCachingFactory(resolver => new FleetController({
			lease: resolver.resolve(LeaseKeeper),
			config: resolver.resolve(ConfigTable),
			platformLog: resolver.resolve(PlatformLog),
			loads: resolver.resolve(LoadTracker),
			cloudUrl: settings.cloud?.url,
			retentionMs: settings.platformLog.retentionMs,
			passMs: settings.controller.passMs,
			silentMs: settings.controller.silentMs,
		})),
	});
	child.register(BackendDirectory, {
		useFactory: instanceCachingFactory(resolver => {
			const config = resolver.resolve(ConfigTable);
			return new BackendDirectory(settings.backendServers, () => config.drained);
		}),
	});
	child.register(LoadTracker, {useFactory: instanceCachingFactory(resolver => new LoadTracker(resolver.resolve(BackendDirectory), settings.loadPollMs))});
	child.register(ServiceCalls, {useFactory: instanceCachingFactory(resolver => new ServiceCalls(resolver.resolve(BackendDirectory), resolver.resolve(Journal)))});
	child.register(Completions, {
		useFactory: instanceCachingFactory(resolver => {
			const config = resolver.resolve(ConfigTable);
			return new Completions({
				directory: resolver.resolve(BackendDirectory),
				loads: resolver.resolve(LoadTracker),
				affinitySlack: () => config.activePreset?.routing?.affinitySlack,
			});
		}),
	});
	return child;
}
