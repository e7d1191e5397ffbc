/** Waits until what has arrived on all sockets has been read. */
import {setImmediate as nextCheckPhase} from 'node:timers/promises';

/** Resolves once the event loop has polled all sockets again: the next check phase may belong to the poll in progress, the one after it does not. */
export async function nextPoll(): Promise<void> {
	await nextCheckPhase();
	await nextCheckPhase();
}
