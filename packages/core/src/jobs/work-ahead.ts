import {
  NO_RESOURCES,
  add,
  dominantShare,
  maxResources,
  scale,
  subtract,
} from '../tasks/resource-arithmetic.js';
import type { Resources } from '../tasks/model.js';
import type { Millis, PoolName, QueueName, TeamName } from '../types/index.js';
import { startLimitMs } from './admission.js';
import type { CellTables } from './cell-tables.js';
import type { ExecutorState } from './executor-table.js';
import { FairBacklog, type FairStart, type TeamBacklog } from './fair-backlog.js';
import type { Job } from './job.js';
import type { InstanceLender } from './lending.js';
import { footprint, type SchedulingConfig, type TeamPolicy } from './model.js';
import { latenessOf } from './ordering.js';
import type { Run } from './run-table.js';

/** Bounds the size of what is published; teams with a later start come first. */
const MAX_TEAMS_PUBLISHED = 24;
const DEFAULT_WEIGHT = 1;
/** Weight of a team whose own is not a positive number. */
const MIN_WEIGHT = 1e-6;
const PERCENT = 100;

/** When jobs would start that are submitted now to any of these queues, which share a pool. */
export interface WorkAheadLane {
  readonly queues: readonly QueueName[];
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

/** What one team has in a pool. Work is the product of resources and milliseconds. */
interface TeamWork {
  running: Resources;
  ready: Resources;
  runningWork: Resources;
  /** By priority, of jobs that can still have value, and of those among them that are in time. */
  readonly waitingWork: Map<number, Resources>;
  readonly inTimeWork: Map<number, Resources>;
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
    const works = this.#worksIn(pool, now);
    if (![...works.values()].some(({ ready }) => isAny(ready))) {
      return [];
    }
    const room = this.#roomOf(pool, config, now);
    if (room.processors <= 0) {
      return [];
    }
    const backlog = new FairBacklog(
      [...works].map(([team, work]) => this.#backlogOf(team, work, room, config)),
    );
    const longestMs = clearMsOf(works, room);
    return [...queuesByPriority(pool, config)].flatMap(([priority, queues]) => {
      const starts = [...backlog.startsMs(priority)].map(
        ([team, { inTimeMs, lateMs }]) =>
          [
            team,
            { inTimeMs: Math.min(inTimeMs, longestMs), lateMs: Math.min(lateMs, longestMs) },
          ] as const,
      );
      return newLane(queues, config, starts, room.processors);
    });
  }

  #worksIn(pool: PoolName, now: Millis): ReadonlyMap<TeamName, TeamWork> {
    const { jobs, executors, runs } = this.#tables;
    const works = new Map<TeamName, TeamWork>();
    for (const job of jobs.openJobsIn(pool)) {
      const lateness = latenessOf(job, now);
      // Jobs without value are served after those that are submitted now.
      if (lateness !== 'worthless') {
        this.#addWaiting(job, workOf(works, job.accepted.team), lateness === 'in-time', now);
      }
    }
    for (const { info } of executors.ofPool(pool)) {
      for (const run of runs.at(info.id)) {
        if (!run.lasting && run.phase !== 'stopping') {
          this.#addRunning(run, workOf(works, run.team), now);
        }
      }
    }
    return works;
  }

