import type { InstanceName } from '../types/index.js';
import { fitsIn, maxResources, minResources, NO_RESOURCES } from './resource-arithmetic.js';
import type { Resources, TaskRecord, TaskSpec } from './model.js';
import type { ShareLedger } from './share-ledger.js';
import type { UsageEstimator } from './usage-estimator.js';
import type { WorkerTable } from './worker-table.js';

/** Chooses workers by the expected size of tasks. */
export class Placement {
  readonly #table: WorkerTable;
  readonly #estimator: UsageEstimator;
  readonly #ledger: ShareLedger;

  constructor(table: WorkerTable, estimator: UsageEstimator, ledger: ShareLedger) {
    this.#table = table;
    this.#estimator = estimator;
    this.#ledger = ledger;
  }

  /**
   * Returns why no worker of the current fleet can ever run the task, or undefined if one can.
   * Workers that are down, cordoned or in a zone that is out are included, since they may come
   * back.
   */
  infeasibleReason(task: TaskSpec): string | undefined {
    const limit = this.#ledger.limit(task.team);
    if (limit !== undefined && !fitsIn(task.resources, limit)) {
      return `above the upper limit of team ${task.team}: ${describe(limit)}`;
    }
    const capacities = this.#table.index.capacities(task.constraints);
    if (capacities.length === 0) {
      return 'no instance of the pool matches the constraints';
    }
    if (capacities.some((capacity) => fitsIn(task.resources, capacity))) {
      return undefined;
    }
    const max = capacities.reduce(maxResources, NO_RESOURCES);
    return `no matching instance is large enough; the most of each resource is ${describe(max)}`;
  }

  /** Expected size, limited to the capacity of the workers that fit the declared size. */
  expectedSize(task: TaskSpec): Resources {
    const size = this.#estimator.expectedSize(task);
    if (fitsIn(size, task.resources)) {
      return size;
    }
    const eligible = this.#table.index
      .capacities(task.constraints)
      .filter((capacity) => fitsIn(task.resources, capacity));
    return minResources(size, eligible.reduce(maxResources, task.resources));
  }

  /** Returns the best worker for a task, excluding those on which it failed. */
  findWorker(record: TaskRecord, size: Resources): InstanceName | undefined {
    const { task, failedOn } = record;
    return this.#table.index.bestFit(size, task.constraints, failedOn);
  }

  /** True if some worker on which the task has not failed can run it. */
  hasUntriedWorker(record: TaskRecord): boolean {
    const { task, failedOn } = record;
    for (const { name, capacity } of this.#table.all()) {
      const fits = fitsIn(task.resources, capacity) && !failedOn.includes(name);
      if (fits && this.#table.index.matches(name, task.constraints)) {
        return true;
      }
    }
    return false;
  }
}

function describe({ processors, memoryMb, accelerators }: Resources): string {
  return `${processors} processors, ${memoryMb} MB, ${accelerators} accelerators`;
}
