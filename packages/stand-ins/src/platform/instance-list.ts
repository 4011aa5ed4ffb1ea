import type { ListedInstance } from '@turmerichoist/coordination';
import { json, startServer, type ListenOptions, type PlatformServer } from './server.js';

export interface InstanceListServer extends PlatformServer {
  /** Replaces the list. Callers see it after the lag. */
  setInstances(instances: readonly ListedInstance[]): void;
}

export interface InstanceListOptions extends ListenOptions {
  /** Time until a change is visible, in milliseconds. Default 0. */
  readonly lagMs?: number;
}

interface Published {
  readonly at: number;
  readonly instances: readonly ListedInstance[];
}

/** Starts the stand-in of the platform's lagging list of instances. */
export async function startInstanceList(options: InstanceListOptions): Promise<InstanceListServer> {
  const lagMs = options.lagMs ?? 0;
  let history: readonly Published[] = [];
  const visible = (): readonly ListedInstance[] => {
    const ripe = history.filter(({ at }) => at + lagMs <= performance.now());
    return ripe.at(-1)?.instances ?? [];
  };
  const server = await startServer(options, () => [
    {
      method: 'GET',
      pattern: '/v1/instances',
      kind: 'read',
      handle: () => json(200, { instances: visible() }),
    },
  ]);
  return {
    ...server,
    setInstances: (instances) => {
      history = [...history, { at: performance.now(), instances }];
    },
  };
}
