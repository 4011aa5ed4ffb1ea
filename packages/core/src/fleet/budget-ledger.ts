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
import type { FleetWaitReason } from './wait-reasons.js';

/** Instances that count against the budget of one pool, and the zone of each. */
export type UnavailableInstances = ReadonlyMap<InstanceName, ZoneName | undefined>;

/**
 * Caches the stored rows, tracks in-flight transactions, and checks budgets against both.
 * Units that an in-flight transaction would acquire count as taken until its outcome is known.
 */
export class BudgetLedger {
  readonly #view: FleetView;
  readonly #rows = new Map<RowKey, StoredRow>();
  readonly #inFlight = new Map<number, FleetTransaction>();
  readonly #inFlightByRow = new Map<RowKey, FleetTransaction>();
  /** Planned entries by role. Computed on demand; invalidated when rows are loaded. */
  #plannedByRole: ReadonlyMap<PoolName, readonly BudgetEntry[]> | undefined;

  constructor(view: FleetView) {
    this.#view = view;
  }

  /**
   * Updates the cache with rows as read. A row older than the cached one is a late response and is
   * ignored, except that version 0 means that the row was deleted. A stale cached row costs one
   * transaction conflict.
   */
  load(rows: readonly StoredRow[]): void {
    this.#plannedByRole = undefined;
    for (const row of rows) {
      const known = this.#rows.get(rowKey(row));
      if (known === undefined || row.version === 0 || row.version >= known.version) {
        this.#rows.set(rowKey(row), row);
      }
    }
  }

  /** Tracks a transaction that was sent. Its rows can't be edited until it is settled. */
  open(txn: FleetTransaction): void {
    this.#inFlight.set(txn.id, txn);
    for (const write of txn.writes) {
      this.#inFlightByRow.set(rowKey(write), txn);
    }
  }

  /** Ends tracking of a transaction whose outcome is known. `rows` are the current rows. */
  settle(id: number, rows: readonly StoredRow[]): void {
    const txn = this.#inFlight.get(id);
    this.#inFlight.delete(id);
    for (const write of txn?.writes ?? []) {
      this.#inFlightByRow.delete(rowKey(write));
    }
    this.load(rows);
  }

  hasInFlightWrite(key: RowKey): boolean {
    return this.#inFlightByRow.has(key);
  }

  /** True while a transaction that removes the entry is in flight. */
  isReleasing(entry: BudgetEntry): boolean {
    return entry.pools.some((pool) => {
      const open = this.#inFlightBudget(pool);
      return open !== undefined && !open.taken.some((each) => isSameEntry(each, entry));
    });
  }

