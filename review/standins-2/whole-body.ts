/** Returns the body of a replica's single answer to a request. */
export function wholeBody(id: string): string {
	return `${id}:${'0123456789'.repeat(80)}:end\n`;
}
