import type { Millis } from '../types/index.js';
import type { JobId } from './model.js';

/** Jobs whose wait is tracked per pool, well above the number of reservations of a pool. */
const MAX_TRACKED = 256;

/** The wait of a task that does not fit while smaller tasks start. */
export interface LargeTaskWait {
  readonly job: JobId;
  /** Key of what the task needs. */
  readonly needKey: string;
  readonly since: Millis;
}

/** Waits of large tasks of one pool, at most one for each job. */
export class LargeTaskWaits {
  readonly #waits = new Map<JobId, LargeTaskWait>();

  get size(): number {
    return this.#waits.size;
  }

  get full(): boolean {
    return this.#waits.size >= MAX_TRACKED;
  }

  get all(): readonly LargeTaskWait[] {
    return [...this.#waits.values()];
  }

  get(job: JobId): LargeTaskWait | undefined {
    return this.#waits.get(job);
  }

  /** Begins a wait or begins it anew. New ones are ignored while too many are tracked. */
  begin(wait: LargeTaskWait): void {
    if (this.#waits.has(wait.job) || !this.full) {
      this.#waits.set(wait.job, wait);
    }
  }

  /** Ends the wait of a job, or only that for `needKey` if it is given. */
  end(job: JobId, needKey?: string): void {
    if (needKey === undefined || this.#waits.get(job)?.needKey === needKey) {
      this.#waits.delete(job);
    }
  }

  retain(keep: (wait: LargeTaskWait) => boolean): void {
    for (const wait of this.all) {
      if (!keep(wait)) {
        this.#waits.delete(wait.job);
      }
    }
  }
}
