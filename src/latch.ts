/** A one-shot latch: tasks wait until it is opened once and for all. */

/** A latch that starts closed and stays open once opened. */
export class Latch {
	private isOpen = false;
	private readonly waiters = new Set<() => void>();

	/** Opens the latch and resolves all waiting calls. */
	open(): void {
		this.isOpen = true;
		for (const resume of this.waiters) {
			resume();
		}

		this.waiters.clear();
	}

	/** Resolves when the latch is open, or after `timeoutMs` milliseconds. */
	async wait(timeoutMs: number): Promise<void> {
		if (this.isOpen) {
			return;
		}

		await new Promise<void>(resolve => {
			const timer = setTimeout(() => {
				this.waiters.delete(resume);
				resolve();
			}, timeoutMs);
			const resume = () => {
				clearTimeout(timer);
				resolve();
			};

			this.waiters.add(resume);
		});
	}
}
