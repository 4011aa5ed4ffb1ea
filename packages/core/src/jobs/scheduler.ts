import { add, NO_RESOURCES } from '../tasks/resource-arithmetic.js';
import type { CellTables } from './cell-tables.js';
import type { Resources } from '../tasks/model.js';
import type { Millis, PoolName, ZoneName } from '../types/index.js';
import type { ExecutorState } from './executor-table.js';
import type { Job, ReadyStep } from './job.js';
import type { JobDecision } from './messages.js';
import type { TaskRef, TeamPolicy } from './model.js';
import { candidatesOf, needsCounts, PlacementRound, type PlaceableTask } from './placement.js';
import { Reservations, type ReservationRules } from './reservations.js';
import { newRun } from './run-table.js';
import { ShareWaits } from './share-waits.js';
import type { StartGroup } from './start-group.js';
import type { StepProgress } from './step-progress.js';
import { withinCap } from './team-cap.js';
import { TeamShares } from './team-shares.js';
import type { UnreportedUsage } from './unreported-usage.js';

/** Limits on starts, apart from the capacity of executors. */
export interface StartLimits {
  readonly zonesOut: ReadonlySet<ZoneName>;
  readonly teams: ReadonlyMap<string, TeamPolicy>;
  /** Tasks of adopted jobs wait until all runs of earlier owners are known. */
  readonly holdAdopted: boolean;
  /** What teams may have running that is not known yet; it counts towards their caps. */
  readonly unreported: UnreportedUsage;
}

interface PlacedTask {
  readonly index: number;
  readonly state: ExecutorState;
}

/** Places pending tasks on executors, job by job. */
export class Scheduler {
  readonly #tables: CellTables;
  readonly #shares = new Map<PoolName, TeamShares>();
  readonly #shareWaits = new Map<PoolName, ShareWaits>();
  readonly #reservations: Reservations;

  constructor(tables: CellTables) {
    this.#tables = tables;
    this.#reservations = new Reservations(tables);
  }

  /** Shares as of the latest round of a pool; undefined if no executor could get tasks then. */
  shares(pool: PoolName): TeamShares | undefined {
    return this.#shares.get(pool);
  }

  /** Starts as many pending tasks of a pool as fit now. */
  schedule(pool: PoolName, limits: StartLimits, now: Millis): readonly JobDecision[] {
    const { jobs, runs, executors } = this.#tables;
    const candidates = candidatesOf(executors, pool, limits.zonesOut, now);
    const reservations = this.#reservations.ofPool(pool);
    const rules = this.#reservationRules(limits);
    const reserved = reservations.begin(candidates, rules, now);
    const round = new PlacementRound(executors, runs, candidates, reserved);
    if (round.empty) {
      this.#shares.delete(pool);
      return this.#reservationDecisions();
    }
    const shares = this.#computeShares(pool, round, limits, now);
    const mayStart = ({ adopted, needs }: StartGroup): boolean =>
      !(limits.holdAdopted && adopted) && needs.some((need) => round.mayFit(need));
    const decisions: JobDecision[] = [];
    const ready = jobs.readyJobsIn(pool);
    const waits = this.#shareWaitsOf(pool);
    for (const job of ready.take(now, mayStart, shares)) {
      const [next] = job.ready(now);
      const before = decisions.length;
      this.#startReadyTasks(job, round, limits, now, decisions);
      if (next !== undefined && decisions.length > before) {
        waits.onStarted(job.accepted.team, next.step.need.resources, shares);
      }
    }
    if (decisions.length > 0) {
      waits.review(ready.groups(), shares, reservations.meanTaskMs, now);
    }
    reservations.review({ round, ready, shares, rules, now });
    return [...decisions, ...this.#reservationDecisions()];
  }

  #reservationDecisions(): readonly JobDecision[] {
    return this.#reservations
      .takeChanges()
      .map((change) => ({ type: 'reservation', ...change }) as const);
  }

