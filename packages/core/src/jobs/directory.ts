import type { CallerLimits } from '../limits/index.js';
import type { QueueName, TeamName } from '../types/index.js';
import type { QueuePolicy, SchedulingConfig } from './model.js';

/** Host and path prefix under which callers reach one queue. */
export interface QueueRoute {
  readonly queue: QueueName;
  readonly host: string;
  readonly pathPrefix: string;
  /** Whether calls are accepted without a team key. */
  readonly open: boolean;
}

/** The parts of the configuration that requests from callers are checked against. */
export interface CallerConfig {
  readonly routes: readonly QueueRoute[];
  readonly teamsByKey: ReadonlyMap<string, TeamName>;
  /** Limits of requests; the defaults apply without them. */
  readonly limits?: CallerLimits;
}

/** One revision of the configuration, decoded. */
export interface JobConfig {
  readonly revision: number;
  readonly callers: CallerConfig;
  readonly scheduling: SchedulingConfig;
}

export interface RouteMatch {
  readonly route: QueueRoute;
  /** The path without the route's prefix. */
  readonly rest: string;
}

/** Resolves a call to its queue, by host and longest path prefix, and a key to its team. */
export class JobDirectory {
  readonly config: JobConfig;
  readonly #byHost = new Map<string, QueueRoute[]>();

  constructor(config: JobConfig) {
    this.config = config;
    for (const route of config.callers.routes) {
      const routes = this.#byHost.get(route.host) ?? [];
      routes.push(route);
      this.#byHost.set(route.host, routes);
    }
    for (const routes of this.#byHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
  }

  resolve(host: string, path: string): RouteMatch | undefined {
    const route = this.#byHost.get(host)?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
    return route === undefined ? undefined : { route, rest: path.slice(route.pathPrefix.length) };
  }

  teamOf(key: string): TeamName | undefined {
    return this.config.callers.teamsByKey.get(key);
  }

  policyOf(queue: QueueName): QueuePolicy | undefined {
    return this.config.scheduling.queues.get(queue);
  }
}
