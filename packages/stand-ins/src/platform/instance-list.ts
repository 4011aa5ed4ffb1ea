import type { ListedInstance } from '@turmerichoist/coordination';
import { jsonResponse, startServer, type ListenOptions, type PlatformServer } from './server.js';

export interface InstanceListServer extends PlatformServer {
  /** Replaces the list. Clients see the new list after `lagMs`. */
  setInstances(instances: readonly ListedInstance[]): void;
}

export interface InstanceListOptions extends ListenOptions {
  /** Delay until a new list is visible, in milliseconds. Default 0. */
  readonly lagMs?: number;
}

interface PublishedList {
  readonly publishedAt: number;
  readonly instances: readonly ListedInstance[];
}

/** Starts the stand-in for the platform's list of instances, which lags behind the real state. */
export async function startInstanceList(options: InstanceListOptions): Promise<InstanceListServer> {
  const lagMs = options.lagMs ?? 0;
  let history: readonly PublishedList[] = [];
  const visibleInstances = (): readonly ListedInstance[] => {
    const visibleLists = history.filter(
      ({ publishedAt }) => publishedAt + lagMs <= performance.now(),
    );
    return visibleLists.at(-1)?.instances ?? [];
  };
  const server = await startServer(options, () => [
    {
      method: 'GET',
      pattern: '/v1/instances',
      kind: 'read',
      handle: () => jsonResponse(200, { instances: visibleInstances() }),
    },
  ]);
  return {
    ...server,
    setInstances: (instances) => {
      history = [...history, { publishedAt: performance.now(), instances }];
    },
  };
}
