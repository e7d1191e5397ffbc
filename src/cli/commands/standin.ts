/**
 * `sesametally standin <part>`: runs one stand-in of a platform service in a process of its own.
 */
import process from 'node:process';
import {
	type EngineStandinSettings, type LogStandinSettings, type CloudStandinSettings, type ServiceStandinSettings, type VmListStandinSettings, type WeightsStandinSettings, standinValidators,
} from '../../standins/settings.js';
import {loadSettings} from '../../protocol/settings.js';
import {runLogStandin} from '../../standins/platform-log.js';
import {runEngineStandin} from '../../standins/engine.js';
import {runServiceStandin} from '../../standins/service.js';
import {runCloudStandin} from '../../standins/cloud.js';
import {runVmListStandin} from '../../standins/vm-list.js';
import {runWeightsStandin} from '../../standins/weight-store.js';
import {StandinPart} from '../subcommands.js';

/**
 * Runs a stand-in until the signal aborts.
 *
 * @throws {SettingsError} When the settings are invalid; no port is open then.
 */
export async function runStandin(part: StandinPart, settingsFile: string, signal: AbortSignal): Promise<void> {
	switch (part) {
		case StandinPart.Log: {
			await runLogStandin(loadSettings<LogStandinSettings>(settingsFile, standinValidators.log), signal);
			break;
		}

		case StandinPart.Engine: {
			await runEngineStandin(loadSettings<EngineStandinSettings>(settingsFile, standinValidators.engine), signal);
			break;
		}

		case StandinPart.Service: {
			await runServiceStandin(loadSettings<ServiceStandinSettings>(settingsFile, standinValidators.service), signal);
			break;
		}

		case StandinPart.Cloud: {
			await runCloudStandin(loadSettings<CloudStandinSettings>(settingsFile, standinValidators.cloud), signal);
			break;
		}

		case StandinPart.Vms: {
			await runVmListStandin(loadSettings<VmListStandinSettings>(settingsFile, standinValidators.vms), signal);
			break;
		}

		case StandinPart.Weights: {
			await runWeightsStandin(loadSettings<WeightsStandinSettings>(settingsFile, standinValidators.weights), signal);
			break;
		}
	}
}
