import {
  SeededRandom,
  type StepSpec,
  type AcceptedJob,
  type ExecutorId,
  type JobDecision,
  type JobId,
  type Millis,
  type ReservationChange,
  type Resources,
} from '../../src/index.js';
import { executor, job, step } from './job-fixtures.js';
import type { JobWorldOptions } from './job-world-settings.js';
import { JobWorld } from './job-world.js';

const PROCESSORS = 64;
const STEP_MS: Millis = 50;
const SMALL = { processors: 4, memoryMb: 100, accelerators: 0 };

/** Its share is less than one large task, so that the order of jobs alone makes no room for one. */
const BIG_TEAM = {
  name: 'big',
  weight: 0.001,
  cap: { processors: 0, memoryMb: 0, accelerators: 0 },
};

export const LARGE = { processors: 40, memoryMb: 1_000, accelerators: 0 };
export const LARGE_TASK_MS: Millis = 1_000;

export type MadeReservation = Extract<ReservationChange, { change: 'made' }>;
export type EndedReservation = Extract<ReservationChange, { change: 'ended' }>;

/**
 * A pool that a stream of small tasks of team `t1` keeps full, beside tasks of 40 of 64 processors.
 * Odd executors are on rack `r1` and even ones on `r0`, with a label of the same name.
 */
export class FullPoolWorld {
  readonly world: JobWorld;
  /** When each large job was first seen running. */
  readonly largeSince = new Map<JobId, Millis>();
  readonly made: MadeReservation[] = [];
  readonly ended: EndedReservation[] = [];
  /** Reservations of the current owner. */
  readonly active = new Map<ExecutorId, MadeReservation>();
  /** Called after each event that a decider has handled. */
  onHandled: () => void = () => undefined;
  readonly #random: SeededRandom;
  #streaming = true;
  #submitted = 0;

  constructor(executors: number, seed: number, options: JobWorldOptions = {}) {
    const capacity = { processors: PROCESSORS, memoryMb: 64_000, accelerators: 0 };
    const infos = Array.from({ length: executors }, (_, n) =>
      executor(`e${n}`, { capacity, rack: `r${n % 2}`, labels: [`r${n % 2}`] }),
    );
    this.world = new JobWorld(infos, seed, { ...options, teams: [BIG_TEAM] });
    this.#random = new SeededRandom(seed);
    this.world.onHandled = (_decider, _event, decisions) => {
      decisions.forEach((decision) => {
        this.#record(decision);
      });
      this.onHandled();
    };
  }

  endStream(): void {
    this.#streaming = false;
  }

  killOwner(): void {
    this.active.clear();
    this.world.killOwner();
  }

  /** Sets the cap of the team `big`; 0 processors for none. */
  capBig(processors: number): void {
    const cap: Resources = { processors, memoryMb: 0, accelerators: 0 };
    const teams = new Map([['big', { ...BIG_TEAM, cap }]]);
    const config = { queues: new Map(), pools: new Map(), teams };
    if (this.world.term !== undefined) {
      this.world.deliver(this.world.term, { type: 'config', config });
    }
  }

  /** Submits a job of the team `big` with one task of 40 processors. */
  submitLarge(id: JobId, over: Partial<StepSpec> = {}): void {
    const steps = [step({ resources: LARGE, estimateMs: LARGE_TASK_MS, ...over })];
    this.#submit({ ...job(id, steps), team: 'big' });
  }

  run(forMs: Millis): void {
    for (const end = this.world.now + forMs; this.world.now < end;) {
      // More than the pool can run, so that small tasks wait all the time.
      for (let n = 0; this.#streaming && n < this.world.executors.size; n += 1) {
        this.#submitSmall();
      }
      this.world.run(STEP_MS);
      this.#observe();
    }
  }

  /** Runs until a condition holds, at most for a time; returns whether it holds. */
  runUntil(condition: () => boolean, atMostMs: Millis): boolean {
    for (const end = this.world.now + atMostMs; !condition() && this.world.now < end;) {
      this.run(STEP_MS);
    }
    return condition();
  }

  #submitSmall(): void {
    this.#submitted += 1;
    const estimateMs = 500 + Math.floor(1_000 * this.#random.next());
    this.#submit(job(`small${this.#submitted}`, [step({ resources: SMALL, estimateMs })]));
  }

  #submit(accepted: AcceptedJob): void {
    this.world.submit({ ...accepted, acceptedWallMs: this.world.clock.wall() });
  }

  #record(decision: JobDecision): void {
    if (decision.type !== 'reservation') {
      return;
    }
    if (decision.change === 'made') {
      this.made.push(decision);
      this.active.set(decision.reservation.executor, decision);
    } else {
      this.ended.push(decision);
      this.active.delete(decision.reservation.executor);
    }
  }

  #observe(): void {
    for (const { runs } of this.world.executors.values()) {
      for (const { task } of runs.values()) {
        if (task.jobId.startsWith('large') && !this.largeSince.has(task.jobId)) {
          this.largeSince.set(task.jobId, this.world.now);
        }
      }
    }
  }
}
