/**
 * The HTTP shapes of the platform's cloud API and VM list, as their stand-ins serve them.
 *
 * Cloud API:
 * - `GET /prices`: {@link Price} rows.
 * - `GET /notices?from=N`: {@link NoticePage}, the reclaim notices from number N on.
 * - `GET /vms`: every VM not yet gone, as {@link VmEntry} rows, without lag.
 * - `POST /vms` with {@link VmOrder}: 200 {@link VmEntry}; 503 when there is no capacity.
 *   An order with a `requestId` seen before answers the VM it started then.
 * - `DELETE /vms/{name}`: stops a VM.
 *
 * VM list:
 * - `GET /vms`: {@link VmEntry} rows as they were some seconds ago.
 */

/** The states of a VM. */
export enum VmState {
	Booting = 'booting',
	Live = 'live',
	/** A reclaim was announced; it goes at `leavesAtMs`. */
	Leaving = 'leaving',
	Gone = 'gone',
}

/** A VM of the fleet; its name is the id of the backend server on it and is never reused. */
export type VmEntry = {
	name: string;
	url: string;
	failureDomain: string;
	machineClass: string;
	reclaimable: boolean;
	state: VmState;
	/** Dollars per hour. */
	perHour: number;
	startedAtMs: number;
	leavesAtMs?: number;
};

/** An order to start a VM. */
export type VmOrder = {
	/** Makes the order idempotent: a repeat starts nothing new. */
	requestId: string;
	failureDomain: string;
	machineClass: string;
	reclaimable: boolean;
};

/** One reclaim notice. */
export type ReclaimNotice = {
	number: number;
	vm: string;
	failureDomain: string;
	noticedAtMs: number;
	leavesAtMs: number;
};

/** The notices from a number on, and the number to ask from next. */
export type NoticePage = {
	next: number;
	notices: ReclaimNotice[];
};

/** What a VM costs per hour. */
export type Price = {
	failureDomain: string;
	machineClass: string;
	reclaimable: boolean;
	perHour: number;
};
