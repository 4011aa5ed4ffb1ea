import type { InstanceName, Millis } from '../types/index.js';
import { larger, subtract, NOTHING, fitsIn } from './amounts.js';
import type { Lease } from './lease-book.js';
import type { LeaseKeeper } from './lease-keeper.js';
import type { FinishedTask, LeaseResult, RunningTask, WorkerReport } from './messages.js';
import { compareFences, isFinal } from './model.js';
import type { OverloadGuard } from './overload-guard.js';
import type { PoolState } from './pool-state.js';
import type { StopOrders } from './stop-orders.js';
import { sameFence } from './task-store.js';

/** Distinct workers in good standing on which a task may fail before it is given up. */
const MAX_FAILED_WORKERS = 3;
/** The same for all workers, so that a task does not tour the faulty ones for ever. */
const MAX_FAILED_ANYWHERE = 6;
/** Time after which an order to stop a cancelled task is repeated while the task still runs. */
const STOP_AGAIN_MS = 1_000;

interface Seen {
  readonly incarnation: string;
  readonly requestedAt: Millis;
  /** Position up to which its finished tasks are known; infinite when some were missed. */
  readonly cursor: number;
}

/** Follows what workers say about their tasks. Reports may be late, doubled or lost. */
export class ReportHandler {
  readonly #state: PoolState;
  readonly #keeper: LeaseKeeper;
  readonly #stops: StopOrders;
  readonly #guard: OverloadGuard;
  readonly #seen = new Map<InstanceName, Seen>();

  constructor(state: PoolState, keeper: LeaseKeeper, stops: StopOrders, guard: OverloadGuard) {
    this.#state = state;
    this.#keeper = keeper;
    this.#stops = stops;
    this.#guard = guard;
  }

  report(report: WorkerReport, now: Millis): void {
    const { worker, incarnation, clockMs, requestedAt } = report;
    const seen = this.#seen.get(worker);
    if (this.#state.table.get(worker) === undefined) {
      return;
    }
    for (const task of report.finished) {
      this.#finished(worker, task, now);
    }
    if (seen !== undefined && requestedAt <= seen.requestedAt) {
      return;
    }
    this.#remember(report, seen);
    this.#state.table.setAnchor(worker, { incarnation, clockMs, receivedAt: now });
    this.#clearHolds(report);
    if (seen !== undefined && seen.incarnation !== incarnation) {
      this.#endFormerRuns(worker, incarnation, now);
    }
    for (const task of report.running) {
      this.#running(report, task, now);
    }
    this.#endAbsent(report, now);
    this.#guard.check(report, now);
  }

  unreachable(worker: InstanceName): void {
    this.#state.table.setHold(worker, 'unreachable', true);
  }

  leaseResults(worker: InstanceName, results: readonly LeaseResult[], now: Millis): void {
    for (const { id, fence, reply } of results) {
      const lease = this.#state.book.get(id);
      const current = lease !== undefined && sameFence(lease.fence, fence);
      if (!current || lease.phase !== 'sent') {
        continue;
      }
      if (reply === 'accepted') {
        this.#keeper.running(lease, lease.incarnation ?? '', now);
      } else if (reply !== 'unknown') {
        // No new orders until the next report shows what made the worker refuse.
        this.#state.table.setHold(worker, 'paused', true);
        this.#keeper.giveBack(lease, 'not-started', now);
      }
    }
  }

