import type { Millis, PoolName } from '../types/index.js';
import type { CellTables } from './cell-tables.js';
import type { ExecutorState } from './executor-table.js';
import type { Job } from './job.js';
import type { InstanceLender } from './lending.js';
import type { PoolInstance } from './messages.js';
import { latenessOf, type Lateness } from './ordering.js';
import type { TeamShares, TeamStanding } from './team-shares.js';

/** Pools that are described at once, so that the description stays small on any deployment. */
const MAX_POOLS_DESCRIBED = 8;

/** Teams of a pool that are described at once, for the same reason. */
const MAX_TEAMS_DESCRIBED = 8;
/** Precision of logged fractions. */
const FRACTION_STEPS = 1_000;

/** How the usage of teams relates to their shares of a pool. */
export interface PoolSharesLoad {
  /** Time since the round as of which the shares are. */
  readonly ageMs: Millis;
  /** Number of teams with waiting work that are below their share. */
  readonly teamsBelow: number;
  /** Those that lack most of it. */
  readonly lackingMost: readonly TeamStanding[];
}

/** Capacity of a pool and the work that waits for it, at one moment. */
export interface CellPoolLoad {
  readonly pool: PoolName;
  /** Processors that the pending tasks of ready steps need. */
  readonly waiting: number;
  /** Those of them that tasks need which wait for the end of a recovery. */
  readonly held: number;
  /** Processors of the executors that may get tasks, and those of them that no run takes. */
  readonly usable: number;
  readonly free: number;
  readonly executors: ExecutorCounts;
  /** Instances as last listed, by state. */
  readonly instances: Readonly<Record<PoolInstance['state'], number>>;
  /** Instances with an order to move to the pool that have not arrived. */
  readonly incoming: number;
  /** Open finite jobs with tasks that could start, by lateness. */
  readonly jobs: Readonly<Record<Lateness, number>>;
  /** Undefined if no tasks wait, or no executor could get tasks in the latest round. */
  readonly shares: PoolSharesLoad | undefined;
}

/** Executors of a pool, each counted once: in the first of these groups that it belongs to. */
export interface ExecutorCounts {
  /** Not listed, or with runs that it has not reported yet since it was. */
  readonly unknown: number;
  /** About to be maintained, moved or shut down. */
  readonly leaving: number;
  /** Without a recent report or a lease. */
  readonly silent: number;
  /** Not used for a while after refusals or failed runs. */
  readonly backingOff: number;
  /** Usable, without runs. */
  readonly idle: number;
  /** Usable, with runs. */
  readonly working: number;
}

/** Describes how the capacity of each pool relates to the work that waits for it. */
export class CellPoolLoadView {
  readonly #tables: CellTables;
  readonly #lender: InstanceLender;
  readonly #sharesOf: (pool: PoolName) => TeamShares | undefined;

  /** `sharesOf` returns the shares of the latest round of a pool. */
  constructor(
    tables: CellTables,
    lender: InstanceLender,
    sharesOf: (pool: PoolName) => TeamShares | undefined,
  ) {
    this.#tables = tables;
    this.#lender = lender;
    this.#sharesOf = sharesOf;
  }

  /** Number of teams below their share, for each pool with jobs. */
  teamsBelowShare(now: Millis): ReadonlyMap<PoolName, number> {
    const { pools } = this.#tables.jobs;
    return new Map(pools.map((pool) => [pool, this.#sharesOf(pool)?.teamsBelow(now).length ?? 0]));
  }

  /** Describes the pools with the most waiting work, most first. */
  describe(now: Millis): readonly CellPoolLoad[] {
    const listed = this.#lender.instances.map(({ pool }) => pool);
    const reached = this.#tables.executors.infos.map(({ pool }) => pool);
    return [...new Set([...this.#tables.jobs.pools, ...listed, ...reached])]
      .map((pool) => this.#describePool(pool, now))
      .sort((a, b) => b.waiting - a.waiting)
      .slice(0, MAX_POOLS_DESCRIBED);
  }

  #describePool(pool: PoolName, now: Millis): CellPoolLoad {
    const { jobs, executors } = this.#tables;
    const states = executors.ofPool(pool);
    const groups = states.map((state) => groupOf(this.#tables, state, now));
    const usable = states.filter((_, index) => isUsable(groups[index]));
    const instances = this.#lender.instances.filter((one) => one.pool === pool);
    const { startable, held } = jobs.waitingProcessors(pool, now);
    return {
      pool,
      waiting: startable + held,
      held,
      usable: sum(usable.map(({ info }) => info.capacity.processors)),
      free: sum(usable.map((state) => executors.freeCapacity(state).processors)),
      executors: countEach(groups, EXECUTOR_GROUPS),
      instances: countEach(
        instances.map(({ state }) => state),
        INSTANCE_STATES,
      ),
      incoming: this.#lender.incomingCount(pool),
      jobs: countEach(waitingLateness(jobs.openJobsIn(pool), now), LATENESS_GROUPS),
      shares: startable + held === 0 ? undefined : describeShares(this.#sharesOf(pool), now),
    };
  }
}

type ExecutorGroup = keyof ExecutorCounts;

const EXECUTOR_GROUPS: readonly ExecutorGroup[] = [
  'unknown',
  'leaving',
  'silent',
  'backingOff',
  'idle',
  'working',
];
const INSTANCE_STATES: readonly PoolInstance['state'][] = ['up', 'moving', 'maintenance', 'down'];
const LATENESS_GROUPS: readonly Lateness[] = ['in-time', 'late', 'worthless'];

function groupOf(
  { executors, runs }: CellTables,
  state: ExecutorState,
  now: Millis,
): ExecutorGroup {
  const { info, listed, runsKnown, cordoned, shutdownPending, leaseEndsAt } = state;
  if (!listed || !runsKnown) {
    return 'unknown';
  }
  if (info.draining || cordoned || shutdownPending) {
    return 'leaving';
  }
  if (leaseEndsAt <= now || !executors.isResponsive(state, now)) {
    return 'silent';
  }
  if (state.backoffUntil > now) {
    return 'backingOff';
  }
  return runs.countAt(info.id) === 0 ? 'idle' : 'working';
}

function isUsable(group: ExecutorGroup | undefined): boolean {
  return group === 'idle' || group === 'working';
}

function describeShares(shares: TeamShares | undefined, now: Millis): PoolSharesLoad | undefined {
  if (shares === undefined) {
    return undefined;
  }
  const below = [...shares.teamsBelow(now)].sort((a, b) => b.share - b.usage - (a.share - a.usage));
  return {
    ageMs: Math.round(now - shares.at),
    teamsBelow: below.length,
    lackingMost: below.slice(0, MAX_TEAMS_DESCRIBED).map(({ team, share, usage, waiting }) => ({
      team,
      share: rounded(share),
      usage: rounded(usage),
      waiting: rounded(waiting),
    })),
  };
}

function rounded(fraction: number): number {
  return Math.round(fraction * FRACTION_STEPS) / FRACTION_STEPS;
}

function waitingLateness(jobs: readonly Job[], now: Millis): readonly Lateness[] {
  return jobs
    .filter((job) => !job.lasting && job.ready(now).some(({ step }) => step.pending.size > 0))
    .map((job) => latenessOf(job, now));
}

function countEach<T extends string>(
  found: readonly T[],
  groups: readonly T[],
): Readonly<Record<T, number>> {
  const counts = groups.map((group) => [group, found.filter((one) => one === group).length]);
  return Object.fromEntries(counts) as Record<T, number>;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
