/** A daemon that cannot tell whether an order names a new version, since it has not read the orders. */
import {type VersionEvidence} from '../serving-versions.js';

export const noEvidence: VersionEvidence = {
	ordersViewAgeMs: () => Number.POSITIVE_INFINITY, appearedAtMs: () => 0, wasListedBefore: () => false,
};
