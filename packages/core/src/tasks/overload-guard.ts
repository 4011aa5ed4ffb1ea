import { WORK_CLASSES, type Millis, type TaskId } from '../types/index.js';
import { NOTHING, add } from './amounts.js';
import type { Lease } from './lease-book.js';
import type { WorkerReport } from './messages.js';
import type { Resources } from './model.js';
import type { PoolState } from './pool-state.js';
import { THROTTLED_PART, type StopOrders } from './stop-orders.js';

/** Parts of a worker above which its measured use counts as overload. */
const MAX_PROCESSORS = 1;
const MAX_MEMORY = 0.95;
/** Time between two steps against the same task, so that a lagging report can show the first. */
const STEP_MS = 2_000;

interface Measured {
  readonly lease: Lease;
  readonly usage: Resources;
}

/**
 * Relieves overloaded workers by measured use: throttle, then checkpoint, then stop. The last task of
 * a worker is left alone, as it was given the whole worker.
 */
export class OverloadGuard {
  readonly #state: PoolState;
  readonly #stops: StopOrders;
  readonly #steps = new Map<TaskId, Millis>();

  constructor(state: PoolState, stops: StopOrders) {
    this.#state = state;
    this.#stops = stops;
  }

  check(report: WorkerReport, now: Millis): void {
    const excess = this.#excess(report);
    if (excess === undefined) {
      return;
    }
    for (const { lease } of this.#victims(report, excess)) {
      this.#step(lease, now);
    }
  }

  /** Forgets a task that has ended. */
  forget(id: TaskId): void {
    this.#steps.delete(id);
  }

  #excess({ worker, running }: WorkerReport): Resources | undefined {
    const capacity = this.#state.table.get(worker)?.capacity;
    if (capacity === undefined || running.length < 2) {
      return undefined;
    }
    const used = running.reduce((sum, { usage }) => add(sum, usage), NOTHING);
    const processors = used.processors - capacity.processors * MAX_PROCESSORS;
    const memoryMb = used.memoryMb - capacity.memoryMb * MAX_MEMORY;
    return processors > 0 || memoryMb > 0 ? { processors, memoryMb, accelerators: 0 } : undefined;
  }

  /** Tasks that cover the excess, lowest class and farthest above its share first. */
  #victims(report: WorkerReport, excess: Resources): readonly Measured[] {
    const victims: Measured[] = [];
    let { processors, memoryMb } = excess;
    for (const measured of this.#inOrder(report).slice(0, -1)) {
      if (processors <= 0 && memoryMb <= 0) {
        break;
      }
      victims.push(measured);
      processors -= measured.usage.processors * (1 - THROTTLED_PART);
      memoryMb -= measured.usage.memoryMb;
    }
    return victims;
  }

  #inOrder({ running }: WorkerReport): readonly Measured[] {
    const { book, ledger } = this.#state;
    const measured = running.flatMap(({ id, usage }) => {
      const lease = book.get(id);
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

  #step(lease: Lease, now: Millis): void {
    const { id } = lease.task;
    const last = this.#steps.get(id);
    if (last !== undefined && now - last < STEP_MS) {
      return;
    }
    this.#steps.set(id, now);
    if (lease.throttled === undefined) {
      this.#stops.throttle(lease, 'overload', now);
    } else if (lease.stopping === undefined) {
      this.#stops.checkpoint(lease, 'overload', now);
    } else if (lease.stopping.mode === 'checkpoint') {
      this.#stops.stop(lease, 'overload', now);
    }
  }
}
