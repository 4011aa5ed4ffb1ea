import { setTimeout as delay } from 'node:timers/promises';
import * as hdr from 'hdr-histogram-js';
import type { Revision } from '@turmerichoist/core';
import {
  CONFIG_POLL_MS,
  ConfigReplica,
  ConfigWriter,
  SessionManager,
  type ConfigEvent,
} from '@turmerichoist/coordination';
import { startCluster, type ClusterMember } from './cluster.js';

const MS_PER_S = 1_000;
/** Pause between two changes. Not a multiple of the polling period, so that its phase varies. */
const CHANGE_PAUSE_MS = 330;
const START_PAUSE_MS = 1_500;

export interface PropagationReport {
  readonly nodes: number;
  readonly changes: number;
  readonly seed: number;
  /** Time in milliseconds from the answer to the operator until all replicas have the change. */
  readonly inForceEverywhereMs: {
    readonly p50: number;
    readonly p99: number;
    readonly max: number;
  };
  readonly storeReadsPerS: number;
  readonly storeWritesPerS: number;
  readonly cpuShareOfOneCore: number;
}

/** Times at which replicas received each revision. */
class RevisionArrivals {
  readonly #at = new Map<Revision, number[]>();

  record(revision: Revision): void {
    this.#at.set(revision, [...(this.#at.get(revision) ?? []), performance.now()]);
  }

  timesOf(revision: Revision): readonly number[] {
    return this.#at.get(revision) ?? [];
  }
}

/** Starts the configuration replica, writer and session of a member. Returns the writer. */
function startMemberConfig(member: ClusterMember, arrivals: RevisionArrivals): ConfigWriter {
  const post = (event: ConfigEvent): boolean => {
    if (event.type === 'config-changed') {
      event.entries.forEach(({ revision }) => {
        arrivals.record(revision);
      });
    }
    return true;
  };
  const { store, objects, clock, random, newId, context } = member;
  const replica = new ConfigReplica({ store, objects, clock, listeners: [{ post }] }, context);
  const writer = new ConfigWriter(
    {
      store,
      clock,
      random,
      newId,
      refresh: () => replica.refresh(),
      refusalRecorder: { post: () => true },
      pendingListener: { post: () => true },
      announce: () => Promise.resolve(),
    },
    context,
  );
  const session = new SessionManager(
    {
      memberId: member.memberId,
      address: '127.0.0.1:0',
      zone: 'z',
      store,
      clock,
      newId,
      listeners: [writer],
    },
    context,
  );
  // Real entries start at different times. Started together, they would poll in lockstep.
  setTimeout(() => {
    replica.start();
    session.start();
  }, random.nextInt(CONFIG_POLL_MS));
  return writer;
}

/** Applies changes through the members in turn and measures when each is in force everywhere. */
export async function measurePropagation(
  count: number,
  changes: number,
  seed: number,
): Promise<PropagationReport> {
  const cluster = await startCluster(count, seed);
  const arrivals = new RevisionArrivals();
  const writers = cluster.members.map((member) => startMemberConfig(member, arrivals));
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
    if (arrivals.timesOf(revision).length !== count) {
      throw new Error(
        `revision ${revision} reached ${arrivals.timesOf(revision).length} of ${count} members`,
      );
    }
    histogram.recordValue(Math.max(0, Math.max(...arrivals.timesOf(revision)) - at));
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
