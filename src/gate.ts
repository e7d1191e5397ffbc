/** A gate that is closed until it is opened once. */

/** Holds callers until it opens. */
export class Gate {
	private isOpen = false;
	private readonly waiting = new Set<() => void>();

	open(): void {
		this.isOpen = true;
		for (const pass of this.waiting) {
			pass();
		}

		this.waiting.clear();
	}

	/** Resolves when the gate is open, or after `mostMs`. */
	async wait(mostMs: number): Promise<void> {
		if (this.isOpen) {
			return;
		}

		await new Promise<void>(resolve => {
			const timer = setTimeout(() => {
				this.waiting.delete(pass);
				resolve();
			}, mostMs);
			const pass = () => {
				clearTimeout(timer);
				resolve();
			};

			this.waiting.add(pass);
		});
	}
}
