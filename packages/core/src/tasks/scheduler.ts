import {
  WORK_CLASSES,
  type InstanceName,
  type Millis,
  type TaskId,
  type TeamName,
  type WorkClass,
} from '../types/index.js';
import { fitsIn } from './resource-arithmetic.js';
import type { LeaseManager } from './lease-manager.js';
import type { Resources, TaskRecord } from './model.js';
import { constraintKey } from './placement-index.js';
import type { PoolState } from './pool-state.js';
import type { WorkerReservations } from './worker-reservations.js';
import { isWaiting } from './task-store.js';
import type { WaitReasons } from './wait-reasons.js';

/** Maximum leases planned in one round, so that they fit in one log batch. */
const MAX_STARTS = 400;
/** Maximum workers reserved in one round. */
const MAX_RESERVATIONS = 50;
/**
 * Maximum searches for victims in one round for work that is not urgent. The teams farthest below
 * their shares come first; if they find nothing to preempt, the other teams find nothing either.
 */
const MAX_PREEMPTION_SEARCHES = 4;
/**
 * Log backlog at which no more leases are planned, since their checks would be outdated when sent.
 */
const MAX_BACKLOG = 500;
/** Number of tasks at the front of a lane that are tried, so that smaller ones can run ahead. */
const BACKFILL_DEPTH = 4;
/** Age of a lane's first task at which tasks behind it may no longer run ahead of it. */
const BACKFILL_MAX_AGE_MS = 10_000;
/** Maximum time before parked teams are tried again. */
const UNPARK_INTERVAL_MS = 500;
/** Minimum fraction of starts that goes to waiting archive work, as for requests. */
const ARCHIVE_MIN_FRACTION = 0.05;

type ServeResult = 'started' | 'reserved' | 'blocked';

/** Sizes that fit on no worker in this round, by constraints and need for accelerators. */
type FailedSizes = Map<string, Resources[]>;

/** Starts waiting tasks, urgent ones first, then by share, and reserves workers for large ones. */
export class Scheduler {
  readonly #state: PoolState;
  readonly #leaseManager: LeaseManager;
  readonly #reservations: WorkerReservations;
  readonly #waits: WaitReasons;
  #lastTableVersion = -1;
  #unparkAt: Millis = 0;
  #archiveDebt = 0;
  #startBudget = 0;
  #reservationBudget = 0;
  #searchBudget = 0;
  #failedSizes: FailedSizes = new Map();

  constructor(
    state: PoolState,
    leaseManager: LeaseManager,
    reservations: WorkerReservations,
    waits: WaitReasons,
  ) {
    this.#state = state;
    this.#leaseManager = leaseManager;
    this.#reservations = reservations;
    this.#waits = waits;
  }

  run(now: Millis): void {
    const { gate, log, health } = this.#state;
    this.#reservations.tick(now);
    health.tick(now);
    if (!gate.mayStart(now) || log.backlog >= MAX_BACKLOG) {
      return;
    }
    this.#startBudget = MAX_STARTS;
    this.#reservationBudget = MAX_RESERVATIONS;
    this.#searchBudget = MAX_PREEMPTION_SEARCHES;
    this.#failedSizes = new Map();
    this.#unparkIfDue(now);
    this.#startReserved(now);
    this.#startProbes(now);
    this.#serveArchiveMinimum(now);
    for (const workClass of WORK_CLASSES) {
      this.#serve(workClass, MAX_STARTS, now);
    }
  }

