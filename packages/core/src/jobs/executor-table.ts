import type { Resources } from '../tasks/model.js';
import type { Millis, PoolName } from '../types/index.js';
import { type ExecutorId, type ExecutorInfo } from './model.js';
import type { RunTable } from './run-table.js';
import type { SchedulingAgenda } from './scheduling-agenda.js';

/** Backoff after an executor has refused a start. */
const REFUSAL_BACKOFF_MS: Millis = 500;
/** Consecutive failed runs after which an executor gets no new tasks for a while. */
const MAX_FAILURE_STREAK = 2;
/** Backoff at that point; doubles with each further failure, `MAX_BACKOFF_DOUBLINGS` times. */
const FAILURE_BACKOFF_MS: Millis = 1_500;
const MAX_BACKOFF_DOUBLINGS = 3;
/** An executor that has not reported for this long counts as unresponsive. */
const UNRESPONSIVE_AFTER_MS: Millis = 2_500;

/** What the owner knows about one executor. */
export interface ExecutorState {
  readonly info: ExecutorInfo;
  /** Whether it is in the platform's latest list of executors. */
  readonly listed: boolean;
  /**
   * Whether a report to this owner has listed all its ended runs, so that the runs an earlier owner
   * left are known. It gets no new tasks before, whose ends would make its list longer.
   */
  readonly runsKnown: boolean;
  /** Monotonic time at which the poll of its latest report was sent. */
  readonly lastReportAt: Millis | undefined;
  /** Monotonic time at which this process received its latest report. */
  readonly lastReceivedAt: Millis;
  /** Monotonic time by which all its runs have ended unless the lease is extended. */
  readonly leaseEndsAt: Millis;
  /** Highest sequence number of its ended runs that has been handled. */
  readonly lastEndSeq: number;
  /** Monotonic time before which it gets no new tasks. */
  readonly backoffUntil: Millis;
  /** Monotonic time after which a poll must be sent and answered to show that it answers calls. */
  readonly lastUnansweredAt: Millis;
  /** Consecutive failed runs. */
  readonly failureStreak: number;
  /** Its instance has been ordered to shut down, and no later list confirms the effect yet. */
  readonly shutdownPending: boolean;
  /** Its instance is in an unfinished maintenance wave, which will end its runs. */
  readonly maintenanceDue: boolean;
  /** Gets no new tasks because its instance is about to be maintained or moved. */
  readonly cordoned: boolean;
}

/** Fields on which it depends, together with the time, whether new tasks may be placed there. */
type ContactField = 'runsKnown' | 'lastReportAt' | 'lastReceivedAt' | 'leaseEndsAt' | 'lastEndSeq';
type ExecutorChange = Partial<Omit<ExecutorState, ContactField | TimingField>>;
type TimingField = 'backoffUntil' | 'lastUnansweredAt' | 'failureStreak';

/** All executors that the platform lists or that may still have runs. */
export class ExecutorTable {
  readonly #runs: RunTable;
  readonly #agenda: SchedulingAgenda;
  readonly #states = new Map<ExecutorId, ExecutorState>();
  /** Descriptions as `infos` returned them, until the list or one of them changes. */
  #infos: readonly ExecutorInfo[] | undefined;
  /** Executors by pool as `ofPool` found them, until the list or a description changes. */
  readonly #idsByPool = new Map<PoolName, readonly ExecutorId[]>();

  constructor(runs: RunTable, agenda: SchedulingAgenda) {
    this.#runs = runs;
    this.#agenda = agenda;
  }

  get(id: ExecutorId): ExecutorState | undefined {
    return this.#states.get(id);
  }

  all(): Iterable<ExecutorState> {
    return this.#states.values();
  }

  /** Descriptions of all executors. */
  get infos(): readonly ExecutorInfo[] {
    return (this.#infos ??= [...this.#states.values()].map(({ info }) => info));
  }

  ofPool(pool: PoolName): readonly ExecutorState[] {
    const ids = this.#idsByPool.get(pool) ?? this.#findIds(pool);
    return ids.map((id) => this.#states.get(id)).filter((state) => state !== undefined);
  }

  #findIds(pool: PoolName): readonly ExecutorId[] {
    const states = [...this.#states.values()].filter(({ info }) => info.pool === pool);
    const ids = states.map(({ info }) => info.id);
    this.#idsByPool.set(pool, ids);
    return ids;
  }

  add(info: ExecutorInfo, now: Millis): void {
    this.#forgetLists();
    this.#states.set(info.id, {
      info,
      listed: true,
      runsKnown: false,
      lastReportAt: undefined,
      lastReceivedAt: -Infinity,
      leaseEndsAt: now,
      lastEndSeq: 0,
      backoffUntil: 0,
      lastUnansweredAt: -Infinity,
      failureStreak: 0,
      shutdownPending: false,
      maintenanceDue: false,
      cordoned: false,
    });
  }

