/**
 * Keeps to the limits that backend servers in need state of themselves: requests a second
 * from all daemons together. A daemon that divided such a limit by the number of daemons
 * would have a share below one request in any useful time, and hundreds of daemons that each
 * send one are too many already. So a few daemons, chosen alike by all, send to a limited
 * backend server at an even pace; the others send nothing. Daemons tell each other what they
 * heard, since one that sends nothing hears nothing.
 */
import {type LimitNews} from '../protocol/fleet-messages.js';
import {createLogger} from '../log.js';
import {backendKey} from './fleet/backend-key.js';

const log = createLogger('limits');

/** Daemons beyond the limit's requests a second that send to a limited backend server, so that one that fails is no gap. Each may be one request ahead of the pace. */
const moreSenders = 2;
/** Share of a stated limit that is used; the rest covers daemons that disagree for a moment on who sends. */
const usedShare = 0.9;
/** A stated limit below this is paced as this, in requests a second, so that its end is noticed. */
const leastPerSecond = 0.1;
/** A backend server that nobody heard of for this long gets the next request that it may, to learn whether its limit still holds, in milliseconds; twice as long after each such trial that brings no word, since it may be dead. */
const unheardMs = 3000;
/** A limit that nobody heard restated for this long is forgotten, in milliseconds. */
const forgottenMs = 5 * 60_000;
/** A choice of senders is kept this long, in milliseconds: it changes when daemons come and go. */
const choiceKeptMs = 100;
/** What is new is told for this long, in milliseconds: eight rounds, of which datagrams may lose some. */
const toldMs = 2000;

/** Whether this daemon sends to a backend server, and how many daemons do. */
export type SenderChoice = {isSender: boolean; senders: number};

/** Whether a backend server may get a request now. */
export enum Permission {
	Free = 'free',
	/** Its limit leaves no room, or other daemons send to it. */
	Withheld = 'withheld',
	/** It may get one, and should, since it has not been heard of for a while. */
	Due = 'due',
}

type Statement = {
	/** Undefined when it stated that it has no limit any more. */
	perSecond: number | undefined;
	statedAtMs: number;
	changedAtMs: number;
	/** When this daemon may send the next request. */
	nextAtMs: number;
	/** Requests sent to hear of it since it last stated something, and when the last one was. */
	trials: number;
	triedAtMs: number;
	/** Who sends to it, and when that was chosen. */
	choice: (SenderChoice & {atMs: number}) | undefined;
};

/** What backend servers stated of their limits, as one daemon knows it. */
export class StatedLimits {
	/** By the key of the backend server. */
	private readonly statements = new Map<number, Statement>();

	/** @param chooseSenders Which daemons send to a backend server, of at most as many. */
	constructor(private readonly chooseSenders: (backend: number, most: number, nowMs: number) => SenderChoice) {}

	/** Whether no backend server is limited. */
	get isEmpty(): boolean {
		return this.statements.size === 0;
	}

	/** Notes what an answer of a backend server says of its limit; undefined when it names none. */
	noteStated(backendId: string, perSecond: number | undefined, nowMs: number): void {
		const key = backendKey(backendId);
		if (perSecond !== undefined || this.statements.has(key)) {
			const known = this.statements.get(key);
			this.take(key, perSecond, nowMs, nowMs);
			if (known?.perSecond !== perSecond) {
				log.info('limit stated.', {backend: backendId, perSecond, before: known?.perSecond});
			}
		}
	}

	/** Whether a backend server may get a request from this daemon now. */
	permission(backendId: string, nowMs: number): Permission {
		const key = backendKey(backendId);
		const statement = this.statements.get(key);
		if (statement?.perSecond === undefined) {
			return Permission.Free;
		}

		if (nowMs < statement.nextAtMs || !this.choose(key, statement, nowMs).isSender) {
			return Permission.Withheld;
		}

		return isDue(statement, nowMs) ? Permission.Due : Permission.Free;
	}

