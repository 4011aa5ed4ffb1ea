import type { Millis } from '../types/index.js';

/** First pause after a refusal; it doubles with each further refusal in a row. */
export const REFUSAL_BACKOFF_MS = 5;
export const MAX_REFUSAL_BACKOFF_MS = 80;
/** First ejection; it doubles with each further one without a success between them. */
export const EJECTION_MS = 1_000;
export const MAX_EJECTION_MS = 30_000;
/** Weight of the newest attempt in the failure ratio: four failures in a row exceed the limit. */
const FAILURE_WEIGHT = 0.2;
const FAILURE_RATIO_LIMIT = 0.5;

/** Recent success of one executor: short pauses after refusals, ejection after failures. */
export class ExecutorHealth {
  #failureRatio = 0;
  #refusals = 0;
  #ejections = 0;
  #pausedUntil: Millis = Number.NEGATIVE_INFINITY;
  #ejectedUntil: Millis = Number.NEGATIVE_INFINITY;
  #probation = false;

  /** Whether one more attempt may go there. After an ejection, one at a time until one succeeds. */
  open(outstanding: number, now: Millis): boolean {
    if (now < this.#pausedUntil || now < this.#ejectedUntil) {
      return false;
    }
    return !this.#probation || outstanding === 0;
  }

  /** Whether it is ejected or has not succeeded since. */
  get ejected(): boolean {
    return this.#probation;
  }

  /** Clock reading at which a pause or ejection ends. */
  get closedUntil(): Millis {
    return Math.max(this.#pausedUntil, this.#ejectedUntil);
  }

  succeeded(): void {
    this.#failureRatio *= 1 - FAILURE_WEIGHT;
    this.#refusals = 0;
    this.#ejections = 0;
    this.#probation = false;
  }

  /** Pauses it for a short time: it is full, or no connection could be made. */
  refused(now: Millis): void {
    const backoff = Math.min(MAX_REFUSAL_BACKOFF_MS, REFUSAL_BACKOFF_MS * 2 ** this.#refusals);
    this.#refusals += 1;
    this.#pausedUntil = now + backoff;
  }

  /** Counts a failure and ejects it when failures prevail, if `mayEject` allows. */
  failed(now: Millis, mayEject: boolean): void {
    this.#failureRatio += FAILURE_WEIGHT * (1 - this.#failureRatio);
    const failsOften = this.#probation || this.#failureRatio > FAILURE_RATIO_LIMIT;
    if (failsOften && (mayEject || this.#probation)) {
      this.#eject(now);
    }
  }

  #eject(now: Millis): void {
    if (now < this.#ejectedUntil) {
      return;
    }
    this.#ejectedUntil = now + Math.min(MAX_EJECTION_MS, EJECTION_MS * 2 ** this.#ejections);
    this.#ejections += 1;
    this.#probation = true;
  }
}
