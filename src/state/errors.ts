/** The errors of the log's and the store's clients and of the state rebuilt from them. */
import {SesametallyError} from '../errors.js';

/** A failed read or append on the platform's log, or a stream whose state cannot be rebuilt. */
export class StateError extends SesametallyError {}

/** An append whose outcome is unknown: the log may have stored it. */
export class UnknownAppendError extends StateError {}
