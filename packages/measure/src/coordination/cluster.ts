import { randomUUID } from 'node:crypto';
import { SeededRandom, type Clock } from '@turmerichoist/core';
import {
  HttpObjectStore,
  HttpTableStore,
  SettlingStore,
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

/** What one entry of a measured cluster works with. Each has its own clients and connections. */
export interface Node {
  readonly memberId: string;
  readonly clock: Clock;
  readonly random: SeededRandom;
  readonly store: TableStore;
  readonly objects: ObjectStore;
  readonly context: ActorContext;
  readonly newId: () => string;
  /** Ends the node without any farewell. */
  readonly kill: () => void;
}

export interface Cluster {
  readonly table: TableServiceServer;
  readonly objects: ObjectStoreServer;
  readonly nodes: readonly Node[];
  close(): Promise<void>;
}

function startNode(index: number, tableUrl: string, objectsUrl: string, seed: number): Node {
  const controller = new AbortController();
  const { signal } = controller;
  const clock = new SystemClock();
  const random = new SeededRandom(seed * 1_000 + index);
  const memberId = `m${index}`;
  const direct = new HttpTableStore({ url: tableUrl, clock, random, signal });
  return {
    memberId,
    clock,
    random,
    store: new SettlingStore({ store: direct, memberId, random }),
    objects: new HttpObjectStore({ url: objectsUrl, clock, random, signal }),
    context: { log: silentLogger, signal },
    newId: randomUUID,
    kill: () => {
      controller.abort();
    },
  };
}

/** Starts the stand-ins and `count` nodes in this process. */
export async function startCluster(count: number, seed: number): Promise<Cluster> {
  const table = await startTableService(LOOPBACK);
  const objects = await startObjectStore(LOOPBACK);
  const nodes = Array.from({ length: count }, (_, index) =>
    startNode(index, table.url, objects.url, seed),
  );
  return {
    table,
    objects,
    nodes,
    close: async () => {
      nodes.forEach((node) => {
        node.kill();
      });
      await Promise.all([table.close(), objects.close()]);
    },
  };
}
