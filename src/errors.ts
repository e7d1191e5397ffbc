/**
 * The base class of all errors of the project. Each layer (transport, protocol,
 * coordination, state) derives its own classes and sets errors of lower layers as `cause`.
 */
export class SesametallyError extends Error {
	constructor(message: string, options?: ErrorOptions) {
		super(message, options);
		this.name = new.target.name;
	}
}
