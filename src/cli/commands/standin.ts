/**
 * `sesametally standin <part>`: runs one stand-in of the platform as its own process.
 */
import process from 'node:process';
import {
	type EngineStandinSettings, type LogStandinSettings, type PlatformStandinSettings, type ServiceStandinSettings,
	loadSettings, settingsValidators,
} from '../../protocol/settings.js';
import {runLogStandin} from '../../standins/log.js';
import {runEngineStandin} from '../../standins/engine.js';
import {runServiceStandin} from '../../standins/service.js';
import {type PlatformPart, runPlatformStandin} from '../../standins/platform.js';

/** The stand-ins the command can run. */
export enum StandinPart {
	Log = 'log',
	Engine = 'engine',
	Service = 'service',
	Cloud = 'cloud',
	Vms = 'vms',
	Weights = 'weights',
}

/**
 * Runs a stand-in until the signal aborts.
 *
 * @throws {SettingsError} Before any port opens, when the settings are bad.
 */
export async function runStandin(part: StandinPart, settingsFile: string, signal: AbortSignal): Promise<void> {
	switch (part) {
		case StandinPart.Log: {
			await runLogStandin(loadSettings<LogStandinSettings>(settingsFile, settingsValidators.log), signal);
			break;
		}

		case StandinPart.Engine: {
			await runEngineStandin(loadSettings<EngineStandinSettings>(settingsFile, settingsValidators.engine), signal);
			break;
		}

		case StandinPart.Service: {
			await runServiceStandin(loadSettings<ServiceStandinSettings>(settingsFile, settingsValidators.service), signal);
			break;
		}

		case StandinPart.Cloud:
		case StandinPart.Vms:
		case StandinPart.Weights: {
			const platformPart = part as unknown as PlatformPart;
			await runPlatformStandin(platformPart, loadSettings<PlatformStandinSettings>(settingsFile, settingsValidators.platform), signal);
			break;
		}
	}
}
