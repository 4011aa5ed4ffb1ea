import type { Resources } from '../tasks/model.js';
import type { Millis, PoolName } from '../types/index.js';
import type { CellTables } from './cell-tables.js';
import type { InstanceOrder, InstanceOrderOutcome, JobDecision, PoolInstance } from './messages.js';
import type { ExecutorId, PoolPolicy } from './model.js';

/** An instance must have run nothing for this long before another pool may have it. */
const IDLE_BEFORE_LENDING_MS: Millis = 1_000;
/** An instance beyond the size of its pool is switched off after this time without work. */
const IDLE_BEFORE_PARKING_MS: Millis = 5_000;
/** A move that has not shown in the list after this time no longer counts as under way. */
const MOVE_TIMEOUT_MS: Millis = 6_000;
/** Part of an instance that the waiting tasks must fill before one is asked for. */
const MIN_FILL = 0.5;
/** Part of its first size below which a pool is not emptied. */
const MIN_POOL_SHARE = 0.5;

interface Move {
  readonly to: PoolName;
  readonly orderedAt: Millis;
  readonly executor: ExecutorId | undefined;
}

/** Moves idle instances, those that are switched off first, to pools whose tasks wait for room. */
export class PoolLender {
  readonly #parts: CellTables;
  readonly #ordersFrom: Millis;
  #instances: readonly PoolInstance[] = [];
  readonly #moves = new Map<string, Move>();
  readonly #idleSince = new Map<ExecutorId, Millis>();
  /** Size of each pool before anything was lent. */
  #firstSizes: ReadonlyMap<PoolName, number> | undefined;

  /** `firstSizes`: as the first owner saw them; undefined for the first owner. */
  constructor(
    parts: CellTables,
    ordersFrom: Millis,
    firstSizes: ReadonlyMap<PoolName, number> | undefined,
  ) {
    this.#parts = parts;
    this.#ordersFrom = ordersFrom;
    this.#firstSizes = firstSizes;
  }

  get firstSizes(): ReadonlyMap<PoolName, number> | undefined {
    return this.#firstSizes;
  }

