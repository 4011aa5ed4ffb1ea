import type { Millis, TaskId } from '../types/index.js';
import type { WaitReason } from './messages.js';
import type { Outbox } from './outbox.js';

export interface Wait {
  readonly reason: WaitReason;
  readonly since: Millis;
}

/** Tasks whose reason is kept; the reasons of others are derived from their state. */
const MAX_KEPT = 10_000;

/** Why tasks that were considered did not start, and since when. Changes are announced. */
export class WaitReasons {
  readonly #out: Outbox;
  readonly #waits = new Map<TaskId, Wait>();

  constructor(out: Outbox) {
    this.#out = out;
  }

  get(id: TaskId): Wait | undefined {
    return this.#waits.get(id);
  }

  note(id: TaskId, reason: WaitReason, now: Millis): void {
    if (this.#waits.get(id)?.reason === reason) {
      return;
    }
    this.#waits.delete(id);
    this.#waits.set(id, { reason, since: now });
    this.#out.push({ type: 'wait', id, reason, since: now });
    if (this.#waits.size > MAX_KEPT) {
      const [oldest = id] = this.#waits.keys();
      this.#waits.delete(oldest);
    }
  }

  forget(id: TaskId): void {
    this.#waits.delete(id);
  }
}