  /** True while a transaction that moves the instance to another pool is in flight. */
  isMoving(instance: InstanceName): boolean {
    return [...this.#inFlight.values()].some((txn) =>
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

  /** Entries of all rows. An entry that several rows hold is returned once for each of them. */
  entries(): readonly BudgetEntry[] {
    const rows = [...this.#rows.values()];
    return rows.flatMap((row) => (row.kind === 'budget' ? row.value.taken : []));
  }

  /** Planned entries that a role acquired. Each is returned once, even if several rows hold it. */
  plannedEntriesTakenBy(role: PoolName): readonly BudgetEntry[] {
    this.#plannedByRole ??= groupBy(this.#plannedEntries(), (entry) => entry.role);
    return this.#plannedByRole.get(role) ?? [];
  }

  #plannedEntries(): readonly BudgetEntry[] {
    const found = new Map<string, BudgetEntry>();
    for (const entry of this.entries().filter(isPlanned)) {
      found.set(`${entry.instance} ${entry.cause}`, entry);
    }
    return [...found.values()];
  }

  plannedEntriesIn(pool: PoolName): readonly BudgetEntry[] {
    return this.entriesIn(pool).filter(isPlanned);
  }

  /** Entries of a pool's row, followed by those that an in-flight transaction would store. */
  entriesIn(pool: PoolName): readonly BudgetEntry[] {
    const open = this.#inFlightBudget(pool);
    const { taken } = this.budget(pool);
    return open === undefined ? taken : [...taken, ...open.taken];
  }

  /** Instances of a pool that have an entry or are down. `row` replaces the stored row if given. */
  unavailable(pool: PoolName, row?: BudgetRow): UnavailableInstances {
    const taken = row?.taken ?? this.entriesIn(pool);
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
   * Returns the first budget of the pool that does not cover `added` in addition to the instances
   * that are unavailable already. An instance that has a planned entry costs nothing more. One that
   * is recorded as failed does, since it serves again as soon as it is reported up.
   */
  shortage(
    pool: PoolName,
    added: readonly InstanceName[],
    row: BudgetRow = this.budget(pool),
  ): FleetWaitReason | undefined {
    const held = new Set(row.taken.filter(isPlanned).map((entry) => entry.instance));
    const uncounted = added.filter((name) => !held.has(name));
    const before = new Map(this.unavailable(pool, row));
    for (const name of uncounted) {
      before.delete(name);
    }
    return this.#firstShortage(pool, before, uncounted);
  }

  /** Like `shortage`, but ignores planned disruptions that end by themselves. */
  lastingShortage(
    pool: PoolName,
    added: readonly InstanceName[],
    row: BudgetRow,
  ): FleetWaitReason | undefined {
    const temporary = row.taken.filter((entry) => !isLasting(entry));
    const lasting = { ...row, taken: row.taken.filter(isLasting) };
    const before = new Map(this.unavailable(pool, lasting));
    for (const name of [...temporary.map((entry) => entry.instance), ...added]) {
      before.delete(name);
    }
    return this.#firstShortage(pool, before, added);
  }

  /** Returns the first budget of the pool that is exceeded by the instances unavailable now. */
  exceededBudget(pool: PoolName): FleetWaitReason | undefined {
    const spec = this.#view.pool(pool);
    const now = this.unavailable(pool);
    const limit = spec?.budget.maxUnavailable ?? 0;
    if (now.size > limit) {
      return { type: 'budget', pool, used: now.size, needed: 0, limit };
    }
    for (const { zone, maxUnavailable } of spec?.zoneBudgets ?? []) {
      const used = countInZone(now, zone);
      if (used > maxUnavailable) {
        return { type: 'budget', pool, zone, used, needed: 0, limit: maxUnavailable };
      }
    }
    return undefined;
  }

  #inFlightBudget(pool: PoolName): BudgetRow | undefined {
    const txn = this.#inFlightByRow.get(`budget/${pool}`);
    const write = txn?.writes.find((each) => each.kind === 'budget' && each.name === pool);
    return write?.kind === 'budget' ? write.value : undefined;
  }

  #firstShortage(
    pool: PoolName,
    before: UnavailableInstances,
    added: readonly InstanceName[],
  ): FleetWaitReason | undefined {
    const spec = this.#view.pool(pool);
    const limit = spec?.budget.maxUnavailable ?? 0;
    const whole = checkBudget({ pool, used: before.size, needed: added.length, limit });
    if (whole !== undefined) {
      return whole;
    }
    for (const { zone, maxUnavailable } of spec?.zoneBudgets ?? []) {
      const used = countInZone(before, zone);
      const needed = added.filter((name) => this.#zoneOf(name) === zone).length;
      const found = checkBudget({ pool, zone, used, needed, limit: maxUnavailable });
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

interface BudgetClaim {
  readonly pool: PoolName;
  readonly zone?: ZoneName;
  readonly used: number;
  readonly needed: number;
  readonly limit: number;
}

function checkBudget(claim: BudgetClaim): FleetWaitReason | undefined {
  if (claim.needed === 0 || claim.used + claim.needed <= claim.limit) {
    return undefined;
  }
  const { pool, zone, needed, limit } = claim;
  const place = zone === undefined ? { pool } : { pool, zone };
  return needed > limit
    ? { type: 'impossible', ...place, needed, limit }
    : { type: 'budget', ...place, used: claim.used, needed, limit };
}

function countInZone(unavailable: UnavailableInstances, zone: ZoneName): number {
  return [...unavailable.values()].filter((each) => each === zone).length;
}

export function isPlanned(entry: BudgetEntry): boolean {
  return entry.cause !== 'failure';
}

/** True for entries that end only by operator action or by repair of the instance. */
function isLasting(entry: BudgetEntry): boolean {
  const { cause } = entry;
  return cause === 'failure' || cause === 'operator' || cause.startsWith('zone/');
}

export function isSameEntry(a: BudgetEntry, b: BudgetEntry): boolean {
  return a.instance === b.instance && a.cause === b.cause;
}
