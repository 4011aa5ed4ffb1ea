import type { Millis } from '@turmerichoist/core';
import { WindowStats, type WindowSummary } from '@turmerichoist/runtime';

/**
 * `answered`: by the service. `rate-limited`: refused by the service because of its rate.
 * `unavailable`: refused by the service for another reason. `held-back`: not sent, because of the
 * own rate budget or backoff. `unanswered`: failed or timed out.
 */
export type StoreCallOutcome =
  'answered' | 'rate-limited' | 'unavailable' | 'held-back' | 'unanswered';

/**
 * One finished call to the store; `ms` includes the time it waited in this process and, of a `feed`
 * (a long poll for changes), the time that the store waited for one.
 */
export interface StoreCallRecord {
  readonly kind: 'read' | 'write' | 'feed';
  readonly outcome: StoreCallOutcome;
  readonly ms: Millis;
}

/** Told of each finished call. */
export interface StoreCallObserver {
  onCall(record: StoreCallRecord): void;
}

/** Calls of one kind in one period. `ms` covers answered calls only. */
export interface StoreCallSummary {
  readonly ms: WindowSummary;
  readonly rateLimited: number;
  readonly unavailable: number;
  readonly heldBack: number;
  readonly unanswered: number;
}

class KindStats {
  readonly #ms = new WindowStats();
  #counts = newCounts();

  add({ outcome, ms }: StoreCallRecord): void {
    if (outcome === 'answered') {
      this.#ms.add(ms);
    } else {
      this.#counts[outcome] += 1;
    }
  }

  take(): StoreCallSummary {
    const counts = this.#counts;
    this.#counts = newCounts();
    return {
      ms: this.#ms.take(),
      rateLimited: counts['rate-limited'],
      unavailable: counts.unavailable,
      heldBack: counts['held-back'],
      unanswered: counts.unanswered,
    };
  }
}

function newCounts(): Record<Exclude<StoreCallOutcome, 'answered'>, number> {
  return { 'rate-limited': 0, unavailable: 0, 'held-back': 0, unanswered: 0 };
}

/** Counts and times the calls of one process to the store, by period. */
export class StoreCallStats implements StoreCallObserver {
  readonly #kinds = { read: new KindStats(), write: new KindStats(), feed: new KindStats() };

  onCall(record: StoreCallRecord): void {
    this.#kinds[record.kind].add(record);
  }

  /** Returns the calls since the last call of this method. */
  take(): Readonly<Record<StoreCallRecord['kind'], StoreCallSummary>> {
    const { read, write, feed } = this.#kinds;
    return { read: read.take(), write: write.take(), feed: feed.take() };
  }
}
