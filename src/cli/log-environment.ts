/**
 * Turns roarr on before any logger is created: roarr reads `ROARR_LOG` once, when
 * its root logger is made at import time, so this module is imported first.
 * `SESAMETALLY_LOG=off` keeps logs off.
 */
import process from 'node:process';

if (process.env.SESAMETALLY_LOG !== 'off') {
	process.env.ROARR_LOG ??= 'true';
}
