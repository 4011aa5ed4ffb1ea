import type { StepSpec } from './model.js';
import { taskNeed, type TaskNeed } from './start-group.js';

/** Progress of the tasks of one step in one occurrence: pending, done, failed attempts. */
export class StepProgress {
  readonly spec: StepSpec;
  /** What each of its tasks needs. */
  readonly need: TaskNeed;
  readonly #pending = new Set<number>();
  readonly #done = new Set<number>();
  /** Failed attempt numbers by task. */
  readonly #failures = new Map<number, readonly number[]>();
  readonly #checkpoints = new Map<number, string>();
  readonly #attempts = new Map<number, number>();
  readonly #firstAttempt: number;
  #begun = false;

  readonly #onChange: () => void;

  /**
   * `firstAttempt` is the lowest attempt number that this owner uses; `onChange` is called when the
   * pending or done tasks change.
   */
  constructor(spec: StepSpec, firstAttempt: number, onChange: () => void) {
    this.spec = spec;
    this.need = taskNeed(spec);
    this.#onChange = onChange;
    this.#firstAttempt = firstAttempt;
    for (let index = 0; index < spec.taskCount; index += 1) {
      this.#pending.add(index);
    }
  }

  /** Tasks that are neither done nor assigned to an executor. */
  get pending(): ReadonlySet<number> {
    return this.#pending;
  }

  get doneCount(): number {
    return this.#done.size;
  }

  get complete(): boolean {
    return this.#done.size === this.spec.taskCount;
  }

  /** Whether an executor is known to have begun a task of the step. */
  get begun(): boolean {
    return this.#begun;
  }

  markBegun(): void {
    this.#begun = true;
  }

  isDone(index: number): boolean {
    return this.#done.has(index);
  }

  checkpoint(index: number): string {
    return this.#checkpoints.get(index) ?? '';
  }

  failures(index: number): number {
    return this.#failures.get(index)?.length ?? 0;
  }

  /** Allocates the next attempt number for these tasks; the tasks of a gang share one. */
  nextAttempt(indexes: readonly number[]): number {
    const last = Math.max(
      this.#firstAttempt - 1,
      ...indexes.map((index) => this.#attempts.get(index) ?? 0),
    );
    indexes.forEach((index) => this.#attempts.set(index, last + 1));
    return last + 1;
  }

  /** Records a run that an executor has listed. Later attempts get higher numbers. */
  recordAttempt(index: number, attempt: number): void {
    this.#begun = true;
    this.#attempts.set(index, Math.max(this.#attempts.get(index) ?? 0, attempt));
  }

  markAssigned(index: number): void {
    this.#pending.delete(index);
    this.#onChange();
  }

  requeue(index: number): void {
    if (!this.#done.has(index)) {
      this.#pending.add(index);
      this.#onChange();
    }
  }

  saveCheckpoint(index: number, checkpoint: string): void {
    if (checkpoint !== '') {
      this.#checkpoints.set(index, checkpoint);
    }
  }

  /** Returns false if the task was already done. */
  markDone(index: number): boolean {
    if (this.#done.has(index)) {
      return false;
    }
    this.#done.add(index);
    this.#pending.delete(index);
    this.#onChange();
    return true;
  }

  /**
   * Counts a failed attempt. Returns false if it was already counted: executors report an ended run
   * again until it is acknowledged, also to a later owner.
   */
  markFailed(index: number, attempt: number): boolean {
    const attempts = this.#failures.get(index) ?? [];
    if (attempts.includes(attempt)) {
      return false;
    }
    this.#failures.set(index, [...attempts, attempt]);
    return true;
  }

  restore(done: 'all' | readonly number[], failures: ReadonlyMap<number, readonly number[]>): void {
    const indexes = done === 'all' ? [...Array(this.spec.taskCount).keys()] : done;
    indexes.forEach((index) => this.markDone(index));
    failures.forEach((count, index) => this.#failures.set(index, count));
    this.#begun ||= indexes.length > 0 || failures.size > 0;
  }

  get doneIndexes(): 'all' | readonly number[] {
    return this.complete ? 'all' : [...this.#done].sort((a, b) => a - b);
  }

  /** Failed attempt numbers by task. */
  get failedAttempts(): ReadonlyMap<number, readonly number[]> {
    return this.#failures;
  }
}
