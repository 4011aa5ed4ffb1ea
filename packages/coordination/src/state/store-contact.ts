import type { Millis } from '@turmerichoist/core';

/** Interval at which `StoreContact.tick` is to be called. */
export const CONTACT_TICK_MS: Millis = 100;
/** Shortest silence that counts; a store that works answers within a tenth of it. */
const MIN_SILENCE_MS: Millis = 300;
/** Longest silence for which a slow store counts as answering. */
const MAX_SILENCE_MS: Millis = 1_200;
/** Multiple of the pauses between recent answers after which the store counts as silent. */
const SILENCE_FACTOR = 2;
/** Share of the longest recent pause that remains with each answer. */
const PAUSE_DECAY = 0.9;
/** Silence after which contact is lost. Shorter ones are not worth moving callers for. */
const LOST_AFTER_MS: Millis = 1_000;

/**
 * `in-touch`: calls are answered; `silent`: they have not been for longer than usual; `lost`: they
 * have not been for so long that callers should go elsewhere.
 */
export type ContactState = 'in-touch' | 'silent' | 'lost';

/** Told of the calls to a store. Times are monotonic. */
export interface StoreContactObserver {
  onSent(now: Millis): void;
  /** A call was answered, with whatever status. Long polls are reported here only. */
  onAnswered(now: Millis, longPoll: boolean): void;
  /** A call has ended without an answer, for any reason. */
  onUnanswered(now: Millis): void;
}

/**
 * Tells a store that doesn't answer from one that is slow or refuses calls: it is silent when calls
 * have been pending for a while and none has been answered in the meantime. What is usual is
 * learnt from the pauses that ended with an answer. A 429 or 503 is an answer.
 */
export class StoreContact implements StoreContactObserver {
  #pending = 0;
  /** Time since which calls have been sent and none has been answered. */
  #unansweredSince: Millis | undefined;
  #lastEndAt: Millis = -Infinity;
  #lastTickAt: Millis | undefined;
  /** Longest recent time for which calls waited without an answer to any; decays. */
  #usualPauseMs: Millis = 0;
  #state: ContactState = 'in-touch';

  get state(): ContactState {
    return this.#state;
  }

  /** Whether no call is pending and the last ones have ended without an answer. */
  get refusedAll(): boolean {
    return this.#pending === 0 && this.#unansweredSince !== undefined;
  }

  onSent(now: Millis): void {
    this.#pending += 1;
    this.#unansweredSince ??= now;
  }

  onAnswered(now: Millis, longPoll: boolean): void {
    const pauseMs = Math.min(this.#silenceMs(now), MAX_SILENCE_MS);
    const decayed = PAUSE_DECAY * this.#usualPauseMs + (1 - PAUSE_DECAY) * pauseMs;
    this.#usualPauseMs = Math.max(pauseMs, decayed);
    if (!longPoll) {
      this.#pending -= 1;
    }
    this.#unansweredSince = this.#pending > 0 ? now : undefined;
    this.#state = 'in-touch';
  }

  onUnanswered(now: Millis): void {
    this.#pending -= 1;
    this.#lastEndAt = now;
  }

  /**
   * Updates the state, which an answer resets at once. A late tick shows that this process did not
   * run, so that time doesn't count as silence.
   */
  tick(now: Millis): ContactState {
    const lateMs = Math.max(0, now - (this.#lastTickAt ?? now) - CONTACT_TICK_MS);
    this.#lastTickAt = now;
    if (this.#unansweredSince !== undefined) {
      this.#unansweredSince = Math.min(now, this.#unansweredSince + lateMs);
    }
    this.#state = this.#classify(this.#silenceMs(now));
    return this.#state;
  }

  #classify(silenceMs: Millis): ContactState {
    const bound = Math.max(MIN_SILENCE_MS, SILENCE_FACTOR * this.#usualPauseMs);
    const limitMs = Math.min(MAX_SILENCE_MS, bound);
    if (silenceMs < limitMs) {
      return 'in-touch';
    }
    return silenceMs < Math.max(LOST_AFTER_MS, limitMs) ? 'silent' : 'lost';
  }

  #silenceMs(now: Millis): Millis {
    if (this.#unansweredSince === undefined) {
      return 0;
    }
    const until = this.#pending > 0 ? now : this.#lastEndAt;
    return Math.max(0, until - this.#unansweredSince);
  }
}
