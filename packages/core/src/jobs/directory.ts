import type { QueueName, TeamName } from '../types/index.js';
import type { QueuePolicy, SchedulingConfig } from './model.js';

/** Where the requests of one queue arrive. */
export interface QueueRoute {
  readonly queue: QueueName;
  readonly host: string;
  readonly pathPrefix: string;
  /** Calls need no team key. */
  readonly open: boolean;
}

/** The parts of one configuration that concern callers. */
export interface CallerConfig {
  readonly routes: readonly QueueRoute[];
  readonly teamsByKey: ReadonlyMap<string, TeamName>;
}

/** One revision of the configuration, decoded. */
export interface JobConfig {
  readonly revision: number;
  readonly callers: CallerConfig;
  readonly scheduling: SchedulingConfig;
}

export interface RouteMatch {
  readonly route: QueueRoute;
  /** What follows the prefix in the path. */
  readonly rest: string;
}

/** Finds the queue of a call by host and longest path prefix, and the team of a key. */
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
