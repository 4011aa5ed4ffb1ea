import {
  NO_RESOURCES,
  add,
  dominantShare,
  maxResources,
  subtract,
} from '../tasks/resource-arithmetic.js';
import type { Resources } from '../tasks/model.js';
import type { Millis, PoolName, QueueName, TeamName } from '../types/index.js';
import { arrivalTimes, startLimitMs } from './admission.js';
import type { CellTables } from './cell-tables.js';
import type { ExecutorState } from './executor-table.js';
import { FairBacklog, type TeamBacklog } from './fair-backlog.js';
import type { InstanceLender } from './lending.js';
import type { QueuePolicy, SchedulingConfig } from './model.js';
import type { JobOrdering } from './ordering.js';
import { collectPoolWork, type PoolWork } from './pool-work.js';
import type { ContendingTeam, TeamShares } from './team-shares.js';

/** Bounds the size of what is published: sizes of jobs for each team, and for all teams together. */
const MAX_STARTS_PER_TEAM = 8;
const MAX_STARTS = 32;
/** Unit of published starts. */
export const START_UNIT_MS: Millis = 100;
/** Precision of published sizes. */
const SIZE_DIGITS = 2;
const PERCENT = 100;

/**
 * Start of jobs with at least this many processor-milliseconds of work: while they are in time, and if
 * they become late. Starts are in units of `START_UNIT_MS`.
 */
export type SizedStart = readonly [fromWork: number, inTime: number, late: number];

/** When jobs would start that are submitted now to a queue. */
export interface WorkAheadLane {
  readonly queue: QueueName;
  /** Processors of the pool for finite tasks, with those that are on their way or can be lent. */
  readonly processors: number;
  /** Expected work of jobs in percent of the declared one. */
  readonly workPercent: number;
  /** By team, from the smallest size. Jobs of other teams and smaller jobs are not refused. */
  readonly teams: Readonly<Record<TeamName, readonly SizedStart[]>>;
}

export interface WorkAheadOptions {
  readonly tables: CellTables;
  readonly lender: InstanceLender;
  readonly order: JobOrdering;
  /** Shares of a pool as of its latest round. */
  readonly sharesOf: (pool: PoolName) => TeamShares | undefined;
}

/** Finds out when jobs would start that were submitted now, for queues that are short of capacity. */
export class WorkAhead {
  readonly #options: WorkAheadOptions;

  constructor(options: WorkAheadOptions) {
    this.#options = options;
  }

  /** Takes time in proportion to the open jobs. Lists only queues of which jobs may be refused. */
  describe(config: SchedulingConfig, now: Millis): readonly WorkAheadLane[] {
    const { jobs } = this.#options.tables;
    return limitStarts(jobs.pools.flatMap((pool) => this.#lanesOf(pool, config, now)));
  }

  #lanesOf(pool: PoolName, config: SchedulingConfig, now: Millis): readonly WorkAheadLane[] {
    const { tables, order, sharesOf } = this.#options;
    const contending = sharesOf(pool)?.contending ?? [];
    const room = this.#roomOf(pool, config, now);
    if (contending.length === 0 || room.processors <= 0) {
      return [];
    }
    const work = collectPoolWork(tables, order, pool, now);
    const backlogs = contending.map((team) => newBacklog(team, work, room));
    const backlog = new FairBacklog(backlogs, order);
    const processors = Math.max(1, Math.round(room.processors));
    // Only queues with open jobs: a configuration may have thousands of queues without any.
    return [...work.queues].flatMap(([queue, { workFactor, pathMs }]) => {
      const policy = config.queues.get(queue);
      const teams = policy?.pool === pool ? startsByTeam(backlog, policy, pathMs) : [];
      const workPercent = Math.ceil(PERCENT * workFactor);
      return teams.length === 0
        ? []
        : [{ queue, processors, workPercent, teams: Object.fromEntries(teams) }];
    });
  }

  /** What lasting tasks leave of a pool's capacity, with what is on its way or can be lent to it. */
  #roomOf(pool: PoolName, { pools }: SchedulingConfig, now: Millis): Resources {
    const { tables, lender } = this.#options;
    const { executors, runs } = tables;
    let room = lender.comingCapacity(pool, pools, now);
    for (const state of executors.ofPool(pool).filter(mayRunTasks)) {
      const lasting = runs.at(state.info.id).filter((run) => run.lasting);
      const used = lasting.reduce((sum, run) => add(sum, run.footprint), NO_RESOURCES);
      room = add(room, maxResources(NO_RESOURCES, subtract(state.info.capacity, used)));
    }
    return room;
  }
}

