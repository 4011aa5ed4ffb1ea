import { StoreCallStats } from '@turmerichoist/coordination';
import {
  UNCONSTRAINED_STEP,
  Ok,
  SeededRandom,
  type ExecutorInfo,
  type JobConfig,
  type JobSpec,
} from '@turmerichoist/core';
import { NoMetrics, SystemClock, silentLogger } from '@turmerichoist/runtime';
import { JobCell } from '../../src/jobs/job-cell.js';
import type { ExecutorConnector } from '../../src/jobs/ports.js';
import type { PartedTables } from './parted-tables.js';

export const JOB_POLICY = {
  pool: 'p1',
  priority: 0,
  maxAttempts: 4,
  slackFactor: 2,
  targetLatencyMs: 600,
  ticketed: false,
};
export const JOB_CONFIG: JobConfig = {
  revision: 1,
  callers: {
    routes: [{ queue: 'q1', host: 'jobs.example', pathPrefix: '/q1/', open: true }],
    teamsByKey: new Map(),
  },
  scheduling: { queues: new Map([['q1', JOB_POLICY]]), pools: new Map(), teams: new Map() },
};
export const JOB_SPEC: JobSpec = {
  payload: 'x',
  steps: [
    {
      taskCount: 1,
      resources: { processors: 1, memoryMb: 100, accelerators: 0 },
      estimateMs: 300,
      ...UNCONSTRAINED_STEP,
    },
  ],
  occurrences: 1,
  firstAtWallMs: 0,
  intervalMs: 0,
};

let ids = 0;

const NO_EXECUTORS: ExecutorConnector = {
  connect: () => {
    throw new Error('there are no executors');
  },
};

/** Starts a member of a cell without instances, which has a configuration, until `signal` aborts. */
export function startMember(
  member: string,
  tables: PartedTables,
  signal: AbortSignal,
  connector: ExecutorConnector = NO_EXECUTORS,
): JobCell {
  const cell = startUnconfigured(member, tables, signal, connector);
  configure(cell, JOB_CONFIG);
  return cell;
}

/** Tells a member the configuration. */
export function configure(cell: JobCell, config: JobConfig): void {
  cell.post({
    type: 'view',
    view: { config, zonesOut: new Set(), waves: [] },
    readBefore: undefined,
  });
}

/** Starts a member of a cell without instances, which has not read a configuration yet. */
export function startUnconfigured(
  member: string,
  tables: PartedTables,
  signal: AbortSignal,
  connector: ExecutorConnector,
): JobCell {
  const cell = new JobCell(
    {
      member,
      incarnation: member,
      resources: { cores: 1, linkMbps: 1_000 },
      storeCalls: new StoreCallStats(),
      leadership: tables.open('c0'),
      cell: tables.open('c0'),
      shared: tables.open(''),
      callerTables: { cell: tables.open('c0'), openIntake: (part) => tables.open(part) },
      openIntakeFeed: (parts) => tables.feed(parts),
      connector,
      fleet: { list: () => Promise.resolve(Ok([])), order: () => Promise.resolve('busy') },
      rowCodec: {
        executorTable: 'servers',
        executor: ({ value }) => Ok(value as unknown as ExecutorInfo),
        waveStatus: (wave, state) => ({ key: `status/${wave}`, value: { state } }),
      },
      clock: new SystemClock(),
      random: new SeededRandom(1),
      metrics: new NoMetrics(),
      newId: () => {
        ids += 1;
        return `txn-${ids}`;
      },
      maxLeaseMs: 5_000,
      orderHandoverMs: 1_000,
    },
    { log: silentLogger, signal },
  );
  cell.start();
  return cell;
}
