/** The stand-ins and admin actions of the command line, separate from the code that runs them, so that the command line loads only what it runs. */

/** The stand-ins of `sesametally standin`. */
export enum StandinPart {
	Log = 'log',
	Engine = 'engine',
	Service = 'service',
	Cloud = 'cloud',
	Vms = 'vms',
	Weights = 'weights',
}

/** The actions of `sesametally admin`. */
export enum AdminAction {
	Publish = 'publish',
	Activate = 'activate',
	Status = 'status',
	Drain = 'drain',
	Undrain = 'undrain',
	Dump = 'dump',
}
