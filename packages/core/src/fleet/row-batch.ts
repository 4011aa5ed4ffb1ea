import type { InstanceName, PlanName, PoolName } from '../types/index.js';
import { isSameEntry, type BudgetLedger } from './budget-ledger.js';
import type { FleetInstance, FleetView } from './fleet-view.js';
import {
  type BudgetEntry,
  type BudgetRow,
  type Cause,
  type Fence,
  type FleetTransaction,
  type PlanRow,
  type PoolChange,
  type Reservation,
  type RowKey,
  type RowWrite,
} from './rows.js';
import type { WaitReason } from './wait-reasons.js';

export interface Take {
  readonly instances: readonly FleetInstance[];
  readonly cause: Cause;
  /** Group that a reservation was made for, if any. */
  readonly group?: string;
  /** Pool that the instances move to, if they move. */
  readonly to?: PoolName;
}

/** Collects changes of rows under one fence, to be sent as one transaction. */
export class RowBatch {
  readonly fence: Fence;
  readonly #view: FleetView;
  readonly #ledger: BudgetLedger;
  readonly #budgets = new Map<PoolName, BudgetRow>();
  readonly #plans = new Map<PlanName, PlanRow | null>();
  readonly #moves: PoolChange[] = [];

  constructor(view: FleetView, ledger: BudgetLedger, fence: Fence) {
    this.#view = view;
    this.#ledger = ledger;
    this.fence = fence;
  }

  /** The row as this batch leaves it. */
  budget(pool: PoolName): BudgetRow {
    return this.#budgets.get(pool) ?? this.#ledger.budget(pool);
  }

  plan(plan: PlanName): PlanRow | undefined {
    const own = this.#plans.get(plan);
    return own === undefined ? this.#ledger.plan(plan) : (own ?? undefined);
  }

  canEdit(key: RowKey): boolean {
    return !this.#ledger.isBusy(key);
  }

  /** Changes a budget row. Returns false if the row has an open transaction. */
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

  /** Entries for instances of the pool that are reported down and that the row doesn't have. */
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

  /** Takes a unit of every pool touched, or none and says what is missing. */
  tryTake(take: Take): WaitReason | undefined {
    const byPool = this.#poolsOf(take);
    for (const [pool, names] of byPool) {
      const reason = this.#obstacle(pool, names, take);
      if (reason !== undefined) {
        return reason;
      }
    }
    for (const [pool, names] of byPool) {
      this.editBudget(pool, (row) => this.#withTaken(pool, row, names, take));
    }
    this.#noteMoves(take);
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

  /** The transaction, or undefined if nothing was changed. */
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
    return { id, fence: this.fence, conditions, writes, poolChanges: [...this.#moves] };
  }

  #poolsOf(take: Take): ReadonlyMap<PoolName, readonly InstanceName[]> {
    const found = new Map<PoolName, InstanceName[]>();
    for (const { name, spec } of take.instances) {
      const pools = take.to === undefined ? [spec.pool] : [spec.pool, take.to];
      for (const pool of pools) {
        found.set(pool, [...(found.get(pool) ?? []), name]);
      }
    }
    return found;
  }

  #obstacle(pool: PoolName, names: readonly InstanceName[], take: Take): WaitReason | undefined {
    if (!this.canEdit(`budget/${pool}`)) {
      return { type: 'transaction', pool };
    }
    const row = this.budget(pool);
    const { reserved } = row;
    if (reserved !== undefined && !isReservedFor(reserved, take)) {
      return { type: 'reserved', pool, cause: reserved.cause };
    }
    return this.#ledger.shortage(pool, names, row);
  }

  #withTaken(
    pool: PoolName,
    row: BudgetRow,
    names: readonly InstanceName[],
    take: Take,
  ): BudgetRow {
    const entries = names.map((name) => this.#entry(name, take));
    // Others may not know these failures yet. With them in the row, they can't take past the budget.
    const { reserved, ...rest } = row;
    const kept = reserved === undefined || isReservedFor(reserved, take) ? {} : { reserved };
    const failed = this.newFailures(pool, row);
    return { ...rest, ...kept, taken: [...row.taken, ...entries, ...failed] };
  }

  #entry(instance: InstanceName, take: Take): BudgetEntry {
    const pool = this.#view.instance(instance)?.spec.pool ?? '';
    const pools = take.to === undefined ? [pool] : [pool, take.to];
    const boot = this.#view.boot(instance) ?? 0;
    return { ...this.fence, instance, cause: take.cause, boot, pools };
  }

  #noteMoves(take: Take): void {
    const { to } = take;
    if (to === undefined) {
      return;
    }
    for (const { name, version, spec } of take.instances) {
      this.#moves.push({ instance: name, version, from: spec.pool, to });
    }
  }
}

function isReservedFor(reserved: Reservation, take: Take): boolean {
  return reserved.cause === take.cause && reserved.group === take.group;
}
