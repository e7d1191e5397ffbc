/**
 * Dependency injection for a gateway, based on `tsyringe`. Each component is registered
 * under its class or a token, and created once, on first use, from the settings.
 */
// Tsyringe requires this metadata polyfill before any use of a container.
import 'reflect-metadata'; // eslint-disable-line import-x/no-unassigned-import
import {container, type DependencyContainer, instanceCachingFactory} from 'tsyringe';
import {type GatewaySettings} from '../protocol/gateway-settings.js';
import {ConfigTable} from '../state/config-table.js';
import {PlatformLog} from '../state/platform-log.js';
import {BackendDirectory} from '../coordination/backend-directory.js';
import {FleetController} from '../coordination/fleet-controller.js';
import {ControllerLease} from '../coordination/controller-lease.js';
import {LeaseTable} from '../state/lease-table.js';
import {readClocks} from '../clock.js';
import {ServiceCalls} from '../coordination/service-calls.js';
import {LoadTracker} from '../coordination/load-tracker.js';
import {Completions} from '../coordination/completions.js';
import {AccountLimiter} from '../coordination/admission.js';
import {Membership} from '../coordination/membership.js';
import {Journal} from '../coordination/journal.js';
import {JournalTable, defaultJournalRetentionMs} from '../state/journal-table.js';

/** The injection token of the gateway's settings. */
export const gatewaySettingsToken = Symbol('GatewaySettings');

/** Creates the dependency injection container of one gateway. */
export function createGatewayContainer(settings: GatewaySettings): DependencyContainer {
	const gatewayContainer = container.createChildContainer();
	gatewayContainer.registerInstance(gatewaySettingsToken, settings);
	gatewayContainer.register(ConfigTable, {useFactory: instanceCachingFactory(() => new ConfigTable())});
	gatewayContainer.register(PlatformLog, {useFactory: instanceCachingFactory(() => new PlatformLog(settings.platformLog.url, settings.id))});
	gatewayContainer.register(AccountLimiter, {useFactory: instanceCachingFactory(() => new AccountLimiter())});
	gatewayContainer.register(Membership, {useFactory: instanceCachingFactory(() => new Membership(settings.heartbeatMs))});
	gatewayContainer.register(JournalTable, {useFactory: instanceCachingFactory(() => new JournalTable(settings.id, Math.min(defaultJournalRetentionMs, settings.platformLog.retentionMs)))});
	gatewayContainer.register(Journal, {
		useFactory: instanceCachingFactory(resolver => new Journal(resolver.resolve(PlatformLog), resolver.resolve(JournalTable), settings.id, settings.journalFlushMs)),
	});
	gatewayContainer.register(LeaseTable, {useFactory: instanceCachingFactory(() => new LeaseTable())});
	gatewayContainer.register(ControllerLease, {
		useFactory: instanceCachingFactory(resolver => new ControllerLease({
			platformLog: resolver.resolve(PlatformLog), table: resolver.resolve(LeaseTable), holder: settings.id, leaseMs: settings.controller.leaseMs,
		}, readClocks())),
	});
	gatewayContainer.register(FleetController, {
		useFactory: instanceCachingFactory(resolver => new FleetController({
			lease: resolver.resolve(ControllerLease),
			config: resolver.resolve(ConfigTable),
			platformLog: resolver.resolve(PlatformLog),
			loads: resolver.resolve(LoadTracker),
			cloudUrl: settings.cloud?.url,
			retentionMs: settings.platformLog.retentionMs,
			passMs: settings.controller.passMs,
			silentMs: settings.controller.silentMs,
		})),
	});
	gatewayContainer.register(BackendDirectory, {
		useFactory: instanceCachingFactory(resolver => {
			const config = resolver.resolve(ConfigTable);
			return new BackendDirectory(settings.backendServers, () => config.drained);
		}),
	});
	gatewayContainer.register(LoadTracker, {useFactory: instanceCachingFactory(resolver => new LoadTracker(resolver.resolve(BackendDirectory), settings.loadPollMs))});
	gatewayContainer.register(ServiceCalls, {useFactory: instanceCachingFactory(resolver => new ServiceCalls(resolver.resolve(BackendDirectory), resolver.resolve(Journal)))});
	gatewayContainer.register(Completions, {
		useFactory: instanceCachingFactory(resolver => {
			const config = resolver.resolve(ConfigTable);
			return new Completions({
				directory: resolver.resolve(BackendDirectory),
				loads: resolver.resolve(LoadTracker),
				affinitySlack: () => config.activePreset?.routing?.affinitySlack,
			});
		}),
	});
	return gatewayContainer;
}
