/**
 * The current configuration of the serving daemon: which route a host and path select, and
 * which client account an API key belongs to. An older version never replaces a newer one.
 */
import {
	type Account, type Route, type Service, type ServingConfig,
} from '../protocol/serving.js';

/** The routes of one host, by path prefix. The cost of a lookup depends on the number of path segments, not on the number of routes. */
class HostRoutes {
	private readonly byPrefix = new Map<string, Route>();
	private longestPrefix = 0;

	/** Adds a route; of several routes with the same prefix, the first one is used. */
	add(route: Route): void {
		if (!this.byPrefix.has(route.pathPrefix)) {
			this.byPrefix.set(route.pathPrefix, route);
			this.longestPrefix = Math.max(this.longestPrefix, route.pathPrefix.length);
		}
	}

	/** Returns the route with the longest prefix that matches a path. Prefixes end with a slash; the search begins at the length of the longest prefix, so that a long path of slashes is cheap. */
	match(path: string): Route | undefined {
		let slash = path.lastIndexOf('/', this.longestPrefix - 1);
		while (slash >= 0) {
			const route = this.byPrefix.get(path.slice(0, slash + 1));
			if (route) {
				return route;
			}

			// A negative position counts as 0 in lastIndexOf(), which would find the first slash again.
			slash = slash === 0 ? -1 : path.lastIndexOf('/', slash - 1);
		}

		return undefined;
	}
}

/** The routes, services and client accounts of the newest configuration version received. */
export class RouteTable {
	private config: ServingConfig | undefined;
	private readonly routesByHost = new Map<string, HostRoutes>();
	private readonly accountsByKey = new Map<string, Account>();
	private readonly servicesByName = new Map<string, Service>();

	/** The version of the current configuration; undefined before the first one. */
	get version(): number | undefined {
		return this.config?.version;
	}

	/** The current configuration, if one was applied. */
	get current(): ServingConfig | undefined {
		return this.config;
	}

	/** The longest timeout of a route, in milliseconds; 0 before the first configuration. */
	get longestTimeoutMs(): number {
		return Math.max(0, ...this.config?.routes.map(({timeoutMs}) => timeoutMs) ?? []);
	}

	/** Whether requests on routes that are not public need an API key. */
	get requiresApiKeys(): boolean {
		return (this.config?.accounts.length ?? 0) > 0;
	}

	/**
	 * Applies a configuration if its version is newer than the current one.
	 *
	 * @returns Whether it was applied.
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

	/** Returns the host's route with the longest prefix that matches a path. */
	match(host: string, path: string): Route | undefined {
		const query = path.indexOf('?');
		const plainPath = query === -1 ? path : path.slice(0, query);
		return this.routesByHost.get(host)?.match(plainPath);
	}

	/** Returns the client account that an API key belongs to. */
	accountOf(apiKey: string): Account | undefined {
		return this.accountsByKey.get(apiKey);
	}

	/** Returns the client account with a name. */
	accountNamed(name: string): Account | undefined {
		return this.config?.accounts.find(account => account.name === name);
	}

	/** Returns the service with a name. */
	service(name: string): Service | undefined {
		return this.servicesByName.get(name);
	}

	/** Returns the version and the names of routes and accounts, for state dumps. */
	toJson(): unknown {
		return {version: this.version, routes: this.config?.routes.map(route => route.name), accounts: this.config?.accounts.map(account => account.name)};
	}
}