/** Executors that do not respond or back off count, as they may be back at any time. */
function mayRunTasks({ listed, info, shutdownPending }: ExecutorState): boolean {
  return listed && !info.draining && !shutdownPending;
}

function newBacklog(contending: ContendingTeam, { teams }: PoolWork, room: Resources): TeamBacklog {
  const { runningWork = NO_RESOURCES, waiting = [] } = teams.get(contending.team) ?? {};
  return {
    ...contending,
    runningMs: dominantShare(runningWork, room),
    waiting: waiting.map(({ rank, work, arrivalRate }) => ({
      rank,
      workMs: dominantShare(work, room),
      arrivalRate: dominantShare(arrivalRate, room),
    })),
  };
}

/** Starts by team of the sizes of which jobs may be refused. */
function startsByTeam(
  backlog: FairBacklog,
  policy: QueuePolicy,
  pathMs: Millis,
): readonly (readonly [TeamName, readonly SizedStart[]])[] {
  const limitMs = startLimitMs(policy) ?? Infinity;
  const times = arrivalTimes(policy, pathMs);
  return backlog.teams.flatMap((team) => {
    const starts = backlog.sizes(team).flatMap((work) => {
      const { inTimeMs, lateMs } = backlog.startOf(team, { job: { policy }, work }, times);
      const mayBeRefused = inTimeMs > policy.targetLatencyMs && lateMs > limitMs;
      return mayBeRefused ? [newSizedStart(work, inTimeMs, lateMs)] : [];
    });
    return starts.length === 0 ? [] : [[team, thinOut(starts, MAX_STARTS_PER_TEAM)] as const];
  });
}

/** Rounds the size down, so that it holds for jobs of equal size, as do percents that are rounded up. */
function newSizedStart(work: number, inTimeMs: Millis, lateMs: Millis): SizedStart {
  const unit = 10 ** Math.max(0, Math.ceil(Math.log10(Math.max(1, work))) - SIZE_DIGITS);
  const inUnits = (startMs: Millis): number => Math.floor(startMs / START_UNIT_MS);
  return [unit * Math.floor(work / unit), inUnits(inTimeMs), inUnits(lateMs)];
}

/** Keeps some starts at about equal distances, the first one included: jobs of other sizes seem to start sooner. */
function thinOut(starts: readonly SizedStart[], count: number): readonly SizedStart[] {
  const distance = Math.max(1, starts.length / count);
  return starts.filter((_, index) => Math.ceil(index / distance) * distance < index + 1);
}

/** Leaves out sizes and then the teams with the earliest starts if there are too many. */
function limitStarts(lanes: readonly WorkAheadLane[]): readonly WorkAheadLane[] {
  const all = lanes.flatMap(({ teams }) => Object.values(teams));
  if (all.reduce((sum, starts) => sum + starts.length, 0) <= MAX_STARTS) {
    return lanes;
  }
  const perTeam = Math.max(1, Math.floor(MAX_STARTS / all.length));
  const latest = all.map(latestOf).sort((a, b) => b - a)[MAX_STARTS] ?? 0;
  return lanes
    .map((lane) => {
      const kept = Object.entries(lane.teams).filter(([, starts]) => latestOf(starts) > latest);
      const thinned = kept.map(([team, starts]) => [team, thinOut(starts, perTeam)] as const);
      return { ...lane, teams: Object.fromEntries(thinned) };
    })
    .filter(({ teams }) => Object.keys(teams).length > 0);
}

function latestOf(starts: readonly SizedStart[]): number {
  return Math.max(...starts.map(([, , late]) => late));
}
