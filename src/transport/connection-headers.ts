/** Headers that concern one connection only and are never passed on. In lower case. */
export const connectionHeaders: ReadonlySet<string> = new Set([
	'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'content-length', 'expect',
]);
