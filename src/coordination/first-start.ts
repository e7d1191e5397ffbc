/**
 * Whether the whole system starts for the first time, so that nothing was admitted and no stream
 * began before this daemon's start. The settings claim it, also when a process is started again
 * with the settings file that it had. The platform's store knows better: daemons leave records
 * there.
 */
export class FirstStart {
	private state: boolean | undefined;

	/** @param isClaimed Whether the settings say so. */
	constructor(isClaimed: boolean) {
		this.state = isClaimed ? undefined : false;
	}

	/** Whether it is certain that the system starts for the first time. */
	get isConfirmed(): boolean {
		return this.state === true;
	}

	/** Whether the store must be asked. */
	get isUncertain(): boolean {
		return this.state === undefined;
	}

	/** Records whether the store has records of an earlier start. */
	settle(hasEarlierRecords: boolean): void {
		this.state ??= !hasEarlierRecords;
	}
}
