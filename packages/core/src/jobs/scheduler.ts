import { add, fitsIn } from '../tasks/amounts.js';
import type { CellTables } from './cell-tables.js';
import type { Resources } from '../tasks/model.js';
import type { Millis, PoolName, ZoneName } from '../types/index.js';
import type { ExecutorState } from './executor-table.js';
import type { Job } from './job.js';
import type { JobDecision } from './messages.js';
import { footprint, type TaskRef, type TeamPolicy } from './model.js';
import type { JobOrder } from './ordering.js';
import { candidatesOf, PlacementRound } from './placement.js';
import { newRun } from './run-table.js';
import type { StepProgress } from './step-progress.js';

export interface SchedulerParts extends CellTables {
  readonly order: JobOrder;
}

/** What limits starts, apart from room. */
export interface StartLimits {
  readonly zonesOut: ReadonlySet<ZoneName>;
  readonly teams: ReadonlyMap<string, TeamPolicy>;
  /** Tasks of adopted jobs wait until all earlier starts are accounted for. */
  readonly holdAdopted: boolean;
}

interface Placed {
  readonly index: number;
  readonly state: ExecutorState;
}

/** Chooses which tasks start where. */
export class Scheduler {
  readonly #parts: SchedulerParts;

  constructor(parts: SchedulerParts) {
    this.#parts = parts;
  }

  /** Starts what fits into a pool now. */
  schedule(pool: PoolName, limits: StartLimits, now: Millis): readonly JobDecision[] {
    const { jobs, runs, executors, order } = this.#parts;
    const open = jobs.openIn(pool);
    if (open.length === 0) {
      return [];
    }
    const round = new PlacementRound(
      executors,
      runs,
      candidatesOf(executors, pool, limits.zonesOut, now),
    );
    if (round.empty) {
      return [];
    }
    const decisions: JobDecision[] = [];
    for (const job of order.sort(open, now)) {
      if (!(limits.holdAdopted && jobs.isAdopted(job.id))) {
        this.#startJob(job, round, limits, now, decisions);
      }
    }
    return decisions;
  }

  #startJob(
    job: Job,
    round: PlacementRound,
    limits: StartLimits,
    now: Millis,
    decisions: JobDecision[],
  ): void {
    for (const { occurrence, step: number } of [...job.ready(now)]) {
      const ref = { jobId: job.id, occurrence, step: number, index: 0 };
      const step = job.step(ref);
      if (step === undefined) {
        continue;
      }
      const placed = step.spec.gang
        ? this.#placeGang(job, ref, step, round, limits)
        : this.#placeTasks(job, ref, step, round, limits);
      const gangAttempt = step.spec.gang
        ? step.nextAttempt(placed.map(({ index }) => index))
        : undefined;
      for (const { index, state } of placed) {
        const attempt = gangAttempt ?? step.nextAttempt([index]);
        decisions.push(this.#start(job, { ...ref, index }, step, state, attempt, now));
      }
    }
  }

  #placeTasks(
    job: Job,
    ref: TaskRef,
    step: StepProgress,
    round: PlacementRound,
    limits: StartLimits,
  ): readonly Placed[] {
    const placed: Placed[] = [];
    let use = this.#parts.runs.teamUse(job.accepted.team);
    for (const index of step.pending) {
      if (!withinCap(use, step.spec.resources, limits.teams.get(job.accepted.team))) {
        break;
      }
      const state = round.choose(step.spec, this.#stepPlaces(job, ref, placed));
      if (state === undefined) {
        break;
      }
      round.take(state, footprint(step.spec));
      use = add(use, step.spec.resources);
      placed.push({ index, state });
    }
    return placed;
  }

  /** All tasks of the step or none, on one rack where that is faster and possible. */
  #placeGang(
    job: Job,
    ref: TaskRef,
    step: StepProgress,
    round: PlacementRound,
    limits: StartLimits,
  ): readonly Placed[] {
    const { spec } = step;
    const use = this.#parts.runs.teamUse(job.accepted.team);
    const all = scale(spec.resources, spec.taskCount);
    const team = limits.teams.get(job.accepted.team);
    if (step.pending.size < spec.taskCount || !withinCap(use, all, team)) {
      return [];
    }
    const racks = spec.sameRack ? [...round.racks, undefined] : [undefined];
    for (const rack of racks) {
      const placed = this.#tryGang(job, ref, step, round, rack);
      if (placed.length === spec.taskCount) {
        return placed;
      }
    }
    return [];
  }

  #tryGang(
    job: Job,
    ref: TaskRef,
    step: StepProgress,
    round: PlacementRound,
    rack: string | undefined,
  ): readonly Placed[] {
    const placed: Placed[] = [];
    const need = footprint(step.spec);
    for (const index of step.pending) {
      const state = round.choose(step.spec, this.#stepPlaces(job, ref, placed), rack);
      if (state === undefined) {
        placed.forEach((one) => {
          round.giveBack(one.state, need);
        });
        return [];
      }
      round.take(state, need);
      placed.push({ index, state });
    }
    return placed;
  }

  /** Executors that hold tasks of the step already, those placed in this round included. */
  #stepPlaces(
    job: Job,
    ref: TaskRef,
    placed: readonly Placed[],
  ): readonly { readonly executor: string }[] {
    const running = this.#parts.runs
      .ofJob(job.id)
      .filter(({ task }) => task.occurrence === ref.occurrence && task.step === ref.step);
    return [...running, ...placed.map(({ state }) => ({ executor: state.info.id }))];
  }

  #start(
    job: Job,
    task: TaskRef,
    step: StepProgress,
    state: ExecutorState,
    attempt: number,
    now: Millis,
  ): JobDecision {
    step.take(task.index);
    job.started();
    const executor = state.info.id;
    this.#parts.runs.add(newRun(job, step, { task, attempt, executor, orderedAt: now }));
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

function scale(resources: Resources, by: number): Resources {
  return {
    processors: resources.processors * by,
    memoryMb: resources.memoryMb * by,
    accelerators: resources.accelerators * by,
  };
}

/** Whether a team may have `more` running beside `use`. */
function withinCap(use: Resources, more: Resources, team: TeamPolicy | undefined): boolean {
  if (team === undefined) {
    return true;
  }
  const { cap } = team;
  const limit = {
    processors: cap.processors || Infinity,
    memoryMb: cap.memoryMb || Infinity,
    accelerators: cap.accelerators || Infinity,
  };
  return fitsIn(add(use, more), limit);
}
