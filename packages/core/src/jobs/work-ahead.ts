import {
  NO_RESOURCES,
  add,
  dominantShare,
  maxResources,
  subtract,
} from '../tasks/resource-arithmetic.js';
import type { Resources } from '../tasks/model.js';
import type { Millis, PoolName, QueueName, TeamName } from '../types/index.js';
import { startLimitMs } from './admission.js';
import type { CellTables } from './cell-tables.js';
import type { ExecutorState } from './executor-table.js';
import { FairBacklog, type FairStart, type TeamBacklog } from './fair-backlog.js';
import type { InstanceLender } from './lending.js';
import type { QueuePolicy, SchedulingConfig, TeamPolicy } from './model.js';
import { collectPoolWork, type TeamWork } from './pool-work.js';

/** Bounds the size of what is published; teams with a later start come first. */
const MAX_TEAMS_PUBLISHED = 32;
const DEFAULT_WEIGHT = 1;
/** Weight of a team whose own is not a positive number. */
const MIN_WEIGHT = 1e-6;
const PERCENT = 100;

/** When jobs would start that are submitted now to a queue. */
export interface WorkAheadLane {
  readonly queue: QueueName;
  /** Processors of the pool for finite tasks, with those that are on their way or can be lent. */
  readonly processors: number;
  /** Latest start for any team. */
  readonly clearMs: Millis;
  /**
   * Starts by team, in percent of `clearMs`: that of a job in time, and that of one that has become
   * late. Jobs of teams that are left out are not refused.
   */
  readonly teams: Readonly<Record<TeamName, readonly [inTime: number, late: number]>>;
}

/** Finds out when jobs would start that were submitted now, for queues that are short of capacity. */
export class WorkAhead {
  readonly #tables: CellTables;
  readonly #lender: InstanceLender;

  constructor(tables: CellTables, lender: InstanceLender) {
    this.#tables = tables;
    this.#lender = lender;
  }

  /** Takes time in proportion to the open jobs. Lists only queues of which jobs may be refused. */
  describe(config: SchedulingConfig, now: Millis): readonly WorkAheadLane[] {
    const lanes = this.#tables.jobs.pools.flatMap((pool) => this.#lanesOf(pool, config, now));
    return limitTeams(lanes);
  }

