/** Hop-by-hop headers and others that apply to a single connection, in lower case; a proxy doesn't forward them. */
export const hopByHopHeaders: ReadonlySet<string> = new Set([
	'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'content-length', 'expect',
]);
