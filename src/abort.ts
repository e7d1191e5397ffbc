/**
 * Helpers for abort signals, which end the long-running tasks of a process.
 */

/** Resolves when the signal aborts. */
export async function waitForAbort(signal: AbortSignal): Promise<void> {
	if (signal.aborted) {
		return;
	}

	await new Promise<void>(resolve => {
		signal.addEventListener('abort', () => {
			resolve();
		}, {once: true});
	});
}