  #lanesOf(pool: PoolName, config: SchedulingConfig, now: Millis): readonly WorkAheadLane[] {
    const { teams, usualSizes } = collectPoolWork(this.#tables, pool, now);
    if (![...teams.values()].some(({ ready }) => isAny(ready))) {
      return [];
    }
    const room = this.#roomOf(pool, config, now);
    if (room.processors <= 0) {
      return [];
    }
    const backlog = new FairBacklog(
      [...teams].map(([team, work]) => this.#backlogOf(team, work, room, config)),
    );
    const longestMs = clearMsOf(teams, room);
    return queuesOf(pool, config).flatMap(([queue, policy]) => {
      const starts = backlog.startsMs(policy.priority, usualSizes.get(queue) ?? 0);
      return newLane(queue, policy, starts, longestMs, room.processors);
    });
  }

  #backlogOf(
    team: TeamName,
    work: TeamWork,
    room: Resources,
    { teams }: SchedulingConfig,
  ): TeamBacklog {
    const policy = teams.get(team);
    const needed = add(work.running, work.ready);
    const allowed = maxResources(work.running, this.#allowed(team, work, policy));
    return {
      team,
      weight: weightOf(policy),
      demand: dominantShare(needed, room) * partWithin(needed, allowed),
      runningMs: dominantShare(work.runningWork, room),
      waiting: work.waiting.map(({ work: sum, ...rank }) => ({
        ...rank,
        workMs: dominantShare(sum, room),
      })),
    };
  }

  /** What a team may have running in the pool beside what it has running in others. */
  #allowed(team: TeamName, { running }: TeamWork, policy: TeamPolicy | undefined): Resources {
    const { processors = 0, memoryMb = 0, accelerators = 0 } = policy?.cap ?? {};
    const cap = {
      processors: processors || Infinity,
      memoryMb: memoryMb || Infinity,
      accelerators: accelerators || Infinity,
    };
    return add(running, subtract(cap, this.#tables.runs.teamUsage(team)));
  }

  /** What lasting tasks leave of a pool's capacity, with what is on its way or can be lent to it. */
  #roomOf(pool: PoolName, { pools }: SchedulingConfig, now: Millis): Resources {
    const { executors, runs } = this.#tables;
    let room = this.#lender.comingCapacity(pool, pools, now);
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

/** Time after which all work is done if no capacity is idle. */
function clearMsOf(works: ReadonlyMap<TeamName, TeamWork>, room: Resources): Millis {
  let all = NO_RESOURCES;
  works.forEach(({ runningWork, waiting }) => {
    all = waiting.reduce((sum, { work }) => add(sum, work), add(all, runningWork));
  });
  return dominantShare(all, room);
}

/** Part of an amount that is within a limit in each resource. */
function partWithin(amount: Resources, limit: Resources): number {
  const part = (used: number, allowed: number): number =>
    used > 0 ? Math.max(0, allowed) / used : 1;
  return Math.min(
    1,
    part(amount.processors, limit.processors),
    part(amount.memoryMb, limit.memoryMb),
    part(amount.accelerators, limit.accelerators),
  );
}

function weightOf(policy: TeamPolicy | undefined): number {
  const weight = policy?.weight ?? DEFAULT_WEIGHT;
  return Number.isFinite(weight) && weight > 0 ? weight : MIN_WEIGHT;
}

function isAny({ processors, memoryMb, accelerators }: Resources): boolean {
  return processors > 0 || memoryMb > 0 || accelerators > 0;
}

function queuesOf(
  pool: PoolName,
  { queues }: SchedulingConfig,
): readonly (readonly [QueueName, QueuePolicy])[] {
  return [...queues].filter(([, policy]) => policy.pool === pool);
}

/** Returns a lane with the teams of which jobs may be refused; none if there are none. */
function newLane(
  queue: QueueName,
  policy: QueuePolicy,
  starts: ReadonlyMap<TeamName, FairStart>,
  longestMs: Millis,
  processors: number,
): readonly WorkAheadLane[] {
  const limitMs = startLimitMs(policy) ?? Infinity;
  const late = [...starts].filter(([, { lateMs }]) => Math.min(lateMs, longestMs) > limitMs);
  if (late.length === 0) {
    return [];
  }
  const latestMs = Math.max(...late.map(([, { lateMs }]) => lateMs));
  const clearMs = Math.floor(Math.min(latestMs, longestMs));
  const percent = (startMs: Millis): number =>
    Math.floor((PERCENT * Math.min(startMs, clearMs)) / clearMs);
  const teams = Object.fromEntries(
    late.map(
      ([team, { inTimeMs, lateMs }]) => [team, [percent(inTimeMs), percent(lateMs)]] as const,
    ),
  );
  return [{ queue, processors: Math.max(1, Math.round(processors)), clearMs, teams }];
}

/** Leaves out the teams with the earliest starts if there are too many. */
function limitTeams(lanes: readonly WorkAheadLane[]): readonly WorkAheadLane[] {
  const starts = lanes.flatMap(({ clearMs, teams }) =>
    Object.values(teams).map(([, late]) => late * clearMs),
  );
  if (starts.length <= MAX_TEAMS_PUBLISHED) {
    return lanes;
  }
  const least = starts.sort((a, b) => b - a)[MAX_TEAMS_PUBLISHED] ?? 0;
  return lanes
    .map((lane) => {
      const kept = Object.entries(lane.teams).filter(([, [, late]]) => late * lane.clearMs > least);
      return { ...lane, teams: Object.fromEntries(kept) };
    })
    .filter(({ teams }) => Object.keys(teams).length > 0);
}