  update(id: ExecutorId, change: ExecutorChange): void {
    const state = this.#states.get(id);
    if (state === undefined) {
      return;
    }
    this.#states.set(id, { ...state, ...change });
    if (change.info !== undefined) {
      this.#forgetLists();
    }
    if (mayAllowStarts(state, change)) {
      const { pool } = change.info ?? state.info;
      this.#agenda.mark(pool);
      this.#agenda.wakeAt(pool, state.backoffUntil);
    }
  }

  /** Updates what a poll of the executor shows or changes. A lease is never shortened. */
  updateContact(
    id: ExecutorId,
    change: Partial<Pick<ExecutorState, ContactField>>,
    now: Millis,
  ): void {
    const state = this.#states.get(id);
    if (state === undefined) {
      return;
    }
    const leaseEndsAt = Math.max(state.leaseEndsAt, change.leaseEndsAt ?? -Infinity);
    const updated = { ...state, ...change, leaseEndsAt };
    this.#states.set(id, updated);
    if (!this.isSchedulable(state, now) && this.isSchedulable(updated, now)) {
      this.#agenda.mark(state.info.pool);
    }
  }

  remove(id: ExecutorId): void {
    this.#states.delete(id);
    this.#forgetLists();
  }

  /**
   * Records an unanswered call: the executor gets no new tasks until it answers a poll that was sent
   * after `at`. One that has answered a poll sent after a lost one goes on getting tasks.
   */
  unanswered(id: ExecutorId, at: Millis): void {
    const state = this.#states.get(id);
    if (state !== undefined) {
      const lastUnansweredAt = Math.max(state.lastUnansweredAt, at);
      this.#states.set(id, { ...state, lastUnansweredAt });
    }
  }

  /** Records a refused start and begins the backoff. */
  refused(id: ExecutorId, now: Millis): void {
    const state = this.#states.get(id);
    if (state !== undefined) {
      this.#setBackoff(state, state.failureStreak, now + REFUSAL_BACKOFF_MS);
    }
  }

  /** Records the end of a run; consecutive failures begin a backoff that grows exponentially. */
  ended(id: ExecutorId, failed: boolean, now: Millis): void {
    const state = this.#states.get(id);
    if (state === undefined || (!failed && state.failureStreak === 0)) {
      return;
    }
    const failureStreak = failed ? state.failureStreak + 1 : 0;
    const excess = failureStreak - MAX_FAILURE_STREAK;
    const backoffMs =
      excess < 0 ? 0 : FAILURE_BACKOFF_MS * 2 ** Math.min(excess, MAX_BACKOFF_DOUBLINGS);
    this.#setBackoff(state, failureStreak, Math.max(state.backoffUntil, now + backoffMs));
  }

  #forgetLists(): void {
    this.#infos = undefined;
    this.#idsByPool.clear();
  }

  #setBackoff(state: ExecutorState, failureStreak: number, backoffUntil: Millis): void {
    this.#states.set(state.info.id, { ...state, failureStreak, backoffUntil });
    this.#agenda.wakeAt(state.info.pool, backoffUntil);
  }

  /** Capacity that is not taken by any run. */
  freeCapacity(state: ExecutorState): Resources {
    return this.#runs.freeCapacity(state.info.id, state.info.capacity);
  }

  /** Whether what its latest report says is recent and no call has gone unanswered since. */
  isResponsive(state: ExecutorState, now: Millis): boolean {
    const sentAt = state.lastReportAt ?? -Infinity;
    return now - sentAt <= UNRESPONSIVE_AFTER_MS && this.#answersCalls(state);
  }

  #answersCalls({ lastReportAt, lastUnansweredAt }: ExecutorState): boolean {
    return lastReportAt !== undefined && lastReportAt >= lastUnansweredAt;
  }

  /**
   * Whether new tasks may be placed there. Does not check whether its zone is out of service. Counts
   * from when a report was received: the time of its poll, and for which it waited for an owner that
   * is behind, says nothing about the executor.
   */
  isSchedulable(state: ExecutorState, now: Millis): boolean {
    const { info, listed, runsKnown, backoffUntil, cordoned, leaseEndsAt } = state;
    const heardRecently = now - state.lastReceivedAt <= UNRESPONSIVE_AFTER_MS;
    return (
      listed &&
      runsKnown &&
      !info.draining &&
      !cordoned &&
      backoffUntil <= now &&
      leaseEndsAt > now &&
      heardRecently &&
      this.#answersCalls(state)
    );
  }
}

/** Whether a change may make an executor schedulable, whatever the time is. */
function mayAllowStarts(state: ExecutorState, change: ExecutorChange): boolean {
  return (
    (change.listed === true && !state.listed) ||
    (change.cordoned === false && state.cordoned) ||
    (change.info !== undefined && change.info !== state.info)
  );
}
