import { randomUUID } from 'node:crypto';
import { SeededRandom, type Clock } from '@turmerichoist/core';
import {
  HttpObjectStore,
  HttpTableStore,
  OutcomeResolvingStore,
  type ObjectStore,
  type TableStore,
} from '@turmerichoist/coordination';
import { SystemClock, silentLogger, type ActorContext } from '@turmerichoist/runtime';
import {
  startObjectStore,
  startTableService,
  type ObjectStoreServer,
  type TableServiceServer,
} from '@turmerichoist/stand-ins';

const LOOPBACK = { host: '127.0.0.1', port: 0 };

/** Dependencies of one cluster member. Each member has its own clients and connections. */
export interface ClusterMember {
  readonly memberId: string;
  readonly clock: Clock;
  readonly random: SeededRandom;
  readonly store: TableStore;
  readonly objects: ObjectStore;
  readonly context: ActorContext;
  readonly newId: () => string;
  /** Stops the member without a clean shutdown, as if it had crashed. */
  readonly kill: () => void;
}

export interface Cluster {
  readonly table: TableServiceServer;
  readonly objects: ObjectStoreServer;
  readonly members: readonly ClusterMember[];
  close(): Promise<void>;
}

function startMember(
  index: number,
  tableUrl: string,
  objectsUrl: string,
  seed: number,
): ClusterMember {
  const controller = new AbortController();
  const { signal } = controller;
  const clock = new SystemClock();
  const random = new SeededRandom(seed * 1_000 + index);
  const memberId = `m${index}`;
  const tableStore = new HttpTableStore({ url: tableUrl, clock, random, signal });
  return {
    memberId,
    clock,
    random,
    store: new OutcomeResolvingStore({ store: tableStore, memberId, random }),
    objects: new HttpObjectStore({ url: objectsUrl, clock, random, signal }),
    context: { log: silentLogger, signal },
    newId: randomUUID,
    kill: () => {
      controller.abort();
    },
  };
}

/** Starts the stand-ins and `count` members in this process. */
export async function startCluster(count: number, seed: number): Promise<Cluster> {
  const table = await startTableService(LOOPBACK);
  const objects = await startObjectStore(LOOPBACK);
  const members = Array.from({ length: count }, (_, index) =>
    startMember(index, table.url, objects.url, seed),
  );
  return {
    table,
    objects,
    members,
    close: async () => {
      members.forEach((member) => {
        member.kill();
      });
      await Promise.all([table.close(), objects.close()]);
    },
  };
}
