/**
 * Enables roarr before any logger is created. Roarr reads `ROARR_LOG` once, when it is
 * imported, so this module must be imported first. `SESAMETALLY_LOG=off` disables logs.
 */
import process from 'node:process';

if (process.env.SESAMETALLY_LOG !== 'off') {
	process.env.ROARR_LOG ??= 'true';
}
