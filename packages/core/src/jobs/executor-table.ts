import { subtract } from '../tasks/amounts.js';
import type { Resources } from '../tasks/model.js';
import type { Millis, PoolName } from '../types/index.js';
import { type ExecutorId, type ExecutorInfo } from './model.js';
import type { RunTable } from './run-table.js';

/** Pause before an executor that refused an order gets another one. */
const REFUSAL_PAUSE_MS: Millis = 500;
/** Failed runs in a row after which an executor is left alone. */
const MAX_FAILURE_STREAK = 2;
const FAILURE_PAUSE_MS: Millis = 1_500;
const MAX_PAUSE_DOUBLINGS = 3;
/** An executor that has not reported for this long counts as silent. */
const SILENT_AFTER_MS: Millis = 2_500;

/** What the owner knows about one executor. */
export interface ExecutorState {
  readonly info: ExecutorInfo;
  /** Whether the platform still lists it. */
  readonly listed: boolean;
  /** Whether it has reported under this owner's fencing token. */
  readonly accounted: boolean;
  readonly lastReportAt: Millis | undefined;
  /** Own clock at which everything that runs there has ended unless its lease is extended. */
  readonly leaseEndsAt: Millis;
  /** Highest sequence number of its ends that was handled. */
  readonly endsSeen: number;
  readonly pausedUntil: Millis;
  /** Own clock of the latest call that it did not answer. */
  readonly unansweredAt: Millis;
  /** Runs that failed there since the last one that did not. */
  readonly failureStreak: number;
  /** Its instance has been ordered down; whether it has gone down is not seen yet. */
  readonly ending: boolean;
  /** Its instance will be maintained, which ends what runs there. */
  readonly maintenanceDue: boolean;
  /** Gets no new tasks because its instance is about to be maintained or moved. */
  readonly cordoned: boolean;
}

type Change = Partial<Omit<ExecutorState, 'info'>> & { readonly info?: ExecutorInfo };

/** All executors that are listed or may still run something. */
export class ExecutorTable {
  readonly #runs: RunTable;
  readonly #states = new Map<ExecutorId, ExecutorState>();

  constructor(runs: RunTable) {
    this.#runs = runs;
  }

  get(id: ExecutorId): ExecutorState | undefined {
    return this.#states.get(id);
  }

  all(): Iterable<ExecutorState> {
    return this.#states.values();
  }

  ofPool(pool: PoolName): readonly ExecutorState[] {
    return [...this.#states.values()].filter(({ info }) => info.pool === pool);
  }

  add(info: ExecutorInfo, now: Millis): void {
    this.#states.set(info.id, {
      info,
      listed: true,
      accounted: false,
      lastReportAt: undefined,
      leaseEndsAt: now,
      endsSeen: 0,
      pausedUntil: 0,
      unansweredAt: -Infinity,
      failureStreak: 0,
      ending: false,
      maintenanceDue: false,
      cordoned: false,
    });
  }

  update(id: ExecutorId, change: Change): void {
    const state = this.#states.get(id);
    if (state !== undefined) {
      this.#states.set(id, { ...state, ...change });
    }
  }

  remove(id: ExecutorId): void {
    this.#states.delete(id);
  }

  /** It did not answer a call, so it gets no new tasks until it has answered a later look. */
  unanswered(id: ExecutorId, now: Millis): void {
    this.update(id, { unansweredAt: now });
  }

  /** It refused an order. */
  refused(id: ExecutorId, now: Millis): void {
    this.update(id, { pausedUntil: now + REFUSAL_PAUSE_MS });
  }

  /** A run ended there; executors that fail one run after the other are left alone for a while. */
  ended(id: ExecutorId, failed: boolean, now: Millis): void {
    const state = this.#states.get(id);
    if (state === undefined || (!failed && state.failureStreak === 0)) {
      return;
    }
    const failureStreak = failed ? state.failureStreak + 1 : 0;
    const excess = failureStreak - MAX_FAILURE_STREAK;
    const pause = excess < 0 ? 0 : FAILURE_PAUSE_MS * 2 ** Math.min(excess, MAX_PAUSE_DOUBLINGS);
    this.update(id, { failureStreak, pausedUntil: Math.max(state.pausedUntil, now + pause) });
  }

  /** Capacity that no run takes. */
  free(state: ExecutorState): Resources {
    return this.#runs
      .at(state.info.id)
      .reduce((free, run) => subtract(free, run.footprint), state.info.capacity);
  }

  /** Whether it has answered lately, and every call since it last reported. */
  isResponsive({ lastReportAt, unansweredAt }: ExecutorState, now: Millis): boolean {
    return (
      lastReportAt !== undefined &&
      lastReportAt >= unansweredAt &&
      now - lastReportAt <= SILENT_AFTER_MS
    );
  }

  /** Whether new tasks may be sent to the executor, apart from zones that are out of service. */
  usable(state: ExecutorState, now: Millis): boolean {
    const { info, listed, accounted, pausedUntil, cordoned, leaseEndsAt } = state;
    return (
      listed &&
      accounted &&
      !info.draining &&
      !cordoned &&
      pausedUntil <= now &&
      leaseEndsAt > now &&
      this.isResponsive(state, now)
    );
  }
}
