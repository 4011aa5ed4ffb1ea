import { NEVER, type Millis } from '../types/index.js';

/** Backoff after the first refusal. It doubles with each consecutive refusal. */
const INITIAL_REFUSAL_BACKOFF_MS = 5;
const MAX_REFUSAL_BACKOFF_MS = 80;
/**
 * Duration of the first ejection. It doubles with each further ejection until an attempt succeeds.
 */
const INITIAL_EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 30_000;
/**
 * Weight of the newest attempt in the moving failure ratio: four consecutive failures exceed the
 * limit.
 */
const NEWEST_ATTEMPT_WEIGHT = 0.2;
const MAX_FAILURE_RATIO = 0.5;

/** Outlier detection for one executor: backs off after refusals and ejects it after failures. */
export class ExecutorHealth {
  #failureRatio = 0;
  #consecutiveRefusals = 0;
  #consecutiveEjections = 0;
  #backoffUntil: Millis = NEVER;
  #ejectedUntil: Millis = NEVER;
  #onProbation = false;

  /**
   * Whether the executor accepts another attempt. After an ejection, one at a time until one
   * succeeds.
   */
  acceptsAttempt(outstanding: number, now: Millis): boolean {
    if (now < this.#backoffUntil || now < this.#ejectedUntil) {
      return false;
    }
    return !this.#onProbation || outstanding === 0;
  }

  /** Whether the executor is ejected or no attempt has succeeded since its ejection. */
  get isEjected(): boolean {
    return this.#onProbation;
  }

  /** Clock reading at which both the backoff and the ejection have ended. */
  get unavailableUntil(): Millis {
    return Math.max(this.#backoffUntil, this.#ejectedUntil);
  }

  recordSuccess(): void {
    this.#failureRatio *= 1 - NEWEST_ATTEMPT_WEIGHT;
    this.#consecutiveRefusals = 0;
    this.#consecutiveEjections = 0;
    this.#onProbation = false;
  }

  /** Backs off for a short time: the executor is full or no connection could be made. */
  recordRefusal(now: Millis): void {
    const backoff = Math.min(
      MAX_REFUSAL_BACKOFF_MS,
      INITIAL_REFUSAL_BACKOFF_MS * 2 ** this.#consecutiveRefusals,
    );
    this.#consecutiveRefusals += 1;
    this.#backoffUntil = now + backoff;
  }

  /**
   * Records a failure, and ejects the executor if its failure ratio is too high and `mayEject` is
   * set.
   */
  recordFailure(now: Millis, mayEject: boolean): void {
    this.#failureRatio += NEWEST_ATTEMPT_WEIGHT * (1 - this.#failureRatio);
    const exceedsLimit = this.#onProbation || this.#failureRatio > MAX_FAILURE_RATIO;
    if (exceedsLimit && (mayEject || this.#onProbation)) {
      this.#eject(now);
    }
  }

  #eject(now: Millis): void {
    if (now < this.#ejectedUntil) {
      return;
    }
    this.#ejectedUntil =
      now + Math.min(MAX_EJECTION_MS, INITIAL_EJECTION_MS * 2 ** this.#consecutiveEjections);
    this.#consecutiveEjections += 1;
    this.#onProbation = true;
  }
}
