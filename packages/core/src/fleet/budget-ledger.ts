import type { InstanceName, PlanName, PoolName, ZoneName } from '../types/index.js';
import { groupBy, type FleetView } from './fleet-view.js';
import {
  EMPTY_BUDGET_ROW,
  rowKey,
  type BudgetEntry,
  type BudgetRow,
  type FleetTransaction,
  type PlanRow,
  type RowKey,
  type RowVersion,
  type StoredRow,
} from './rows.js';
import type { WaitReason } from './wait-reasons.js';

/** Instances that count against the budget of one pool, with their zones. */
export type Unavailable = ReadonlyMap<InstanceName, ZoneName | undefined>;

/**
 * The stored rows as last seen, the transactions whose outcome is open, and the budgets.
 * What an open transaction would take counts as taken until its outcome is known.
 */
export class BudgetLedger {
  readonly #view: FleetView;
  readonly #rows = new Map<RowKey, StoredRow>();
  readonly #open = new Map<number, FleetTransaction>();
  readonly #busy = new Map<RowKey, FleetTransaction>();
  /** Planned entries by role. Made when needed, and again after a row changed. */
  #byRole: ReadonlyMap<PoolName, readonly BudgetEntry[]> | undefined;

  constructor(view: FleetView) {
    this.#view = view;
  }

  /**
   * Accepts rows as read. A row older than the known one is a late answer and is ignored, except that
   * version 0 means that the row was deleted. A wrong guess costs one conflict.
   */
  load(rows: readonly StoredRow[]): void {
    this.#byRole = undefined;
    for (const row of rows) {
      const known = this.#rows.get(rowKey(row));
      if (known === undefined || row.version === 0 || row.version >= known.version) {
        this.#rows.set(rowKey(row), row);
      }
    }
  }

  /** Notes a transaction that was sent. Its rows are busy until it is settled. */
  open(txn: FleetTransaction): void {
    this.#open.set(txn.id, txn);
    for (const write of txn.writes) {
      this.#busy.set(rowKey(write), txn);
    }
  }

  /** Ends a transaction with the rows as they are now. */
  settle(id: number, rows: readonly StoredRow[]): void {
    const txn = this.#open.get(id);
    this.#open.delete(id);
    for (const write of txn?.writes ?? []) {
      this.#busy.delete(rowKey(write));
    }
    this.load(rows);
  }

  isBusy(key: RowKey): boolean {
    return this.#busy.has(key);
  }

  /** True while a transaction that removes the entry has no known outcome. */
  isReleasing(entry: BudgetEntry): boolean {
    return entry.pools.some((pool) => {
      const open = this.#openBudget(pool);
      return open !== undefined && !open.taken.some((each) => isSameEntry(each, entry));
    });
  }

  /** True while a move of the instance has no known outcome. */
  isMoving(instance: InstanceName): boolean {
    return [...this.#open.values()].some((txn) =>
      txn.poolChanges.some((change) => change.instance === instance),
    );
  }

  version(key: RowKey): RowVersion {
    return this.#rows.get(key)?.version ?? 0;
  }

  budget(pool: PoolName): BudgetRow {
    const row = this.#rows.get(`budget/${pool}`);
    return row?.kind === 'budget' ? row.value : EMPTY_BUDGET_ROW;
  }

  plan(plan: PlanName): PlanRow | undefined {
    const row = this.#rows.get(`plan-state/${plan}`);
    return row?.kind === 'plan-state' ? (row.value ?? undefined) : undefined;
  }