  #addWaiting(job: Job, work: TeamWork, inTime: boolean, now: Millis): void {
    const { priority } = job.policy;
    const waiting = this.#waitingWork(job, now);
    addTo(work.waitingWork, priority, waiting);
    if (inTime) {
      addTo(work.inTimeWork, priority, waiting);
    }
    for (const { step } of job.ready(now)) {
      if (!step.spec.lasting) {
        work.ready = add(work.ready, scale(step.need.resources, step.pending.size));
      }
    }
  }

  #waitingWork({ accepted, occurrences }: Job, now: Millis): Resources {
    let sum = NO_RESOURCES;
    for (const { steps } of occurrences.filter(({ dueAt }) => dueAt <= now)) {
      for (const { spec, pending } of steps) {
        if (!spec.lasting && pending.size > 0) {
          const durationMs = this.#tables.durations.expectedMs(accepted.queue, spec.estimateMs);
          sum = add(sum, scale(footprint(spec), pending.size * durationMs));
        }
      }
    }
    return sum;
  }

  #addRunning(run: Run, work: TeamWork, now: Millis): void {
    work.running = add(work.running, run.footprint);
    const { jobs, durations } = this.#tables;
    const job = jobs.get(run.task.jobId);
    const step = job?.step(run.task);
    if (job !== undefined && step !== undefined) {
      const expectedMs = durations.expectedMs(job.accepted.queue, step.spec.estimateMs);
      const leftMs = Math.max(0, expectedMs - (now - (run.startedAt ?? run.orderedAt)));
      work.runningWork = add(work.runningWork, scale(run.footprint, leftMs));
    }
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
      waitingMs: inPoolMs(work.waitingWork, room),
      inTimeMs: inPoolMs(work.inTimeWork, room),
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
  works.forEach(({ runningWork, waitingWork }) => {
    all = [...waitingWork.values()].reduce(add, add(all, runningWork));
  });
  return dominantShare(all, room);
}

function workOf(works: Map<TeamName, TeamWork>, team: TeamName): TeamWork {
  const known = works.get(team);
  if (known !== undefined) {
    return known;
  }
  const created: TeamWork = {
    running: NO_RESOURCES,
    ready: NO_RESOURCES,
    runningWork: NO_RESOURCES,
    waitingWork: new Map(),
    inTimeWork: new Map(),
  };
  works.set(team, created);
  return created;
}

function addTo(sums: Map<number, Resources>, priority: number, more: Resources): void {
  sums.set(priority, add(sums.get(priority) ?? NO_RESOURCES, more));
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

/** Time that a pool would take for each work. */
function inPoolMs(
  works: ReadonlyMap<number, Resources>,
  room: Resources,
): ReadonlyMap<number, Millis> {
  return new Map([...works].map(([priority, work]) => [priority, dominantShare(work, room)]));
}

function weightOf(policy: TeamPolicy | undefined): number {
  const weight = policy?.weight ?? DEFAULT_WEIGHT;
  return Number.isFinite(weight) && weight > 0 ? weight : MIN_WEIGHT;
}

function isAny({ processors, memoryMb, accelerators }: Resources): boolean {
  return processors > 0 || memoryMb > 0 || accelerators > 0;
}

function queuesByPriority(
  pool: PoolName,
  { queues }: SchedulingConfig,
): ReadonlyMap<number, readonly QueueName[]> {
  const groups = new Map<number, QueueName[]>();
  queues.forEach((policy, queue) => {
    if (policy.pool === pool && startLimitMs(policy) !== undefined) {
      groups.set(policy.priority, [...(groups.get(policy.priority) ?? []), queue]);
    }
  });
  return groups;
}

/** Returns a lane with the queues and teams of which jobs may be refused; none if there are none. */
function newLane(
  queues: readonly QueueName[],
  config: SchedulingConfig,
  starts: readonly (readonly [TeamName, FairStart])[],
  processors: number,
): readonly WorkAheadLane[] {
  const clearMs = Math.floor(Math.max(0, ...starts.map(([, { lateMs }]) => lateMs)));
  const limitOf = (queue: QueueName): Millis => {
    const policy = config.queues.get(queue);
    return (policy && startLimitMs(policy)) ?? Infinity;
  };
  const short = queues.filter((queue) => clearMs > limitOf(queue));
  const leastMs = Math.min(...short.map(limitOf));
  const late = starts.filter(([, { lateMs }]) => lateMs > leastMs);
  if (short.length === 0 || late.length === 0) {
    return [];
  }
  const percent = (startMs: Millis): number => Math.floor((PERCENT * startMs) / clearMs);
  const teams = Object.fromEntries(
    late.map(([team, { inTimeMs, lateMs }]) => [
      team,
      [percent(inTimeMs), percent(lateMs)] as const,
    ]),
  );
  return [{ queues: short, processors: Math.round(processors), clearMs, teams }];
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
