import {SesametallyError} from '../errors.js';

/** A read or append on the platform log that failed, or a stream that cannot be rebuilt. */
export class StateError extends SesametallyError {}

/** An append whose outcome is unknown: the log may have taken it. */
export class UnknownAppendError extends StateError {}
