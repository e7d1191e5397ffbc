/** The era of the platform's store, as far as this daemon's reads have shown it. */

/** Tells whether the store has been restored since something was written to it. */
export class LogEra {
	private era: number | undefined;

	/** The highest era that an answer stated; undefined before the first answer. */
	get current(): number | undefined {
		return this.era;
	}

	/** Records the era that an answer states. */
	note(era: number): void {
		this.era = Math.max(this.era ?? era, era);
	}

	/** Whether what was written in an era may be missing, since the store has been restored. */
	isOutdated(writtenEra: number): boolean {
		return this.era !== undefined && writtenEra < this.era;
	}
}
