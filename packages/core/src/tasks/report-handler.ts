import type { InstanceName, Millis } from '../types/index.js';
import { maxResources, subtract, NO_RESOURCES, fitsIn } from './resource-arithmetic.js';
import type { Lease } from './lease-table.js';
import type { LeaseManager } from './lease-manager.js';
import type { FinishedTask, LeaseResult, RunningTask, WorkerReport } from './messages.js';
import { compareFences, isFinal } from './model.js';
import type { OverloadGuard } from './overload-guard.js';
import type { PoolState } from './pool-state.js';
import type { StopOrders } from './stop-orders.js';
import { sameFence } from './task-store.js';

/** Distinct workers, apart from quarantined ones, on whose failures a task ends as failed. */
const MAX_FAILED_WORKERS = 3;
/** The same limit over all workers, so that a task is not retried on faulty ones indefinitely. */
const MAX_FAILED_WORKERS_TOTAL = 6;
/** Interval at which the stop order of a cancelled task is repeated while the task still runs. */
const STOP_RETRY_MS = 1_000;

interface LastReport {
  readonly incarnation: string;
  readonly requestedAt: Millis;
  /** Position up to which the worker's finished tasks are known; `Infinity` if some were missed. */
  readonly cursor: number;
}

/** Applies worker reports and lease replies. Reports may be delayed, duplicated or lost. */
export class ReportHandler {
  readonly #state: PoolState;
  readonly #leaseManager: LeaseManager;
  readonly #stops: StopOrders;
  readonly #guard: OverloadGuard;
  readonly #lastReports = new Map<InstanceName, LastReport>();

  constructor(
    state: PoolState,
    leaseManager: LeaseManager,
    stops: StopOrders,
    guard: OverloadGuard,
  ) {
    this.#state = state;
    this.#leaseManager = leaseManager;
    this.#stops = stops;
    this.#guard = guard;
  }

  handleReport(report: WorkerReport, now: Millis): void {
    const { worker, incarnation, clockMs, requestedAt } = report;
    const last = this.#lastReports.get(worker);
    if (this.#state.table.get(worker) === undefined) {
      return;
    }
    for (const task of report.finished) {
      this.#handleFinished(worker, task, now);
    }
    if (last !== undefined && requestedAt <= last.requestedAt) {
      return;
    }
    this.#updateLastReport(report, last);
    this.#state.table.setAnchor(worker, { incarnation, clockMs, receivedAt: now });
    this.#clearHolds(report);
    if (last !== undefined && last.incarnation !== incarnation) {
      this.#endRunsOfFormerProcess(worker, incarnation, now);
    }
    for (const task of report.running) {
      this.#handleRunning(report, task, now);
    }
    this.#endMissingLeases(report, now);
    this.#guard.check(report, now);
  }

  markUnreachable(worker: InstanceName): void {
    this.#state.table.setHold(worker, 'unreachable', true);
  }

  handleLeaseResults(worker: InstanceName, results: readonly LeaseResult[], now: Millis): void {
    for (const { id, fence, reply } of results) {
      const lease = this.#state.leaseTable.get(id);
      const current = lease !== undefined && sameFence(lease.fence, fence);
      if (!current || lease.phase !== 'sent') {
        continue;
      }
      if (reply === 'accepted') {
        this.#leaseManager.markRunning(lease, lease.incarnation ?? '', now);
      } else if (reply !== 'unknown') {
        // Sends no new orders until the next report shows why the worker refused this one.
        this.#state.table.setHold(worker, 'paused', true);
        this.#leaseManager.requeue(lease, 'not-started', now);
      }
    }
  }

