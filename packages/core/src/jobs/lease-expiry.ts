import type { Millis } from '../types/index.js';
import type { ExecutorState, ExecutorTable } from './executor-table.js';
import { ProcessPauseDetector } from './process-pause-detector.js';
import type { RunReconciler } from './run-reconciler.js';
import type { Run, RunTable } from './run-table.js';

/** Covers the time from the sending of a poll to when it is carried out. */
const POLL_DELIVERY_MS: Millis = 700;
/** Covers the time from the decision to start a task to when the start is carried out, or given up. */
const START_DELIVERY_MS: Millis = 2_000;

/** How long runs may go on after a call that extends a lease, on this clock. */
export interface LeaseBounds {
  /** With the term that this owner asks for. */
  readonly termMs: Millis;
  /**
   * With any lease that an executor grants. Lease ends are times on its clock, which counts from its
   * start: an executor that has restarted takes those that were meant for its former process for
   * ends in the far future, and shortens them to the longest lease.
   */
  readonly longestMs: Millis;
}

export interface LeaseExpiryOptions {
  /** Monotonic time until which runs of earlier owners may go on. */
  readonly recoveryEndsAt: Millis;
  readonly leases: LeaseBounds;
}

/**
 * Drops the runs of executors that can't be heard and whose lease has ended, since they have stopped
 * them by themselves.
 */
export class LeaseExpiry {
  readonly #options: LeaseExpiryOptions;
  readonly #executors: ExecutorTable;
  readonly #runs: RunTable;
  readonly #reconciler: RunReconciler;
  readonly #pauseDetector = new ProcessPauseDetector();

  constructor(
    options: LeaseExpiryOptions,
    parts: {
      readonly executors: ExecutorTable;
      readonly runs: RunTable;
      readonly reconciler: RunReconciler;
    },
  ) {
    this.#options = options;
    this.#executors = parts.executors;
    this.#runs = parts.runs;
    this.#reconciler = parts.reconciler;
  }

  tick(now: Millis): void {
    if (this.#pauseDetector.tick(now)) {
      for (const state of [...this.#executors.all()]) {
        this.#expire(state, now);
      }
    }
  }

  /** A lease that this owner has not extended lasts as long as a former owner may have extended it. */
  #expire({ info, listed, leaseEndsAt }: ExecutorState, now: Millis): void {
    const endsAt = Math.max(leaseEndsAt, this.#options.recoveryEndsAt);
    if (endsAt > now) {
      return;
    }
    const remaining = this.#runs
      .at(info.id)
      .filter((run) => !run.listed && this.#unlistedEndsAt(run, leaseEndsAt) > now);
    this.#reconciler.dropAll(info.id, remaining);
    if (!listed && remaining.length === 0) {
      this.#executors.remove(info.id);
    }
  }

  /**
   * Time by which a run has ended that no report has listed. Its executor may have restarted before
   * the start, and nothing tells until it reports.
   */
  #unlistedEndsAt(run: Run, leaseEndsAt: Millis): Millis {
    const { termMs, longestMs } = this.#options.leases;
    const lastPolledAt = leaseEndsAt - termMs + POLL_DELIVERY_MS;
    return Math.max(lastPolledAt, startedBy(run)) + longestMs;
  }
}

/** Time by which a start has been carried out, unless that happens seconds late. */
function startedBy({ phase, orderedAt, confirmedAt }: Run): Millis {
  const timedOut = phase === 'unknown';
  return confirmedAt ?? (timedOut ? orderedAt : orderedAt + START_DELIVERY_MS);
}
