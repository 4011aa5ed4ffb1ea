import type { Millis } from '../types/index.js';
import { attemptKeyAt, type ExecutorId, type TaskAttempt } from './model.js';

/** Time after which an unanswered stop is sent again. */
export const STOP_RETRY_MS: Millis = 600;

/**
 * When a stop was last sent for a run of an unknown job. What it takes is not known, so that it can't be
 * on record. Without a limit each answered stop would trigger a poll, and its report the next stop.
 */
export class UntrackedStops {
  /** In the order in which they were sent. */
  readonly #sentAt = new Map<string, Millis>();

  /** Returns whether a stop is to be sent, which then counts as sent. */
  take(executor: ExecutorId, run: TaskAttempt, now: Millis): boolean {
    for (const [sent, sentAt] of this.#sentAt) {
      if (now - sentAt < STOP_RETRY_MS) {
        break;
      }
      this.#sentAt.delete(sent);
    }
    const key = attemptKeyAt(executor, run);
    if (this.#sentAt.has(key)) {
      return false;
    }
    this.#sentAt.set(key, now);
    return true;
  }
}