  #updateLastReport(
    { worker, incarnation, requestedAt, after, cursor }: WorkerReport,
    last?: LastReport,
  ): void {
    const known = last?.incarnation === incarnation ? last.cursor : 0;
    const next = after > known ? Infinity : Math.max(known, cursor);
    this.#lastReports.set(worker, { incarnation, requestedAt, cursor: next });
  }

  #clearHolds({ worker, draining }: WorkerReport): void {
    const { table } = this.#state;
    table.setHold(worker, 'unreachable', false);
    table.setHold(worker, 'paused', false);
    table.setHold(worker, 'draining', draining);
  }

  /** Ends the leases of the former process. Its runs are lost, and its orders are now refused. */
  #endRunsOfFormerProcess(worker: InstanceName, incarnation: string, now: Millis): void {
    for (const lease of this.#state.leaseTable.onWorker(worker)) {
      if (lease.phase !== 'planned' && lease.incarnation !== incarnation) {
        this.#leaseManager.resolveLost(lease, now);
      }
    }
  }

  #handleRunning(report: WorkerReport, task: RunningTask, now: Millis): void {
    const lease = this.#state.leaseTable.get(task.id);
    if (lease === undefined || !sameFence(lease.fence, task.fence)) {
      this.#stopIfOrphaned(report.worker, task, lease, now);
      return;
    }
    this.#leaseManager.markRunning(lease, report.incarnation, now);
    this.#stopCancelled(task, now);
    if (task.runMs > report.lagMs) {
      this.#growToUsage(lease, task);
    }
  }

  /**
   * Stops a run that does not belong to the task's lease, such as one started by a former owner.
   */
  #stopIfOrphaned(
    worker: InstanceName,
    task: RunningTask,
    lease: Lease | undefined,
    now: Millis,
  ): void {
    const record = this.#state.log.get(task.id);
    const outdated = lease !== undefined && compareFences(task.fence, lease.fence) < 0;
    const ended = record === undefined || isFinal(record.state) || lease === undefined;
    if (outdated || ended) {
      this.#stops.stopOrphan(worker, task.id, task.fence, now);
    }
  }

  #stopCancelled(task: RunningTask, now: Millis): void {
    const lease = this.#state.leaseTable.get(task.id);
    const cancelled = this.#state.log.get(task.id)?.cancelRequested === true;
    const asked = lease?.stopping?.mode === 'stop' && now - lease.stopping.at < STOP_RETRY_MS;
    if (lease !== undefined && cancelled && !asked) {
      this.#stops.stop(lease, 'cancelled', now);
    }
  }

  /** Raises the size of a task that uses more than expected. */
  #growToUsage(known: Lease, task: RunningTask): void {
    const lease = this.#state.leaseTable.get(task.id) ?? known;
    if (lease.throttled !== undefined) {
      return;
    }
    const size = maxResources(lease.size, this.#state.estimator.clampUsage(lease.task, task));
    const charge = maxResources(lease.charge, size);
    if (!fitsIn(subtract(size, lease.size), NO_RESOURCES)) {
      this.#leaseManager.resize(lease, size, charge);
    }
  }

  #handleFinished(worker: InstanceName, run: FinishedTask, now: Millis): void {
    const lease = this.#state.leaseTable.get(run.id);
    const current = lease !== undefined && sameFence(lease.fence, run.fence);
    if (!current || lease.phase === 'planned') {
      return;
    }
    this.#guard.clear(run.id);
    switch (run.outcome) {
      case 'succeeded':
        this.#state.estimator.learn(lease.task, run, lease.throttled !== undefined);
        this.#state.health.succeeded(worker, lease.task);
        this.#leaseManager.endTask(lease, 'finished', run.detail);
        return;
      case 'failed':
        this.#handleFailed(worker, lease, run, now);
        return;
      case 'checkpointed':
        this.#leaseManager.requeue(lease, 'checkpointed', now);
        return;
      case 'stopped':
        this.#handleStopped(lease, run, now);
        return;
    }
  }

  #handleFailed(worker: InstanceName, lease: Lease, run: FinishedTask, now: Millis): void {
    const { health, log, placement } = this.#state;
    health.failed(worker, lease.task, now);
    if (!lease.task.idempotent) {
      this.#leaseManager.endTask(lease, 'failed', `failed on ${worker}: ${run.detail}`);
      return;
    }
    this.#leaseManager.requeue(lease, 'failed', now);
    const record = log.get(lease.task.id);
    if (record === undefined || isFinal(record.state)) {
      return;
    }
    const blamed = record.failedOn.filter((name) => !health.isQuarantined(name));
    const exhausted =
      blamed.length >= MAX_FAILED_WORKERS ||
      record.failedOn.length >= MAX_FAILED_WORKERS_TOTAL ||
      !placement.hasUntriedWorker(record);
    if (exhausted) {
      this.#state.queues.remove(record.task);
      const detail = `failed on ${record.failedOn.join(', ')}: ${run.detail}`;
      log.write({ type: 'ended', id: record.task.id, state: 'failed', detail });
    }
  }

  #handleStopped(lease: Lease, run: FinishedTask, now: Millis): void {
    const cancelled = this.#state.log.get(lease.task.id)?.cancelRequested === true;
    if (lease.task.idempotent || cancelled) {
      this.#leaseManager.requeue(lease, 'stopped', now);
    } else {
      this.#leaseManager.endTask(lease, 'unknown', `stopped on ${lease.worker}: ${run.detail}`);
    }
  }

  /**
   * Ends leases that are missing from the report. Once the worker's clock has passed the deadline
   * of the order, a task that is neither running nor reported as finished can't start there any
   * more. If some finished tasks were missed, the task may have run.
   */
  #endMissingLeases(report: WorkerReport, now: Millis): void {
    const complete = this.#lastReports.get(report.worker)?.cursor !== Infinity;
    const present = new Set(report.running.map(({ id }) => id));
    for (const lease of this.#state.leaseTable.onWorker(report.worker)) {
      const { startDeadlineMs } = lease;
      const settled = startDeadlineMs !== undefined && report.clockMs > startDeadlineMs;
      if (!settled || lease.phase === 'planned' || present.has(lease.task.id)) {
        continue;
      }
      if (lease.phase === 'sent' && complete) {
        this.#leaseManager.requeue(lease, 'not-started', now);
      } else {
        this.#leaseManager.resolveLost(lease, now);
      }
    }
  }
}
