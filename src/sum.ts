/** Adds numbers up. */
export function sumOf(numbers: Iterable<number>): number {
	let sum = 0;
	for (const number of numbers) {
		sum += number;
	}

	return sum;
}
