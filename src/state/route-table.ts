/**
 * The configuration in force: which route a host and path select, and which client
 * account an API key belongs to. Versions only go forward.
 */
import {
	type Account, type Route, type Service, type ServingConfig,
} from '../protocol/serving.js';

/** The routes of one host, by prefix: a lookup takes as long as the path has segments, however many routes there are. */
class HostRoutes {
	private readonly byPrefix = new Map<string, Route>();
	private longestPrefix = 0;

	/** Adds a route; of two with one prefix the first counts. */
	add(route: Route): void {
		if (!this.byPrefix.has(route.pathPrefix)) {
			this.byPrefix.set(route.pathPrefix, route);
			this.longestPrefix = Math.max(this.longestPrefix, route.pathPrefix.length);
		}
	}

	/** The route with the longest prefix that begins a path. Prefixes end with a slash, and none longer than the longest is looked for, so that a path of slashes costs little. */
	match(path: string): Route | undefined {
		let slash = path.lastIndexOf('/', this.longestPrefix - 1);
		while (slash >= 0) {
			const route = this.byPrefix.get(path.slice(0, slash + 1));
			if (route) {
				return route;
			}

			// A search from before the start would find the slash there again.
			slash = slash === 0 ? -1 : path.lastIndexOf('/', slash - 1);
		}

		return undefined;
	}
}

/** The routes, services and accounts of the newest version seen. */
export class RouteTable {
	private config: ServingConfig | undefined;
	private readonly routesByHost = new Map<string, HostRoutes>();
	private readonly accountsByKey = new Map<string, Account>();
	private readonly servicesByName = new Map<string, Service>();

	get version(): number | undefined {
		return this.config?.version;
	}

	get current(): ServingConfig | undefined {
		return this.config;
	}

	/** Whether requests on routes that are not public need an API key. */
	get needsKeys(): boolean {
		return (this.config?.accounts.length ?? 0) > 0;
	}

	/**
	 * Takes a version into force, unless it is not newer than the one there.
	 *
	 * @returns Whether it was taken.
	 */
	apply(config: ServingConfig): boolean {
		if (this.config && config.version <= this.config.version) {
			return false;
		}

		this.config = config;
		this.routesByHost.clear();
		for (const route of config.routes) {
			const routes = this.routesByHost.get(route.host) ?? new HostRoutes();
			routes.add(route);
			this.routesByHost.set(route.host, routes);
		}

		this.accountsByKey.clear();
		for (const account of config.accounts) {
			for (const key of account.apiKeys) {
				this.accountsByKey.set(key, account);
			}
		}

		this.servicesByName.clear();
		for (const service of config.services) {
			this.servicesByName.set(service.name, service);
		}

		return true;
	}

	/** The route with the longest prefix that begins the path, among those of the host. */
	match(host: string, path: string): Route | undefined {
		const query = path.indexOf('?');
		const plainPath = query === -1 ? path : path.slice(0, query);
		return this.routesByHost.get(host)?.match(plainPath);
	}

	/** The account that holds an API key. */
	accountOf(apiKey: string): Account | undefined {
		return this.accountsByKey.get(apiKey);
	}

	service(name: string): Service | undefined {
		return this.servicesByName.get(name);
	}

	/** What a state dump shows. */
	toJson(): unknown {
		return {version: this.version, routes: this.config?.routes.map(route => route.name), accounts: this.config?.accounts.map(account => account.name)};
	}
}
