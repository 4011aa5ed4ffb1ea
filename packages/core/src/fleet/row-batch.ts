import type { InstanceName, PlanName, PoolName } from '../types/index.js';
import { isSameEntry, type BudgetLedger } from './budget-ledger.js';
import type { FleetInstance, FleetView } from './fleet-view.js';
import {
  type BudgetEntry,
  type BudgetRow,
  type Cause,
  type OwnerFence,
  type FleetTransaction,
  type PlanRow,
  type PoolChange,
  type Reservation,
  type RowKey,
  type RowWrite,
} from './rows.js';
import type { FleetWaitReason } from './wait-reasons.js';

export interface BudgetRequest {
  readonly instances: readonly FleetInstance[];
  readonly cause: Cause;
  /** Name of the group, which may use a reservation that was made for it. */
  readonly group?: string;
  /** Target pool of a move. */
  readonly to?: PoolName;
}

/** Collects changes of rows under one fence and builds a single transaction from them. */
export class RowBatch {
  readonly fence: OwnerFence;
  readonly #view: FleetView;
  readonly #ledger: BudgetLedger;
  readonly #budgets = new Map<PoolName, BudgetRow>();
  readonly #plans = new Map<PlanName, PlanRow | null>();
  readonly #poolChanges: PoolChange[] = [];

  constructor(view: FleetView, ledger: BudgetLedger, fence: OwnerFence) {
    this.#view = view;
    this.#ledger = ledger;
    this.fence = fence;
  }

  /** The row with the changes of this batch applied. */
  budget(pool: PoolName): BudgetRow {
    return this.#budgets.get(pool) ?? this.#ledger.budget(pool);
  }

  plan(plan: PlanName): PlanRow | undefined {
    const own = this.#plans.get(plan);
    return own === undefined ? this.#ledger.plan(plan) : (own ?? undefined);
  }

  canEdit(key: RowKey): boolean {
    return !this.#ledger.hasInFlightWrite(key);
  }

  /** Changes a budget row. Returns false if a write of the row is in flight. */
  editBudget(pool: PoolName, change: (row: BudgetRow) => BudgetRow): boolean {
    if (!this.canEdit(`budget/${pool}`)) {
      return false;
    }
    this.#budgets.set(pool, change(this.budget(pool)));
    return true;
  }

  editPlan(plan: PlanName, value: PlanRow | null): boolean {
    if (!this.canEdit(`plan-state/${plan}`)) {
      return false;
    }
    this.#plans.set(plan, value);
    return true;
  }

  /** Failure entries for instances that are reported down and have no entry in the pool's row. */
  newFailures(pool: PoolName, row: BudgetRow): readonly BudgetEntry[] {
    const known = new Set(row.taken.map((entry) => entry.instance));
    return this.#view
      .instancesOf(pool)
      .filter(({ name }) => this.#view.isReportedDown(name) && !known.has(name))
      .map(({ name }) => {
        const boot = this.#view.boot(name) ?? 0;
        return { ...this.fence, instance: name, cause: 'failure', boot, pools: [pool] };
      });
  }

  /** Acquires all units that the request needs, or acquires none and returns the reason. */
  tryAcquire(request: BudgetRequest): FleetWaitReason | undefined {
    const byPool = this.#instancesByPool(request);
    for (const [pool, names] of byPool) {
      const reason = this.#rejectionReason(pool, names, request);
      if (reason !== undefined) {
        return reason;
      }
    }
    for (const [pool, names] of byPool) {
      this.editBudget(pool, (row) => this.#withAcquired(pool, row, names, request));
    }
    this.#addPoolChanges(request);
    return undefined;
  }

  /** Removes an entry from every row that holds it, or from none. */
  release(entry: BudgetEntry): boolean {
    if (!entry.pools.every((pool) => this.canEdit(`budget/${pool}`))) {
      return false;
    }
    for (const pool of entry.pools) {
      this.editBudget(pool, (row) => {
        return { ...row, taken: row.taken.filter((each) => !isSameEntry(each, entry)) };
      });
    }
    return true;
  }

  /** Reserves all the pools for one group, or none of them. */
  tryReserve(pools: readonly PoolName[], reservation: Reservation): boolean {
    const isFree = (pool: PoolName): boolean =>
      this.canEdit(`budget/${pool}`) && this.budget(pool).reserved === undefined;
    if (!pools.every(isFree)) {
      return false;
    }
    for (const pool of pools) {
      this.editBudget(pool, (row) => ({ ...row, reserved: reservation }));
    }
    return true;
  }

  /** Builds the transaction. Returns undefined if nothing was changed. */
  build(id: number): FleetTransaction | undefined {
    const budgets: RowWrite[] = [...this.#budgets].map(([name, value]) => {
      return { kind: 'budget', name, value };
    });
    const plans: RowWrite[] = [...this.#plans].map(([name, value]) => {
      return { kind: 'plan-state', name, value };
    });
    const writes = [...budgets, ...plans];
    if (writes.length === 0) {
      return undefined;
    }
    const conditions = writes.map((write) => {
      const key: RowKey = `${write.kind}/${write.name}`;
      return { key, version: this.#ledger.version(key) };
    });
    return { id, fence: this.fence, conditions, writes, poolChanges: [...this.#poolChanges] };
  }

  #instancesByPool(request: BudgetRequest): ReadonlyMap<PoolName, readonly InstanceName[]> {
    const found = new Map<PoolName, InstanceName[]>();
    for (const { name, spec } of request.instances) {
      const pools = request.to === undefined ? [spec.pool] : [spec.pool, request.to];
      for (const pool of pools) {
        found.set(pool, [...(found.get(pool) ?? []), name]);
      }
    }
    return found;
  }

  #rejectionReason(
    pool: PoolName,
    names: readonly InstanceName[],
    request: BudgetRequest,
  ): FleetWaitReason | undefined {
    if (!this.canEdit(`budget/${pool}`)) {
      return { type: 'transaction', pool };
    }
    const row = this.budget(pool);
    const { reserved } = row;
    if (reserved !== undefined && !isReservedFor(reserved, request)) {
      return { type: 'reserved', pool, cause: reserved.cause };
    }
    return this.#ledger.shortage(pool, names, row);
  }

  #withAcquired(
    pool: PoolName,
    row: BudgetRow,
    names: readonly InstanceName[],
    request: BudgetRequest,
  ): BudgetRow {
    const entries = names.map((name) => this.#newEntry(name, request));
    // Other owners may not know of these failures yet. Storing them with the entries keeps those
    // owners from exceeding the budget.
    const { reserved, ...rest } = row;
    const kept = reserved === undefined || isReservedFor(reserved, request) ? {} : { reserved };
    const failed = this.newFailures(pool, row);
    return { ...rest, ...kept, taken: [...row.taken, ...entries, ...failed] };
  }

  #newEntry(instance: InstanceName, request: BudgetRequest): BudgetEntry {
    const pool = this.#view.instance(instance)?.spec.pool ?? '';
    const pools = request.to === undefined ? [pool] : [pool, request.to];
    const boot = this.#view.boot(instance) ?? 0;
    return { ...this.fence, instance, cause: request.cause, boot, pools };
  }

  #addPoolChanges(request: BudgetRequest): void {
    const { to } = request;
    if (to === undefined) {
      return;
    }
    for (const { name, version, spec } of request.instances) {
      this.#poolChanges.push({ instance: name, version, from: spec.pool, to });
    }
  }
}

function isReservedFor(reserved: Reservation, request: BudgetRequest): boolean {
  return reserved.cause === request.cause && reserved.group === request.group;
}
