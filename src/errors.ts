/**
 * The base of every error class of the project. Each layer (transport, protocol,
 * coordination, state) derives its own class and wraps errors from below as `cause`.
 */
export class SesametallyError extends Error {
	constructor(message: string, options?: ErrorOptions) {
		super(message, options);
		this.name = new.target.name;
	}
}
