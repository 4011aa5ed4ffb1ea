import type { Millis, TaskId } from '../types/index.js';
import type { WaitReason } from './messages.js';
import type { Outbox } from './outbox.js';

export interface CurrentWait {
  readonly reason: WaitReason;
  readonly since: Millis;
}

/** Tasks whose reason is stored; the reasons of other tasks are derived from their state. */
const MAX_ENTRIES = 10_000;

/**
 * Why tasks that the scheduler considered did not start, and since when. Each change is emitted as
 * a `wait` decision.
 */
export class WaitReasons {
  readonly #out: Outbox;
  readonly #waits = new Map<TaskId, CurrentWait>();

  constructor(out: Outbox) {
    this.#out = out;
  }

  get(id: TaskId): CurrentWait | undefined {
    return this.#waits.get(id);
  }

  set(id: TaskId, reason: WaitReason, now: Millis): void {
    if (this.#waits.get(id)?.reason === reason) {
      return;
    }
    this.#waits.delete(id);
    this.#waits.set(id, { reason, since: now });
    this.#out.push({ type: 'wait', id, reason, since: now });
    if (this.#waits.size > MAX_ENTRIES) {
      const [oldest = id] = this.#waits.keys();
      this.#waits.delete(oldest);
    }
  }

  clear(id: TaskId): void {
    this.#waits.delete(id);
  }
}
