/** What the singleton duties work with. */
import {type Cloud, type DutyHolder} from '../protocol/platform.js';
import {type Service} from '../protocol/serving.js';
import {type SteadyClock} from '../clock.js';
import {type BackendTable} from '../state/backend-table.js';
import {type RouteTable} from '../state/route-table.js';
import {type DutyLease} from './duty-lease.js';
import {type PoolNeed} from './pool-plan.js';
import {type UsageLedger} from './usage-ledger.js';

/** How long the list of backend servers has been followed without a loss, and how long no new one came, in milliseconds. */
export type FollowedList = {followedForMs: number; unchangedForMs: number};

/** The parts the duties work with. */
export type DutyParts = {
	cloud: Cloud;
	lease: DutyLease;
	usage: UsageLedger;
	routes: RouteTable;
	backends: BackendTable;
	clock: SteadyClock;
	name: string;
	usageWindowMs: number;
	/** Whether the whole system starts for the first time. */
	isFirstStart: boolean;
	/** How the list of backend servers has been followed. */
	list: (nowMs: number) => FollowedList;
	/** What each service needs now. */
	need: (service: Service) => PoolNeed;
};

/** This daemon as the holder, while it may act. */
export function holderOf({lease, clock, name}: DutyParts): DutyHolder | undefined {
	const token = lease.tokenAt(clock.now());
	return token === undefined ? undefined : {name, token};
}
