/**
 * `sesametally explain`: asks a running daemon where a request would go now, and why, without
 * sending it. If another daemon coordinates the backend servers, that one is asked as well.
 */
import process from 'node:process';
import {requestJson} from '../../transport/http-client.js';
import {type RequestExplanation, ExplainedOutcome} from '../../coordination/serving/request-explanation.js';

/** The options of the command. */
export type ExplainOptions = {
	/** Diagnostics address of a daemon. */
	url: string;
	host: string;
	path: string;
	account: string | undefined;
	/** Prompt tokens and most output tokens, separated by a comma. */
	tokens: string | undefined;
	/** Parts of the prompt, as ID:TOKENS separated by commas. */
	parts: string | undefined;
	json: boolean;
};

/** Time after which a daemon that does not answer is given up, in milliseconds. */
const answerTimeoutMs = 5000;

/** The answer of a daemon: an explanation, or why there is none. */
type ExplainAnswer = Partial<RequestExplanation> & {error?: string};

/**
 * Runs the command.
 *
 * @returns The process exit code: 0 if the request would be sent or queued, 1 if it would not, 2 if nothing could be explained.
 * @throws {TransportError} When the daemon does not answer.
 */
export async function runExplain(options: ExplainOptions, write: (text: string) => void = text => process.stdout.write(text)): Promise<number> {
	let answer = await ask(options.url, options);
	const coordinator = answer.outcome === ExplainedOutcome.DecidedElsewhere ? answer.groups?.at(0)?.coordinator : undefined;
	if (coordinator) {
		const address = new URL(options.url);
		address.hostname = coordinator.host;
		try {
			answer = {...await ask(address.href, options), limit: answer.limit};
		} catch (error) {
			write(`coordinator ${coordinator.name} does not answer at ${address.host}: ${String(error)}\n`);
		}
	}

	if (answer.outcome === undefined) {
		write(`cannot explain: ${answer.error ?? 'the daemon is of another version'}\n`);
		return 2;
	}

	write(options.json ? `${JSON.stringify(answer, undefined, 2)}\n` : describe(answer as RequestExplanation));
	return answer.outcome === ExplainedOutcome.Sent || answer.outcome === ExplainedOutcome.Queued ? 0 : 1;
}

async function ask(url: string, {host, path, account, tokens, parts}: ExplainOptions): Promise<ExplainAnswer> {
	const query = new URLSearchParams({host, path});
	for (const [name, value] of Object.entries({account, tokens, parts})) {
		if (value !== undefined) {
			query.set(name, value);
		}
	}

	const {body} = await requestJson<ExplainAnswer>({method: 'GET', url: new URL(`/debug/explain?${query.toString()}`, url).href, timeoutMs: answerTimeoutMs});
	return body;
}

/** Describes an explanation in lines of text. */
function describe({outcome, reason, configVersion, viewAgeMs, route, service, limit, retryAfterMs, groups, backends}: RequestExplanation): string {
	const lines = [
		`${outcome}: ${reason}${retryAfterMs === undefined ? '' : `, retry after ${retryAfterMs} ms`}`,
		`configuration ${configVersion ?? 'unknown'}, confirmed ${viewAgeMs} ms ago; route ${route ?? 'none'}, service ${service ?? 'none'}`,
		...(limit ? [`account ${limit.account}: cost ${limit.cost}, admitted share ${limit.admittedShare.toFixed(2)}`] : []),
		...(groups ?? []).flatMap(({group, coordinator, statedWaitMs, explanation}) => [
			`group ${group}: coordinator ${coordinator?.name ?? 'none'}, stated wait ${statedWaitMs} ms${explanation ? `, ${explanation.queued} queued` : ''}`,
			...(explanation?.candidates ?? []).map(({backend, terms, excludedReason}) => `  backend server ${backend}: predicted ${Math.round(terms.predictedMs)} ms, wait ${Math.round(terms.waitMs)}, cached ${terms.cachedTokens} tokens, ${terms.inFlight} in flight, pace ${terms.paceFactor.toFixed(2)}${excludedReason === undefined ? '' : `; excluded: ${excludedReason}`}`),
		]),
		...(backends ?? []).map(({backend, failureDomain, costMs, waitMs, cachedTokens, inFlight, excludedReason}) => `own placement, ${backend} in ${failureDomain}: cost ${costMs} ms, wait ${waitMs}, cached ${cachedTokens} tokens, ${inFlight} in flight${excludedReason === undefined ? '' : `; excluded: ${excludedReason}`}`),
	];
	return `${lines.join('\n')}\n`;
}