	/** Notes that a request was sent to a backend server. */
	noteSent(backendId: string, nowMs: number): void {
		const key = backendKey(backendId);
		const statement = this.statements.get(key);
		if (statement?.perSecond !== undefined) {
			const {senders} = this.choose(key, statement, nowMs);
			if (isDue(statement, nowMs)) {
				statement.trials++;
				statement.triedAtMs = nowMs;
			}

			statement.nextAtMs = Math.max(nowMs, statement.nextAtMs) + (senders * pauseMs(statement.perSecond));
		}
	}

	/** Time until one of these backend servers may get a request, from this daemon or from another, in milliseconds; undefined when none is limited. */
	returnAfterMs(backendIds: string[], nowMs: number): number | undefined {
		const waits = backendIds.map(id => this.statements.get(backendKey(id))).filter(statement => statement?.perSecond !== undefined).map(statement => Math.max(pauseMs(statement!.perSecond!), statement!.nextAtMs - nowMs));
		return waits.length > 0 ? Math.min(...waits) : undefined;
	}

	/** Whether a backend server has a limit now. */
	isLimited(backendId: string): boolean {
		return this.statements.get(backendKey(backendId))?.perSecond !== undefined;
	}

	/** What other daemons should know: what changed of late, and with `withAll` every limit in force. */
	news(withAll: boolean, nowMs: number): LimitNews[] {
		const told: LimitNews[] = [];
		for (const [backend, {perSecond, statedAtMs, changedAtMs}] of this.statements) {
			if (nowMs - statedAtMs > forgottenMs) {
				this.statements.delete(backend);
			} else if (nowMs - changedAtMs <= toldMs || (withAll && perSecond !== undefined)) {
				told.push({backend, perSecond, ageMs: Math.round(nowMs - statedAtMs)});
			}
		}

		return told;
	}

	/** Takes what another daemon heard, where it is newer. A daemon that `passesOn` tells what is new to it on. */
	hear(news: LimitNews[], passesOn: boolean, nowMs: number): void {
		for (const {backend, perSecond, ageMs} of news) {
			const known = this.statements.get(backend);
			const statedAtMs = nowMs - ageMs;
			if (!known || statedAtMs > known.statedAtMs) {
				this.take(backend, perSecond, statedAtMs, passesOn ? nowMs : Number.NEGATIVE_INFINITY);
			}
		}
	}

	/** What a state dump shows. */
	toJson(nowMs: number): unknown {
		return [...this.statements].map(([backend, {perSecond, statedAtMs, nextAtMs}]) => ({
			backend, perSecond, statedMsAgo: Math.round(nowMs - statedAtMs), nextInMs: Math.round(nextAtMs - nowMs),
		}));
	}

	private take(backend: number, perSecond: number | undefined, statedAtMs: number, toldFromMs: number): void {
		const known = this.statements.get(backend);
		this.statements.set(backend, {
			perSecond,
			statedAtMs,
			changedAtMs: known && known.perSecond === perSecond ? known.changedAtMs : toldFromMs,
			nextAtMs: known?.nextAtMs ?? Number.NEGATIVE_INFINITY,
			trials: 0,
			triedAtMs: Number.NEGATIVE_INFINITY,
			choice: known?.perSecond === perSecond ? known?.choice : undefined,
		});
	}

	private choose(backend: number, statement: Statement, nowMs: number): SenderChoice {
		if (!statement.choice || nowMs - statement.choice.atMs > choiceKeptMs) {
			statement.choice = {...this.chooseSenders(backend, Math.floor(statement.perSecond ?? 0) + moreSenders, nowMs), atMs: nowMs};
		}

		return statement.choice;
	}
}

/** Whether a limited backend server should get the next request that it may. */
function isDue({statedAtMs, triedAtMs, trials}: Statement, nowMs: number): boolean {
	return nowMs - Math.max(statedAtMs, triedAtMs) > unheardMs * (2 ** trials);
}

/** Time between two requests of all daemons together, in milliseconds. */
function pauseMs(perSecond: number): number {
	return 1000 / (Math.max(leastPerSecond, perSecond) * usedShare);
}
