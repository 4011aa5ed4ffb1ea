import { type AppError, Ok, type Result, fail } from '../errors/index.js';
import { MAX_WORK_MS } from '../resources/index.js';
import type { Millis } from '../types/index.js';

/** Time for which a key is retained after its request ended. */
export const IDEMPOTENCY_WINDOW_MS = 600_000;
/** Maximum number of keys. At 100 bytes each, the table stays below 10 MB. */
const IDEMPOTENCY_CAPACITY = 100_000;
/** A claim not settled within this time counts as done, since requests end within `MAX_WORK_MS`. */
const MAX_CLAIM_MS = 2 * MAX_WORK_MS;

/** Running and recently completed idempotency keys whose home is this entry. */
export class IdempotencyTable {
  readonly #capacity: number;
  // Both maps are in insertion order, which is the order of their times: the oldest keys come
  // first.
  readonly #running = new Map<string, Millis>();
  readonly #done = new Map<string, Millis>();

  constructor(capacity = IDEMPOTENCY_CAPACITY) {
    this.#capacity = capacity;
  }

  get size(): number {
    return this.#running.size + this.#done.size;
  }

  /**
   * Reserves a key for one request. Fails with `idempotency-running` or `idempotency-done`, and
   * with `idempotency-unavailable` if the table is full: evicting a key early could let a request
   * run twice.
   */
  claim(key: string, now: Millis): Result<void, AppError> {
    this.#expire(now);
    if (this.#running.has(key)) {
      return fail('idempotency-running');
    }
    if (this.#done.has(key)) {
      return fail('idempotency-done');
    }
    if (this.size >= this.#capacity) {
      return fail(
        'idempotency-unavailable',
        'the idempotency table is full',
        this.#timeUntilRoom(now),
      );
    }
    this.#running.set(key, now);
    return Ok(undefined);
  }

  /** Ends a claim. A key whose request did not run can be claimed again at once. */
  settle(key: string, mayHaveRun: boolean, now: Millis): void {
    if (this.#running.delete(key) && mayHaveRun) {
      this.#done.set(key, now);
    }
  }

  #expire(now: Millis): void {
    for (const key of olderThan(this.#running, now - MAX_CLAIM_MS)) {
      this.settle(key, true, now);
    }
    for (const key of olderThan(this.#done, now - IDEMPOTENCY_WINDOW_MS)) {
      this.#done.delete(key);
    }
  }

  #timeUntilRoom(now: Millis): Millis | undefined {
    for (const doneAt of this.#done.values()) {
      return doneAt + IDEMPOTENCY_WINDOW_MS - now;
    }
    return undefined;
  }
}

function* olderThan(keys: ReadonlyMap<string, Millis>, limit: Millis): Generator<string> {
  for (const [key, at] of keys) {
    if (at > limit) {
      return;
    }
    yield key;
  }
}
