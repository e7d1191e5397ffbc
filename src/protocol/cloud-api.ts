/**
 * The HTTP messages of the platform's cloud API and VM list, as their stand-ins serve them.
 *
 * Cloud API:
 * - `GET /prices`: {@link Price} rows.
 * - `GET /notices?from=N`: {@link NoticePage}, the reclaim notices from number N on.
 * - `GET /vms`: the current {@link VmEntry} rows of all VMs that are not gone.
 * - `POST /vms` with {@link VmOrder}: 200 {@link VmEntry}; 503 when there is no capacity.
 *   An order that repeats a `requestId` returns the VM that the first one started.
 * - `DELETE /vms/{name}`: stops a VM.
 *
 * VM list:
 * - `GET /vms`: {@link VmEntry} rows, some seconds out of date.
 */

/** The states of a VM. */
export enum VmState {
	Booting = 'booting',
	Live = 'live',
	/** Its reclaim was announced; it stops at `leavesAtMs`. */
	Leaving = 'leaving',
	Gone = 'gone',
}

/** A VM of the fleet. Its name is the id of the backend server on it and is never reused. */
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
	/** Makes the order idempotent: a repeated order starts no further VM. */
	requestId: string;
	failureDomain: string;
	machineClass: string;
	reclaimable: boolean;
};

/** A notice that a reclaimable VM is going to be stopped. */
export type ReclaimNotice = {
	number: number;
	vm: string;
	failureDomain: string;
	noticedAtMs: number;
	leavesAtMs: number;
};

/** The notices from a number on, and the number to request from next. */
export type NoticePage = {
	next: number;
	notices: ReclaimNotice[];
};

/** The price of one kind of VM, in dollars per hour. */
export type Price = {
	failureDomain: string;
	machineClass: string;
	reclaimable: boolean;
	perHour: number;
};