  #reservationRules(limits: StartLimits): ReservationRules {
    return {
      mayStart: ({ adopted }) => !(limits.holdAdopted && adopted),
      withinCap: (job, size) =>
        withinCap(
          this.#usage(job, limits),
          { size, count: 1 },
          limits.teams.get(job.accepted.team),
        ),
      stepRuns: (job, { occurrence, number, step }) =>
        this.#countStepRuns({ jobId: job.id, occurrence, step: number, index: 0 }, step),
    };
  }

  #computeShares(
    pool: PoolName,
    round: PlacementRound,
    limits: StartLimits,
    now: Millis,
  ): TeamShares {
    const { jobs, runs } = this.#tables;
    const { unreported, teams } = limits;
    const inherited = unreported.inPool(pool);
    const usage = runs.finiteUsage(pool);
    const known = [...usage.values()].reduce(add, NO_RESOURCES);
    const waits = this.#shareWaitsOf(pool);
    const { meanTaskMs } = this.#reservations.ofPool(pool);
    const shares = new TeamShares(
      {
        capacity: add(add(round.totalFree, known), unreported.totalInPool(pool)),
        users: [...usage.keys(), ...inherited.keys()],
        usage: (team) => add(usage.get(team) ?? NO_RESOURCES, inherited.get(team) ?? NO_RESOURCES),
        waiting: (at) => jobs.readyJobsIn(pool).waiting(at, (need) => round.couldFit(need)),
        teams,
        chargedToCap: (team) => add(runs.teamUsage(team), unreported.of(team)),
        overdueSince: (team) => waits.overdueSince(team, meanTaskMs, now),
      },
      now,
    );
    this.#shares.set(pool, shares);
    return shares;
  }

  #shareWaitsOf(pool: PoolName): ShareWaits {
    const waits = this.#shareWaits.get(pool) ?? new ShareWaits();
    this.#shareWaits.set(pool, waits);
    return waits;
  }

  #startReadyTasks(
    job: Job,
    round: PlacementRound,
    limits: StartLimits,
    now: Millis,
    decisions: JobDecision[],
  ): void {
    for (const ready of job.ready(now)) {
      const { occurrence, number, step } = ready;
      if (!round.mayFit(step.need)) {
        continue;
      }
      const ref = { jobId: job.id, occurrence, step: number, index: 0 };
      const task = this.#placeableTask(job, ready, now);
      const placed = step.spec.gang
        ? this.#placeGang(job, ref, step, task, round, limits)
        : this.#placeTasks(job, ref, step, task, round, limits);
      const gangAttempt = step.spec.gang
        ? step.nextAttempt(placed.map(({ index }) => index))
        : undefined;
      for (const { index, state } of placed) {
        const attempt = gangAttempt ?? step.nextAttempt([index]);
        decisions.push(this.#start(job, { ...ref, index }, step, state, attempt, now));
      }
    }
  }

  #placeableTask(job: Job, { step }: ReadyStep, now: Millis): PlaceableTask {
    const { spec, need } = step;
    const expectedMs = this.#tables.durations.expectedMs(job.accepted.queue, spec.estimateMs);
    return { spec, need, endsAt: now + expectedMs };
  }

  #placeTasks(
    job: Job,
    ref: TaskRef,
    step: StepProgress,
    task: PlaceableTask,
    round: PlacementRound,
    limits: StartLimits,
  ): readonly PlacedTask[] {
    const placed: PlacedTask[] = [];
    const counts = this.#countStepRuns(ref, step);
    const { agenda } = this.#tables;
    const team = limits.teams.get(job.accepted.team);
    const one = { size: step.spec.resources, count: 1 };
    let usage = this.#usage(job, limits);
    for (const index of step.pending) {
      if (!withinCap(usage, one, team)) {
        agenda.heldByCap(job.accepted.team, job.policy.pool);
        break;
      }
      const state = round.choose(task, counts);
      if (state === undefined) {
        break;
      }
      round.reserve(state, step.need.resources);
      increment(counts, state.info.id);
      usage = add(usage, step.spec.resources);
      placed.push({ index, state });
    }
    return placed;
  }

  /** Places all tasks of the step or none; with `sameRack`, on one rack if they fit on one. */
  #placeGang(
    job: Job,
    ref: TaskRef,
    step: StepProgress,
    task: PlaceableTask,
    round: PlacementRound,
    limits: StartLimits,
  ): readonly PlacedTask[] {
    const { spec } = step;
    const { agenda } = this.#tables;
    const usage = this.#usage(job, limits);
    const all = { size: spec.resources, count: spec.taskCount };
    const team = limits.teams.get(job.accepted.team);
    if (step.pending.size < spec.taskCount) {
      return [];
    }
    if (!withinCap(usage, all, team)) {
      agenda.heldByCap(job.accepted.team, job.policy.pool);
      return [];
    }
    const racks = spec.sameRack ? [...round.racks, undefined] : [undefined];
    for (const rack of racks) {
      const placed = this.#tryPlaceGang(ref, step, task, round, rack);
      if (placed.length === spec.taskCount) {
        return placed;
      }
    }
    return [];
  }

  #tryPlaceGang(
    ref: TaskRef,
    step: StepProgress,
    task: PlaceableTask,
    round: PlacementRound,
    rack: string | undefined,
  ): readonly PlacedTask[] {
    const placed: PlacedTask[] = [];
    const need = step.need.resources;
    const counts = this.#countStepRuns(ref, step);
    for (const index of step.pending) {
      const state = round.choose(task, counts, rack);
      if (state === undefined) {
        placed.forEach((one) => {
          round.release(one.state, need);
        });
        return [];
      }
      round.reserve(state, need);
      increment(counts, state.info.id);
      placed.push({ index, state });
    }
    return placed;
  }

  /** What counts towards the cap of a job's team. */
  #usage({ accepted: { team } }: Job, { unreported }: StartLimits): Resources {
    return add(this.#tables.runs.teamUsage(team), unreported.of(team));
  }

  /** Number of the step's current tasks by executor, where the choice depends on it. */
  #countStepRuns(ref: TaskRef, { spec }: StepProgress): Map<string, number> {
    const counts = new Map<string, number>();
    if (needsCounts(spec)) {
      this.#tables.runs
        .ofJob(ref.jobId)
        .filter(({ task }) => task.occurrence === ref.occurrence && task.step === ref.step)
        .forEach(({ executor }) => {
          increment(counts, executor);
        });
    }
    return counts;
  }

  #start(
    job: Job,
    task: TaskRef,
    step: StepProgress,
    state: ExecutorState,
    attempt: number,
    now: Millis,
  ): JobDecision {
    step.markAssigned(task.index);
    job.markStarted();
    const { id: executor, pool } = state.info;
    this.#reservations.ofPool(job.policy.pool).onStarted(job, step, executor, now);
    this.#tables.runs.add(newRun(job, step, { task, attempt, executor, pool, orderedAt: now }));
    return {
      type: 'start',
      executor,
      task,
      attempt,
      payload: job.accepted.spec.payload,
      checkpoint: step.checkpoint(task.index),
    };
  }
}

function increment(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}
