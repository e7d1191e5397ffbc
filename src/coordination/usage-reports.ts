/**
 * Reports the usage of each window while this daemon holds the duties. A report is decided by
 * appending its counts to the platform's store before it is sent. Whoever holds the lease
 * later repeats the decided counts and never others, so that no window is reported in two
 * ways.
 */
import {Buffer} from 'node:buffer';
import {DutyResult} from '../protocol/platform.js';
import {type WindowCounts} from '../protocol/fleet-messages.js';
import {createLogger} from '../log.js';
import {sumOf} from '../sum.js';
import {type DutyParts, holderOf} from './duty-parts.js';
import {fieldsOf, readOwnRecord} from './own-record.js';

const log = createLogger('duties');

/** Time after a window's end until the counts of all daemons have come, in milliseconds: five rounds of messages. */
const countsSettleMs = 1300;
/** Windows looked back for reports that are still due. */
const reportedBack = 2;
/** A usage report that was decided. */
type DecidedReport = {window: number; counts: WindowCounts};

function isDecidedReport(value: unknown): value is DecidedReport {
	const {window, counts} = fieldsOf(value);
	return Number.isInteger(window) && Object.values(fieldsOf(counts)).every(count => typeof count === 'number') && typeof counts === 'object';
}

/** The usage reports of the holder. */
export class UsageReports {
	private sentWindow: number | undefined;

	constructor(private readonly parts: DutyParts) {}

	/** Decides the next window's report, or sends a decided one. */
	async report(signal: AbortSignal): Promise<void> {
		const {clock, usageWindowMs, usage, lease} = this.parts;
		if (!holderOf(this.parts)) {
			return;
		}

		const decided = this.decided();
		const newest = usage.windowAt(clock.wallNow() - countsSettleMs) - 1;
		if (decided && decided.window > (this.sentWindow ?? -1) && decided.window >= newest - reportedBack) {
			await this.sendReport(decided, signal);
			return;
		}

		const window = decided ? Math.max(decided.window + 1, newest - reportedBack) : newest;
		const counts = window <= newest ? usage.total(window) : undefined;
		if (!counts) {
			return;
		}

		const report = {window, counts};
		if (await lease.recordUsage(Buffer.from(JSON.stringify(report)), signal)) {
			log.info('usage decided.', {window, windowMs: usageWindowMs, requests: sumOf(Object.values(counts))});
			await this.sendReport(report, signal);
		}
	}

	private async sendReport(report: DecidedReport, signal: AbortSignal): Promise<void> {
		const holder = holderOf(this.parts);
		if (!holder) {
			return;
		}

		const result = await this.parts.cloud.reportUsage(holder, report.window, report.counts, signal);
		log.info('usage reported.', {window: report.window, result, token: holder.token});
		if (result === DutyResult.Accepted) {
			this.sentWindow = report.window;
		} else if (result === DutyResult.Refused) {
			this.parts.lease.doubt();
		}
	}

	private decided(): DecidedReport | undefined {
		const record = this.parts.lease.usageRecord;
		return record && readOwnRecord(record, isDecidedReport, 'decided usage report');
	}
}
