import {SesametallyError} from '../errors.js';

/** A decision that could not be made or carried out: routing, admission, config. */
export class CoordinationError extends SesametallyError {}

/** No backend server can take the request; nothing was dispatched. */
export class NoBackendError extends CoordinationError {}