  planNames(): readonly PlanName[] {
    const rows = [...this.#rows.values()];
    return rows
      .filter((row) => row.kind === 'plan-state' && row.value !== null)
      .map((row) => row.name);
  }

  /** Every entry of every row, once for each row that holds it. */
  entries(): readonly BudgetEntry[] {
    const rows = [...this.#rows.values()];
    return rows.flatMap((row) => (row.kind === 'budget' ? row.value.taken : []));
  }

  /** Planned entries that a role took, each once, whatever rows hold it. */
  plannedEntriesOf(role: PoolName): readonly BudgetEntry[] {
    this.#byRole ??= groupBy(this.#plannedEntries(), (entry) => entry.role);
    return this.#byRole.get(role) ?? [];
  }

  #plannedEntries(): readonly BudgetEntry[] {
    const found = new Map<string, BudgetEntry>();
    for (const entry of this.entries().filter(isPlanned)) {
      found.set(`${entry.instance} ${entry.cause}`, entry);
    }
    return [...found.values()];
  }

  plannedEntriesIn(pool: PoolName): readonly BudgetEntry[] {
    return this.entriesOf(pool).filter(isPlanned);
  }

  /** Entries of a pool's row, with those that an open transaction would add. */
  entriesOf(pool: PoolName): readonly BudgetEntry[] {
    const open = this.#openBudget(pool);
    const { taken } = this.budget(pool);
    return open === undefined ? taken : [...taken, ...open.taken];
  }

  /** Instances of a pool that are taken or down. `row` replaces the stored row if given. */
  unavailable(pool: PoolName, row?: BudgetRow): Unavailable {
    const taken = row?.taken ?? this.entriesOf(pool);
    const found = new Map<InstanceName, ZoneName | undefined>();
    for (const entry of taken) {
      found.set(entry.instance, this.#view.instance(entry.instance)?.spec.zone);
    }
    for (const instance of this.#view.instancesOf(pool)) {
      if (!this.#view.isUp(instance.name)) {
        found.set(instance.name, instance.spec.zone);
      }
    }
    return found;
  }

  /**
   * Says which budget of the pool does not cover `added` on top of what is unavailable.
   * An instance that a planned act holds already costs nothing more. One that is recorded as failed
   * does, since it serves again as soon as it is seen up.
   */
  shortage(
    pool: PoolName,
    added: readonly InstanceName[],
    row: BudgetRow = this.budget(pool),
  ): WaitReason | undefined {
    const held = new Set(row.taken.filter(isPlanned).map((entry) => entry.instance));
    const fresh = added.filter((name) => !held.has(name));
    const before = new Map(this.unavailable(pool, row));
    for (const name of fresh) {
      before.delete(name);
    }
    return this.#firstShortage(pool, before, fresh);
  }

  /** As `shortage`, but without the planned acts that end by themselves. */
  lastingShortage(
    pool: PoolName,
    added: readonly InstanceName[],
    row: BudgetRow,
  ): WaitReason | undefined {
    const passing = row.taken.filter((entry) => !isLasting(entry));
    const lasting = { ...row, taken: row.taken.filter(isLasting) };
    const before = new Map(this.unavailable(pool, lasting));
    for (const name of [...passing.map((entry) => entry.instance), ...added]) {
      before.delete(name);
    }
    return this.#firstShortage(pool, before, added);
  }

  /** Says which budget of the pool is exceeded by what is unavailable now. */
  excess(pool: PoolName): WaitReason | undefined {
    const spec = this.#view.pool(pool);
    const now = this.unavailable(pool);
    const limit = spec?.budget.maxUnavailable ?? 0;
    if (now.size > limit) {
      return { type: 'budget', pool, used: now.size, needed: 0, limit };
    }
    for (const { zone, maxUnavailable } of spec?.zoneBudgets ?? []) {
      const used = countIn(now, zone);
      if (used > maxUnavailable) {
        return { type: 'budget', pool, zone, used, needed: 0, limit: maxUnavailable };
      }
    }
    return undefined;
  }

  #openBudget(pool: PoolName): BudgetRow | undefined {
    const txn = this.#busy.get(`budget/${pool}`);
    const write = txn?.writes.find((each) => each.kind === 'budget' && each.name === pool);
    return write?.kind === 'budget' ? write.value : undefined;
  }

  #firstShortage(
    pool: PoolName,
    before: Unavailable,
    fresh: readonly InstanceName[],
  ): WaitReason | undefined {
    const spec = this.#view.pool(pool);
    const limit = spec?.budget.maxUnavailable ?? 0;
    const whole = judge({ pool, used: before.size, needed: fresh.length, limit });
    if (whole !== undefined) {
      return whole;
    }
    for (const { zone, maxUnavailable } of spec?.zoneBudgets ?? []) {
      const used = countIn(before, zone);
      const needed = fresh.filter((name) => this.#zoneOf(name) === zone).length;
      const found = judge({ pool, zone, used, needed, limit: maxUnavailable });
      if (found !== undefined) {
        return found;
      }
    }
    return undefined;
  }

  #zoneOf(name: InstanceName): ZoneName | undefined {
    return this.#view.instance(name)?.spec.zone;
  }
}

interface Claim {
  readonly pool: PoolName;
  readonly zone?: ZoneName;
  readonly used: number;
  readonly needed: number;
  readonly limit: number;
}

function judge(claim: Claim): WaitReason | undefined {
  if (claim.needed === 0 || claim.used + claim.needed <= claim.limit) {
    return undefined;
  }
  const { pool, zone, needed, limit } = claim;
  const place = zone === undefined ? { pool } : { pool, zone };
  return needed > limit
    ? { type: 'impossible', ...place, needed, limit }
    : { type: 'budget', ...place, used: claim.used, needed, limit };
}

function countIn(unavailable: Unavailable, zone: ZoneName): number {
  return [...unavailable.values()].filter((each) => each === zone).length;
}

export function isPlanned(entry: BudgetEntry): boolean {
  return entry.cause !== 'failure';
}

/** True for what ends only when an operator or a repair ends it. */
function isLasting(entry: BudgetEntry): boolean {
  const { cause } = entry;
  return cause === 'failure' || cause === 'operator' || cause.startsWith('zone/');
}

export function isSameEntry(a: BudgetEntry, b: BudgetEntry): boolean {
  return a.instance === b.instance && a.cause === b.cause;
}
