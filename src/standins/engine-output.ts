/**
 * The deterministic output of the engine stand-in: token `i` of the answer to a prompt
 * depends only on the prompt and `i`. So a test can check a whole answer byte for byte, and
 * a resumed stream can continue at any index.
 */
import {createHash} from 'node:crypto';

const vocabulary = [
	'copper',
	'cathode',
	'assay',
	'warrant',
	'lot',
	'fixing',
	'window',
	'cargo',
	'price',
	'member',
	'parking',
	'space',
	'gate',
	'driver',
	'lease',
	'booking',
	'resident',
	'lane',
	'ticket',
	'summary',
	'the',
	'a',
	'of',
	'and',
	'to',
	'in',
	'is',
	'for',
	'on',
	'with',
];

/** Returns token `index` (0-based) of the answer to `prompt`, with its trailing space. */
export function generateToken(prompt: string, index: number): string {
	const digest = createHash('sha256').update(prompt).update('\0').update(String(index)).digest();
	return vocabulary[digest.readUInt32BE(0) % vocabulary.length] + ' ';
}

/** Returns the whole answer of `maxTokens` tokens to `prompt`. */
export function generateCompletionText(prompt: string, maxTokens: number): string {
	let text = '';
	for (let index = 0; index < maxTokens; index++) {
		text += generateToken(prompt, index);
	}

	return text;
}
