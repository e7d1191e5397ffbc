/**
 * Tasks that keep the {@link BackendDirectory} up to date: one polls the cloud API's
 * reclaim notices, the other polls the VM list, which lags behind. While either cannot be
 * read, the directory keeps its last known state.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {type NoticePage, type VmEntry} from '../protocol/cloud-api.js';
import {fetchJson} from '../transport/http-client.js';
import {createLogger} from '../log.js';
import {type BackendDirectory, LeavingSource} from './backend-directory.js';

const log = createLogger('vms');

/** A source to poll, and the polling interval. */
export type PollTarget = {
	url: string;
	pollMs: number;
};

/** Polls the reclaim notices and passes them to the directory until the signal aborts. */
export async function followNotices(target: PollTarget, directory: BackendDirectory, signal: AbortSignal): Promise<void> {
	let from = 0;
	await pollUntilAborted('reclaim notices', target.pollMs, async () => {
		const page = await fetchJson<NoticePage>({
			method: 'GET', url: `${target.url}/notices?from=${from}`, timeoutMs: 2000, signal,
		});
		for (const notice of page.notices) {
			directory.markLeaving(notice.vm, LeavingSource.Notice, notice.leavesAtMs, Date.now());
		}

		from = page.next;
	}, signal);
}

/** Polls the VM list and passes it to the directory until the signal aborts. */
export async function followVmList(target: PollTarget, directory: BackendDirectory, signal: AbortSignal): Promise<void> {
	await pollUntilAborted('VM list', target.pollMs, async () => {
		const vms = await fetchJson<VmEntry[]>({
			method: 'GET', url: `${target.url}/vms`, timeoutMs: 2000, signal,
		});
		directory.applyVmList(vms, Date.now());
	}, signal);
}

async function pollUntilAborted(source: string, pollMs: number, read: () => Promise<void>, signal: AbortSignal): Promise<void> {
	let isFailing = false;
	while (!signal.aborted) {
		try {
			// eslint-disable-next-line no-await-in-loop
			await read();
			if (isFailing) {
				log.info('source reachable again.', {source});
			}

			isFailing = false;
		} catch (error) {
			if (!isFailing && !signal.aborted) {
				log.warn('source unreachable, keeping the last known state.', {source, error: String(error)});
			}

			isFailing = true;
		}

		// eslint-disable-next-line no-await-in-loop
		await delay(pollMs, undefined, {signal}).catch(() => undefined);
	}
}