  /** `askedAt`: a list that was asked for before a move does not show it. */
  setInstances(instances: readonly PoolInstance[], askedAt: Millis): void {
    this.#instances = instances;
    this.#firstSizes ??= countByPool(instances);
    for (const [name, move] of [...this.#moves]) {
      const instance = instances.find((one) => one.name === name);
      const arrived = instance?.pool === move.to && instance.state === 'up';
      if (askedAt > move.orderedAt && arrived) {
        this.#moves.delete(name);
      } else if (askedAt - move.orderedAt > MOVE_TIMEOUT_MS) {
        this.#moves.delete(name);
        this.#cordon(move.executor, false);
      }
    }
  }

  /** The executor that ran on an instance when it was ordered to move. */
  orderedExecutor(instance: string): ExecutorId | undefined {
    return this.#moves.get(instance)?.executor;
  }

  answered(order: InstanceOrder, outcome: InstanceOrderOutcome): void {
    const move = this.#moves.get(order.instance);
    if (order.type !== 'move' || move === undefined) {
      return;
    }
    if (outcome === 'busy' || outcome === 'impossible') {
      this.#moves.delete(order.instance);
      this.#cordon(move.executor, false);
    }
  }

  /** `reserved`: instances that something else is about to be done with. */
  plan(
    pools: ReadonlyMap<PoolName, PoolPolicy>,
    reserved: (instance: string) => boolean,
    now: Millis,
  ): readonly JobDecision[] {
    this.#trackIdle(now);
    if (now < this.#ordersFrom) {
      return [];
    }
    const free = this.#instances.filter(
      ({ name, state }) => state === 'up' && !this.#moves.has(name) && !reserved(name),
    );
    const decisions: JobDecision[] = [];
    const taken = new Set<string>();
    for (const { pool, count } of this.#needs(pools, now)) {
      let missing = count;
      for (const donor of this.#donors(free, pool, pools, now)) {
        // Each move changes what the donor's pool may spare.
        const off = pools.get(donor.pool)?.standby === true;
        if (missing > 0 && !taken.has(donor.name) && (off || this.#maySpare(donor.pool))) {
          taken.add(donor.name);
          missing -= 1;
          decisions.push(this.#move(donor, pool, now));
        }
      }
    }
    return [...decisions, ...this.#park(free, taken, pools, now)];
  }

  /** Instances that pools lack, the pool that lacks most first. */
  #needs(
    pools: ReadonlyMap<PoolName, PoolPolicy>,
    now: Millis,
  ): readonly { readonly pool: PoolName; readonly count: number }[] {
    return [...pools.values()]
      .filter(({ standby }) => !standby)
      .map(({ name }) => ({ pool: name, count: this.#lacking(name, now) }))
      .filter(({ count }) => count > 0)
      .sort((a, b) => b.count - a.count);
  }

  #lacking(pool: PoolName, now: Millis): number {
    const size = Math.max(1, this.#typicalSize(pool).processors);
    const incoming = [...this.#moves.values()].filter(({ to }) => to === pool).length;
    const lacking = this.#parts.jobs.waitingProcessors(pool, now) / size;
    return Math.floor(lacking + 1 - MIN_FILL) - incoming;
  }

  #typicalSize(pool: PoolName): Resources {
    const known = this.#instances.find((one) => one.pool === pool) ?? this.#instances[0];
    return known?.capacity ?? { processors: 1, memoryMb: 1, accelerators: 0 };
  }

  #donors(
    free: readonly PoolInstance[],
    to: PoolName,
    pools: ReadonlyMap<PoolName, PoolPolicy>,
    now: Millis,
  ): readonly PoolInstance[] {
    const off = free.filter(({ pool }) => pools.get(pool)?.standby === true);
    const idle = free.filter(
      ({ pool, executor }) =>
        pool !== to &&
        pools.get(pool)?.standby !== true &&
        this.#parts.jobs.waitingProcessors(pool, now) === 0 &&
        this.#idleFor(executor, now) >= IDLE_BEFORE_LENDING_MS,
    );
    return [...off, ...idle];
  }

  /** Instances of a pool that are not about to leave it. */
  #remaining(pool: PoolName): number {
    return this.#instances.filter((one) => one.pool === pool && !this.#moves.has(one.name)).length;
  }

  #maySpare(pool: PoolName): boolean {
    return this.#remaining(pool) > (this.#firstSizes?.get(pool) ?? 0) * MIN_POOL_SHARE + 1;
  }

  /** Switches off what a pool has beyond its first size and does not use. */
  #park(
    free: readonly PoolInstance[],
    taken: ReadonlySet<string>,
    pools: ReadonlyMap<PoolName, PoolPolicy>,
    now: Millis,
  ): readonly JobDecision[] {
    const standby = [...pools.values()].find((pool) => pool.standby)?.name;
    if (standby === undefined) {
      return [];
    }
    const sizes = new Map(countByPool(this.#instances));
    const decisions: JobDecision[] = [];
    for (const instance of free) {
      const { pool, executor, name } = instance;
      const size = sizes.get(pool) ?? 0;
      const surplus = size > (this.#firstSizes?.get(pool) ?? 0);
      const idle = this.#idleFor(executor, now) >= IDLE_BEFORE_PARKING_MS;
      if (pool !== standby && surplus && idle && !taken.has(name)) {
        sizes.set(pool, size - 1);
        decisions.push(this.#move(instance, standby, now));
      }
    }
    return decisions;
  }

  #move({ name, executor }: PoolInstance, to: PoolName, now: Millis): JobDecision {
    this.#moves.set(name, { to, orderedAt: now, executor });
    this.#cordon(executor, true);
    return { type: 'order', order: { type: 'move', instance: name, pool: to } };
  }

  #cordon(executor: ExecutorId | undefined, cordoned: boolean): void {
    if (executor !== undefined) {
      this.#parts.executors.update(executor, { cordoned });
    }
  }

  #trackIdle(now: Millis): void {
    for (const { info, accounted } of this.#parts.executors.all()) {
      if (!accounted || this.#parts.runs.at(info.id).length > 0) {
        this.#idleSince.delete(info.id);
      } else if (!this.#idleSince.has(info.id)) {
        this.#idleSince.set(info.id, now);
      }
    }
  }

  #idleFor(executor: ExecutorId | undefined, now: Millis): Millis {
    const since = executor === undefined ? undefined : this.#idleSince.get(executor);
    return since === undefined ? 0 : now - since;
  }
}

function countByPool(instances: readonly PoolInstance[]): ReadonlyMap<PoolName, number> {
  const counts = new Map<PoolName, number>();
  instances.forEach(({ pool }) => counts.set(pool, (counts.get(pool) ?? 0) + 1));
  return counts;
}
