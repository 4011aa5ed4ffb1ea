import {
  HttpInstanceList,
  HttpObjectStore,
  HttpTableStore,
  OutcomeResolvingStore,
  type InstanceList,
  type ObjectStore,
  type TableStore,
} from '@turmerichoist/coordination';
import type { Clock, Random } from '@turmerichoist/core';
import type { Settings } from '../settings/index.js';

/** Clients of the platform's services. */
export interface Platform {
  /** Resolves unknown outcomes of transactions before it returns. */
  readonly table: TableStore;
  readonly objects: ObjectStore;
  readonly instances: InstanceList;
}

/** Creates clients of the platform's services at the addresses in the settings. */
export function connectPlatform(
  settings: Settings,
  clock: Clock,
  random: Random,
  signal: AbortSignal,
): Platform {
  const { table, objects, instances } = settings.platform;
  const base = { clock, random, signal };
  const store = new HttpTableStore({ url: table, ...base });
  return {
    table: new OutcomeResolvingStore({ store, memberId: settings.member, random }),
    objects: new HttpObjectStore({ url: objects, ...base }),
    instances: new HttpInstanceList({ url: instances, ...base }),
  };
}