  #unparkIfDue(now: Millis): void {
    const { table, queues } = this.#state;
    if (table.version !== this.#lastTableVersion || now >= this.#unparkAt) {
      queues.unparkAll();
      this.#lastTableVersion = table.version;
      this.#unparkAt = now + UNPARK_INTERVAL_MS;
    }
  }

  /** Starts tasks that now fit on their reserved worker. */
  #startReserved(now: Millis): void {
    for (const id of this.#reservations.reservedTasks()) {
      const record = this.#state.log.get(id);
      if (record !== undefined) {
        this.#startOn(record, this.#reservations.reservedWorker(id), now);
      }
    }
  }

  /** Starts an idempotent task on each idle worker that is due for a probe, before other tasks. */
  #startProbes(now: Millis): void {
    const { health, table } = this.#state;
    for (const worker of health.probing) {
      const view = table.get(worker);
      if (view?.tasks === 0 && table.isSchedulable(worker, 'probing')) {
        const record = this.#findProbeTask(worker, view.capacity);
        if (record !== undefined) {
          this.#startOn(record, worker, now);
        }
      }
    }
  }

  #findProbeTask(worker: InstanceName, capacity: Resources): TaskRecord | undefined {
    const { queues, log, table, placement } = this.#state;
    for (const workClass of ['archive', 'normal'] as const) {
      const team = queues.firstTeam(workClass);
      const ids = team === undefined ? [] : queues.heads(workClass, team, BACKFILL_DEPTH).flat();
      for (const id of ids) {
        const record = log.get(id);
        const eligible =
          record?.task.idempotent === true &&
          !record.failedOn.includes(worker) &&
          fitsIn(placement.expectedSize(record.task), capacity) &&
          table.index.matches(worker, record.task.constraints);
        if (eligible) {
          return record;
        }
      }
    }
    return undefined;
  }

  #serveArchiveMinimum(now: Millis): void {
    const due = Math.floor(this.#archiveDebt);
    if (due > 0) {
      this.#archiveDebt -= this.#serve('archive', due, now);
    }
    if (!this.#state.queues.hasWaiting('archive')) {
      this.#archiveDebt = 0;
    }
  }

  /** Starts up to `limit` tasks of one class and returns how many. */
  #serve(workClass: WorkClass, limit: number, now: Millis): number {
    const { queues } = this.#state;
    let started = 0;
    while (started < limit && this.#startBudget > 0) {
      const team = queues.firstTeam(workClass);
      if (team === undefined) {
        break;
      }
      const served = this.#serveTeam(workClass, team, now);
      started += served === 'started' ? 1 : 0;
      if (served === 'blocked') {
        queues.park(workClass, team);
      }
    }
    return started;
  }

  #serveTeam(workClass: WorkClass, team: TeamName, now: Millis): ServeResult {
    for (const lane of this.#state.queues.heads(workClass, team, BACKFILL_DEPTH)) {
      const served = this.#serveLane(lane, now);
      if (served !== 'blocked') {
        return served;
      }
    }
    return 'blocked';
  }

  #serveLane(ids: readonly TaskId[], now: Millis): ServeResult {
    for (const [position, id] of ids.entries()) {
      const record = this.#state.log.get(id);
      if (record === undefined) {
        continue;
      }
      const served = this.#tryStart(record, position === 0, now);
      if (served !== 'blocked') {
        return served;
      }
      const since = this.#state.queues.since(record.task) ?? now;
      if (position === 0 && now - since > BACKFILL_MAX_AGE_MS) {
        return 'blocked';
      }
    }
    return 'blocked';
  }

  #tryStart(record: TaskRecord, first: boolean, now: Millis): ServeResult {
    const { placement, ledger } = this.#state;
    const { task } = record;
    const size = placement.expectedSize(task);
    if (!ledger.mayStart(task.team, ledger.chargeFor(task.team, task.resources, size))) {
      this.#waits.set(task.id, 'team-allowance', now);
      return 'blocked';
    }
    const worker = this.#findWorker(record, size);
    if (worker !== undefined) {
      this.#start(record, worker, size, now);
      return 'started';
    }
    if (first) {
      return this.#reserveWorker(record, size, now);
    }
    this.#waits.set(task.id, 'capacity', now);
    return 'blocked';
  }

  #reserveWorker(record: TaskRecord, size: Resources, now: Millis): ServeResult {
    const { task } = record;
    if (this.#reservationBudget === 0 || !this.#maySearch(task.workClass)) {
      this.#waits.set(task.id, 'capacity', now);
      return 'blocked';
    }
    const since = this.#state.queues.since(task) ?? now;
    const worker = this.#reservations.reserve(record, size, since, now);
    this.#waits.set(task.id, worker === undefined ? 'capacity' : 'preemption', now);
    if (worker === undefined) {
      return 'blocked';
    }
    this.#reservationBudget -= 1;
    return this.#startOn(record, worker, now) ? 'started' : 'reserved';
  }

  #maySearch(workClass: WorkClass): boolean {
    if (workClass !== 'urgent') {
      this.#searchBudget -= 1;
    }
    return workClass === 'urgent' || this.#searchBudget >= 0;
  }

  #startOn(record: TaskRecord, worker: InstanceName | undefined, now: Millis): boolean {
    const { placement, ledger, table } = this.#state;
    const { task } = record;
    if (
      worker === undefined ||
      !isWaiting(record.state) ||
      !table.isSchedulable(worker, 'probing')
    ) {
      return false;
    }
    const size = placement.expectedSize(task);
    const charge = ledger.chargeFor(task.team, task.resources, size);
    if (!fitsIn(size, table.available(worker)) || !ledger.mayStart(task.team, charge)) {
      return false;
    }
    this.#reservations.release(task.id);
    this.#start(record, worker, size, now);
    return true;
  }

  #start(record: TaskRecord, worker: InstanceName, size: Resources, now: Millis): void {
    this.#leaseManager.plan(record, worker, size, now);
    this.#waits.clear(record.task.id);
    this.#startBudget -= 1;
    if (record.task.workClass !== 'archive') {
      this.#archiveDebt += ARCHIVE_MIN_FRACTION;
    }
  }

  /**
   * Skips the search if a task of the same constraints that is no larger did not fit in this round.
   */
  #findWorker(record: TaskRecord, size: Resources): InstanceName | undefined {
    const kind = size.accelerators > 0 ? 'accelerated' : 'plain';
    const key = `${kind} ${constraintKey(record.task.constraints)}`;
    const failed = this.#failedSizes.get(key) ?? [];
    if (failed.some((smaller) => fitsIn(smaller, size))) {
      return undefined;
    }
    const worker = this.#state.placement.findWorker(record, size);
    if (worker === undefined && record.failedOn.length === 0) {
      this.#failedSizes.set(key, [...failed, size]);
    }
    return worker;
  }
}
