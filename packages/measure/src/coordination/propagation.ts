import { setTimeout as delay } from 'node:timers/promises';
import * as hdr from 'hdr-histogram-js';
import type { Revision } from '@turmerichoist/core';
import {
  CONFIG_POLL_MS,
  ConfigReplica,
  ConfigWriter,
  SessionKeeper,
  type ConfigEvent,
} from '@turmerichoist/coordination';
import { startCluster, type Node } from './cluster.js';

const MS_PER_S = 1_000;
/** Pause between two changes, not a multiple of the polling period. */
const CHANGE_PAUSE_MS = 330;
const START_PAUSE_MS = 1_500;

export interface PropagationReport {
  readonly nodes: number;
  readonly changes: number;
  readonly seed: number;
  /** Time from the operator's answer until the last replica has the change, in milliseconds. */
  readonly inForceEverywhereMs: {
    readonly p50: number;
    readonly p99: number;
    readonly max: number;
  };
  readonly storeReadsPerS: number;
  readonly storeWritesPerS: number;
  readonly cpuShareOfOneCore: number;
}

class Arrivals {
  readonly #at = new Map<Revision, number[]>();

  record(revision: Revision): void {
    this.#at.set(revision, [...(this.#at.get(revision) ?? []), performance.now()]);
  }

  of(revision: Revision): readonly number[] {
    return this.#at.get(revision) ?? [];
  }
}

function startReplica(node: Node, arrivals: Arrivals): ConfigWriter {
  const post = (event: ConfigEvent): boolean => {
    if (event.type === 'config-changed') {
      event.entries.forEach(({ revision }) => {
        arrivals.record(revision);
      });
    }
    return true;
  };
  const { store, objects, clock, random, newId, context } = node;
  const replica = new ConfigReplica({ store, objects, clock, listeners: [{ post }] }, context);
  const writer = new ConfigWriter(
    {
      store,
      clock,
      random,
      newId,
      refresh: () => replica.refresh(),
      refusals: { post: () => true },
      pending: { post: () => true },
      announce: () => Promise.resolve(),
    },
    context,
  );
  const session = new SessionKeeper(
    {
      memberId: node.memberId,
      address: '127.0.0.1:0',
      zone: 'z',
      store,
      clock,
      newId,
      listeners: [writer],
    },
    context,
  );
  // Real entries start at different times; together they would poll in step.
  setTimeout(() => {
    replica.start();
    session.start();
  }, random.nextInt(CONFIG_POLL_MS));
  return writer;
}

/** Makes changes through random nodes and measures when each is in force on all of them. */
export async function measurePropagation(
  count: number,
  changes: number,
  seed: number,
): Promise<PropagationReport> {
  const cluster = await startCluster(count, seed);
  const arrivals = new Arrivals();
  const writers = cluster.nodes.map((node) => startReplica(node, arrivals));
  await delay(START_PAUSE_MS);
  const accepted: { revision: Revision; at: number }[] = [];
  const before = { ...cluster.table.faults.total, at: performance.now(), cpu: process.cpuUsage() };
  for (let change = 0; change < changes; change++) {
    const writer = writers[change % count];
    const document = { kind: 'team', name: 'a', spec: { share: 1, limit: { requests: change } } };
    const result = await writer?.apply([document], 'measure', false, new AbortController().signal);
    if (result?.isOk() !== true) {
      throw new Error(`change refused: ${JSON.stringify(result?.unwrapErr())}`);
    }
    accepted.push({ revision: result.value.revision, at: performance.now() });
    await delay(CHANGE_PAUSE_MS);
  }
  await delay(START_PAUSE_MS);
  const seconds = (performance.now() - before.at) / MS_PER_S;
  const { read, write } = cluster.table.faults.total;
  const cpu = process.cpuUsage(before.cpu);
  await cluster.close();
  const histogram = hdr.build();
  for (const { revision, at } of accepted) {
    if (arrivals.of(revision).length !== count) {
      throw new Error(`revision ${revision} reached ${arrivals.of(revision).length} of ${count}`);
    }
    histogram.recordValue(Math.max(0, Math.max(...arrivals.of(revision)) - at));
  }
  const round = (value: number): number => Math.round(value * 100) / 100;
  return {
    nodes: count,
    changes,
    seed,
    inForceEverywhereMs: {
      p50: histogram.getValueAtPercentile(50),
      p99: histogram.getValueAtPercentile(99),
      max: histogram.maxValue,
    },
    storeReadsPerS: round((read - before.read) / seconds),
    storeWritesPerS: round((write - before.write) / seconds),
    cpuShareOfOneCore: round((cpu.user + cpu.system) / 1e6 / seconds),
  };
}