  #remember({ worker, incarnation, requestedAt, after, cursor }: WorkerReport, seen?: Seen): void {
    const known = seen?.incarnation === incarnation ? seen.cursor : 0;
    const next = after > known ? Infinity : Math.max(known, cursor);
    this.#seen.set(worker, { incarnation, requestedAt, cursor: next });
  }

  #clearHolds({ worker, draining }: WorkerReport): void {
    const { table } = this.#state;
    table.setHold(worker, 'unreachable', false);
    table.setHold(worker, 'paused', false);
    table.setHold(worker, 'draining', draining);
  }

  /** A restart ends every run of the former process, and orders meant for it are refused. */
  #endFormerRuns(worker: InstanceName, incarnation: string, now: Millis): void {
    for (const lease of this.#state.book.onWorker(worker)) {
      if (lease.phase !== 'planned' && lease.incarnation !== incarnation) {
        this.#keeper.lost(lease, now);
      }
    }
  }

  #running(report: WorkerReport, task: RunningTask, now: Millis): void {
    const lease = this.#state.book.get(task.id);
    if (lease === undefined || !sameFence(lease.fence, task.fence)) {
      this.#stopStray(report.worker, task, lease, now);
      return;
    }
    this.#keeper.running(lease, report.incarnation, now);
    this.#stopCancelled(task, now);
    if (task.runMs > report.lagMs) {
      this.#growTo(lease, task);
    }
  }

  /** A run that is not the task's lease, such as one that a former owner's order started. */
  #stopStray(worker: InstanceName, task: RunningTask, lease: Lease | undefined, now: Millis): void {
    const record = this.#state.log.get(task.id);
    const outdated = lease !== undefined && compareFences(task.fence, lease.fence) < 0;
    const ended = record === undefined || isFinal(record.state) || lease === undefined;
    if (outdated || ended) {
      this.#stops.stopStray(worker, task.id, task.fence, now);
    }
  }

  #stopCancelled(task: RunningTask, now: Millis): void {
    const lease = this.#state.book.get(task.id);
    const cancelled = this.#state.log.get(task.id)?.cancelRequested === true;
    const asked = lease?.stopping?.mode === 'stop' && now - lease.stopping.at < STOP_AGAIN_MS;
    if (lease !== undefined && cancelled && !asked) {
      this.#stops.stop(lease, 'cancelled', now);
    }
  }

  /** A task that uses more than was expected occupies what it uses. */
  #growTo(known: Lease, task: RunningTask): void {
    const lease = this.#state.book.get(task.id) ?? known;
    if (lease.throttled !== undefined) {
      return;
    }
    const size = larger(lease.size, this.#state.estimator.bounded(lease.task, task));
    const charge = larger(lease.charge, size);
    if (!fitsIn(subtract(size, lease.size), NOTHING)) {
      this.#keeper.resize(lease, size, charge);
    }
  }

  #finished(worker: InstanceName, run: FinishedTask, now: Millis): void {
    const lease = this.#state.book.get(run.id);
    const current = lease !== undefined && sameFence(lease.fence, run.fence);
    if (!current || lease.phase === 'planned') {
      return;
    }
    this.#guard.forget(run.id);
    switch (run.outcome) {
      case 'succeeded':
        this.#state.estimator.learn(lease.task, run, lease.throttled !== undefined);
        this.#state.health.succeeded(worker, lease.task);
        this.#keeper.end(lease, 'finished', run.detail);
        return;
      case 'failed':
        this.#failed(worker, lease, run, now);
        return;
      case 'checkpointed':
        this.#keeper.giveBack(lease, 'checkpointed', now);
        return;
      case 'stopped':
        this.#stopped(lease, run, now);
        return;
    }
  }

  #failed(worker: InstanceName, lease: Lease, run: FinishedTask, now: Millis): void {
    const { health, log, placement } = this.#state;
    health.failed(worker, lease.task, now);
    if (!lease.task.idempotent) {
      this.#keeper.end(lease, 'failed', `failed on ${worker}: ${run.detail}`);
      return;
    }
    this.#keeper.giveBack(lease, 'failed', now);
    const record = log.get(lease.task.id);
    if (record === undefined || isFinal(record.state)) {
      return;
    }
    const blamed = record.failedOn.filter((name) => !health.isSetAside(name));
    const givenUp =
      blamed.length >= MAX_FAILED_WORKERS ||
      record.failedOn.length >= MAX_FAILED_ANYWHERE ||
      !placement.hasUntried(record);
    if (givenUp) {
      this.#state.queues.remove(record.task);
      const detail = `failed on ${record.failedOn.join(', ')}: ${run.detail}`;
      log.write({ type: 'ended', id: record.task.id, state: 'failed', detail });
    }
  }

  #stopped(lease: Lease, run: FinishedTask, now: Millis): void {
    const cancelled = this.#state.log.get(lease.task.id)?.cancelRequested === true;
    if (lease.task.idempotent || cancelled) {
      this.#keeper.giveBack(lease, 'stopped', now);
    } else {
      this.#keeper.end(lease, 'unknown', `stopped on ${lease.worker}: ${run.detail}`);
    }
  }

  /**
   * Ends leases that the worker no longer has. Once the worker's clock has passed the last moment at
   * which the order was valid, a task that it neither runs nor reports as finished can't start there.
   * If some of its finished tasks were missed, the task may have run.
   */
  #endAbsent(report: WorkerReport, now: Millis): void {
    const complete = this.#seen.get(report.worker)?.cursor !== Infinity;
    const present = new Set(report.running.map(({ id }) => id));
    for (const lease of this.#state.book.onWorker(report.worker)) {
      const { startsBeforeMs } = lease;
      const settled = startsBeforeMs !== undefined && report.clockMs > startsBeforeMs;
      if (!settled || lease.phase === 'planned' || present.has(lease.task.id)) {
        continue;
      }
      if (lease.phase === 'sent' && complete) {
        this.#keeper.giveBack(lease, 'not-started', now);
      } else {
        this.#keeper.lost(lease, now);
      }
    }
  }
}
