import type { Millis } from '../types/index.js';
import type {
  AcceptedJob,
  JobProgress,
  JobState,
  QueuePolicy,
  StepSpec,
  TaskRef,
} from './model.js';
import { criticalPathMs } from './critical-path.js';
import { StepProgress } from './step-progress.js';

/** One pass through all steps of a job. */
export interface Occurrence {
  readonly number: number;
  /** Monotonic time from which its tasks may start. */
  readonly dueAt: Millis;
  readonly steps: readonly StepProgress[];
}

/** How the end of a run changed its job. `progress`: the stored progress is out of date. */
export type RunEndEffect = 'none' | 'progress' | 'completed' | 'failed';

/** When a job was accepted and is due, converted to the owner's monotonic clock. */
export interface JobTimes {
  readonly acceptedAt: Millis;
  /** Due time of the first occurrence. */
  readonly firstDueAt: Millis;
}

/** A step with pending tasks that may start. */
export interface ReadyStep {
  readonly occurrence: number;
  readonly number: number;
  readonly step: StepProgress;
}

/** State machine of one job and the progress of its steps. */
export class Job {
  readonly accepted: AcceptedJob;
  readonly times: JobTimes;
  /** Whether any step is lasting. */
  readonly lasting: boolean;
  /** Declared duration of the longest chain of dependent steps. */
  readonly criticalPathMs: Millis;
  policy: QueuePolicy;
  /** Called when the tasks that may start or the progress of the job change. */
  onChange: () => void = () => undefined;
  #state: JobState = 'queued';
  #endedWallMs: Millis = 0;
  readonly #occurrences: readonly Occurrence[];
  /** Ready steps as of the last call of `ready`, until a step changes or an occurrence is due. */
  #ready: { readonly steps: readonly ReadyStep[]; readonly until: Millis } | undefined;

  constructor(
    accepted: AcceptedJob,
    times: JobTimes,
    firstAttempt: number,
    progress?: JobProgress,
  ) {
    this.accepted = accepted;
    this.times = times;
    this.policy = accepted.policy;
    this.lasting = accepted.spec.steps.some((step) => step.lasting);
    this.criticalPathMs = criticalPathMs(accepted.spec.steps);
    const onChange = (): void => {
      this.#ready = undefined;
      this.onChange();
    };
    this.#occurrences = Array.from({ length: accepted.spec.occurrences }, (_, number) => ({
      number,
      dueAt: times.firstDueAt + number * accepted.spec.intervalMs,
      steps: accepted.spec.steps.map((step) => new StepProgress(step, firstAttempt, onChange)),
    }));
    if (progress !== undefined) {
      this.#restore(progress);
    }
  }

  get id(): string {
    return this.accepted.id;
  }

  get state(): JobState {
    return this.#state;
  }

  /** Whether the job is queued or running, so that its tasks may still start. */
  get open(): boolean {
    return this.#state === 'queued' || this.#state === 'running';
  }

  get occurrences(): readonly Occurrence[] {
    return this.#occurrences;
  }

  step(ref: TaskRef): StepProgress | undefined {
    const step = this.#occurrences[ref.occurrence]?.steps[ref.step];
    return step !== undefined && ref.index < step.spec.taskCount ? step : undefined;
  }

  /** Steps that have pending tasks, completed predecessors and a due occurrence. */
  ready(now: Millis): readonly ReadyStep[] {
    if (!this.open) {
      return [];
    }
    if (this.#ready === undefined || now >= this.#ready.until) {
      this.#ready = this.#findReady(now);
    }
    return this.#ready.steps;
  }

  #findReady(now: Millis): { readonly steps: readonly ReadyStep[]; readonly until: Millis } {
    const ready: ReadyStep[] = [];
    for (const { number: occurrence, dueAt, steps } of this.#occurrences) {
      if (dueAt > now) {
        return { steps: ready, until: dueAt };
      }
      for (const [number, step] of steps.entries()) {
        if (step.pending.size > 0 && step.spec.after.every((other) => steps[other]?.complete)) {
          ready.push({ occurrence, number, step });
        }
      }
    }
    return { steps: ready, until: Infinity };
  }

  /** Whether an executor is known to have begun a task. A start that was sent may have failed. */
  get begun(): boolean {
    return this.#occurrences.some(({ steps }) => steps.some((step) => step.begun));
  }

  markStarted(): void {
    if (this.#state === 'queued') {
      this.#state = 'running';
      this.onChange();
    }
  }

  /** Records a task that ended `done`. In a gang, this completes all tasks of the step. */
  recordTaskDone(ref: TaskRef, wallMs: Millis): RunEndEffect {
    const step = this.step(ref);
    if (step === undefined || !this.open) {
      return 'none';
    }
    const indexes = step.spec.gang ? [...Array(step.spec.taskCount).keys()] : [ref.index];
    const changed = indexes.map((index) => step.markDone(index)).some(Boolean);
    if (!changed) {
      return 'none';
    }
    this.markStarted();
    if (!this.#occurrences.every(({ steps }) => steps.every((one) => one.complete))) {
      return 'progress';
    }
    this.#end('completed', wallMs);
    return 'completed';
  }

  /** Records a run that ended `failed`. Lasting tasks may fail any number of times. */
  recordTaskFailed(ref: TaskRef, attempt: number, wallMs: Millis): RunEndEffect {
    const step = this.step(ref);
    if (step === undefined || !this.open || step.spec.lasting || step.isDone(ref.index)) {
      return 'none';
    }
    // A gang fails as a whole, so its failures are counted under its first task.
    const failureIndex = step.spec.gang ? 0 : ref.index;
    if (!step.markFailed(failureIndex, attempt)) {
      return 'none';
    }
    this.markStarted();
    if (step.failures(failureIndex) < this.policy.maxAttempts) {
      return 'progress';
    }
    this.#end('failed', wallMs);
    return 'failed';
  }

  /** Returns false if the job had already ended. */
  cancel(wallMs: Millis): boolean {
    if (!this.open) {
      return false;
    }
    this.#end('cancelled', wallMs);
    return true;
  }

  get endedWallMs(): Millis {
    return this.#endedWallMs;
  }

  progress(): JobProgress {
    const done: Record<string, 'all' | readonly number[]> = {};
    const failures: Record<string, readonly number[]> = {};
    for (const { number, steps } of this.#occurrences) {
      steps.forEach((step, index) => {
        if (step.doneCount > 0) {
          done[`${number}.${index}`] = step.doneIndexes;
        }
        step.failedAttempts.forEach((count, task) => {
          failures[`${number}.${index}.${task}`] = count;
        });
      });
    }
    return { state: this.#state, endedWallMs: this.#endedWallMs, done, failures };
  }

  /** Specifications of the steps, in order. */
  get stepSpecs(): readonly StepSpec[] {
    return this.accepted.spec.steps;
  }

  #end(state: JobState, wallMs: Millis): void {
    this.#state = state;
    this.#endedWallMs = wallMs;
  }

  #restore(progress: JobProgress): void {
    this.#state = progress.state;
    this.#endedWallMs = progress.endedWallMs;
    for (const { number, steps } of this.#occurrences) {
      steps.forEach((step, index) => {
        const name = `${number}.${index}`;
        const failures = new Map<number, readonly number[]>();
        for (let task = 0; task < step.spec.taskCount; task += 1) {
          const count = progress.failures[`${name}.${task}`];
          if (count !== undefined) {
            failures.set(task, count);
          }
        }
        step.restore(progress.done[name] ?? [], failures);
      });
    }
  }
}
