import { WORK_CLASSES, type Millis, type TaskId } from '../types/index.js';
import { NO_RESOURCES, add } from './resource-arithmetic.js';
import type { Lease } from './lease-table.js';
import type { WorkerReport } from './messages.js';
import type { Resources } from './model.js';
import type { PoolState } from './pool-state.js';
import { THROTTLED_FRACTION, type StopOrders } from './stop-orders.js';

/** Fractions of a worker's capacity above which measured usage counts as overload. */
const MAX_PROCESSOR_UTILIZATION = 1;
const MAX_MEMORY_UTILIZATION = 0.95;
/**
 * Minimum time between two steps against a task, since reports show the effect of a step with a
 * lag.
 */
const STEP_INTERVAL_MS = 2_000;

interface Measured {
  readonly lease: Lease;
  readonly usage: Resources;
}

/**
 * Relieves workers whose measured usage exceeds their capacity: throttle, then checkpoint, then
 * stop. The last remaining task is left alone, since a single task may use the whole worker.
 */
export class OverloadGuard {
  readonly #state: PoolState;
  readonly #stops: StopOrders;
  readonly #lastSteps = new Map<TaskId, Millis>();

  constructor(state: PoolState, stops: StopOrders) {
    this.#state = state;
    this.#stops = stops;
  }

  check(report: WorkerReport, now: Millis): void {
    const excess = this.#excess(report);
    if (excess === undefined) {
      return;
    }
    for (const { lease } of this.#selectVictims(report, excess)) {
      this.#escalate(lease, now);
    }
  }

  /** Clears the state of a task that has ended. */
  clear(id: TaskId): void {
    this.#lastSteps.delete(id);
  }

  #excess({ worker, running }: WorkerReport): Resources | undefined {
    const capacity = this.#state.table.get(worker)?.capacity;
    if (capacity === undefined || running.length < 2) {
      return undefined;
    }
    const used = running.reduce((sum, { usage }) => add(sum, usage), NO_RESOURCES);
    const processors = used.processors - capacity.processors * MAX_PROCESSOR_UTILIZATION;
    const memoryMb = used.memoryMb - capacity.memoryMb * MAX_MEMORY_UTILIZATION;
    return processors > 0 || memoryMb > 0 ? { processors, memoryMb, accelerators: 0 } : undefined;
  }

  /** Selects tasks that cover the excess: lowest class first, then farthest above its share. */
  #selectVictims(report: WorkerReport, excess: Resources): readonly Measured[] {
    const victims: Measured[] = [];
    let { processors, memoryMb } = excess;
    for (const measured of this.#rankVictims(report).slice(0, -1)) {
      if (processors <= 0 && memoryMb <= 0) {
        break;
      }
      victims.push(measured);
      processors -= measured.usage.processors * (1 - THROTTLED_FRACTION);
      memoryMb -= measured.usage.memoryMb;
    }
    return victims;
  }

  #rankVictims({ running }: WorkerReport): readonly Measured[] {
    const { leaseTable, ledger } = this.#state;
    const measured = running.flatMap(({ id, usage }) => {
      const lease = leaseTable.get(id);
      return lease === undefined ? [] : [{ lease, usage }];
    });
    const ranked = measured.map((entry) => ({
      entry,
      level: WORK_CLASSES.indexOf(entry.lease.task.workClass),
      rank: ledger.rank(entry.lease.task.team),
    }));
    ranked.sort(
      (a, b) => b.level - a.level || b.rank - a.rank || b.entry.lease.since - a.entry.lease.since,
    );
    return ranked.map(({ entry }) => entry);
  }

  #escalate(lease: Lease, now: Millis): void {
    const { id } = lease.task;
    const last = this.#lastSteps.get(id);
    if (last !== undefined && now - last < STEP_INTERVAL_MS) {
      return;
    }
    this.#lastSteps.set(id, now);
    if (lease.throttled === undefined) {
      this.#stops.throttle(lease, 'overload', now);
    } else if (lease.stopping === undefined) {
      this.#stops.checkpoint(lease, 'overload', now);
    } else if (lease.stopping.mode === 'checkpoint') {
      this.#stops.stop(lease, 'overload', now);
    }
  }
}
