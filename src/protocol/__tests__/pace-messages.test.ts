/** Guards against datagrams of strangers that put impossible paces into the placement of all daemons. */
import {describe, expect, it} from 'vitest';
import {FleetMessageKind, isFleetMessage} from '../fleet-messages.js';

const sender = {
	name: 'a', incarnation: 'a#1', failureDomain: 'fd-a', address: {host: '10.0.0.1', port: 1}, uptimeMs: 1, isStopping: false,
};

describe('a message with paces', () => {
	it.each<{paces: unknown; isValid: boolean}>([
		{paces: [], isValid: true},
		{paces: [[1, 70, 0], [2, 170.5, 20_000]], isValid: true},
		{paces: [[1, 10_000, 0]], isValid: true},
		{paces: undefined, isValid: false},
		{paces: {}, isValid: false},
		{paces: [undefined], isValid: false},
		{paces: [{backend: 1, percent: 70, ageMs: 0}], isValid: false},
		{paces: [[1, 70]], isValid: false},
		{paces: [[1, 70, 0, 0]], isValid: false},
		{paces: [['1', 70, 0]], isValid: false},
		{paces: [[1.5, 70, 0]], isValid: false},
		{paces: [[1, '70', 0]], isValid: false},
		{paces: [[1, 0, 0]], isValid: false},
		{paces: [[1, -70, 0]], isValid: false},
		{paces: [[1, 10_001, 0]], isValid: false},
		{paces: [[1, Number.NaN, 0]], isValid: false},
		{paces: [[1, Number.POSITIVE_INFINITY, 0]], isValid: false},
		{paces: [[1, 70, -1]], isValid: false},
		{paces: [[1, 70, Number.NaN]], isValid: false},
		{paces: [[1, 70, 0], [2, 0, 0]], isValid: false},
	])('is accepted: $isValid, with $paces', ({paces, isValid}) => {
		expect(isFleetMessage({kind: FleetMessageKind.Paces, sender, paces})).toBe(isValid);
	});
});
