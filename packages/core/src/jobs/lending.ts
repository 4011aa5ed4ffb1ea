import { NO_RESOURCES, add } from '../tasks/resource-arithmetic.js';
import type { Resources } from '../tasks/model.js';
import type { Millis, PoolName } from '../types/index.js';
import type { CellTables } from './cell-tables.js';
import { IdleTimes } from './idle-times.js';
import type { InstanceOrder, InstanceOrderOutcome, JobDecision, PoolInstance } from './messages.js';
import type { ExecutorId, PoolPolicy } from './model.js';
import type { OrderHandover } from './order-handover.js';

/** Time without runs after which an instance may be lent to another pool. */
const IDLE_BEFORE_LENDING_MS: Millis = 1_000;
/** Time without runs after which a surplus instance is moved to the standby pool. */
const IDLE_BEFORE_STANDBY_MS: Millis = 5_000;
/** Time after which a move that the list of instances does not show is given up. */
const MOVE_TIMEOUT_MS: Millis = 6_000;
/** Fraction of an instance that waiting tasks must fill before the pool gets another one. */
const MIN_FILL_FRACTION = 0.5;
/** Fraction of its initial size below which a pool lends nothing. */
const MIN_POOL_SHARE = 0.5;

interface PendingMove {
  readonly to: PoolName;
  readonly orderedAt: Millis;
  readonly executor: ExecutorId | undefined;
}

export interface InstanceLenderOptions {
  /** Pool sizes as the first owner saw them, before any instance was lent; undefined for that one. */
  readonly poolSizes?: ReadonlyMap<PoolName, number>;
  /** Executors of the former owner. */
  readonly inheritedExecutors?: readonly ExecutorId[];
}

/**
 * Lends idle instances to pools whose tasks wait for capacity, those of standby pools first, and
 * moves surplus instances to the standby pool.
 */
export class InstanceLender {
  readonly #tables: CellTables;
  readonly #handover: OrderHandover;
  #instances: readonly PoolInstance[] = [];
  readonly #pendingMoves = new Map<string, PendingMove>();
  readonly #idleTimes: IdleTimes;
  /** Processors that pending tasks lack, by pool, as of the present plan. */
  readonly #waiting = new Map<PoolName, number>();
  /** Processors that pools can lend beside what their held tasks need, as of the present plan. */
  readonly #spare = new Map<PoolName, number>();
  /** Number of instances of each pool before any was lent. */
  #initialSizes: ReadonlyMap<PoolName, number> | undefined;

  constructor(parts: CellTables, handover: OrderHandover, options: InstanceLenderOptions) {
    this.#tables = parts;
    this.#handover = handover;
    this.#initialSizes = options.poolSizes;
    const { inheritedExecutors = [] } = options;
    this.#idleTimes = new IdleTimes(parts, inheritedExecutors, IDLE_BEFORE_LENDING_MS);
  }

  get initialSizes(): ReadonlyMap<PoolName, number> | undefined {
    return this.#initialSizes;
  }

  /** `requestedAt`: when the list was requested. One requested before a move does not show it. */
  setInstances(instances: readonly PoolInstance[], requestedAt: Millis): void {
    this.#instances = instances;
    this.#initialSizes ??= countByPool(instances);
    for (const [name, move] of [...this.#pendingMoves]) {
      const instance = instances.find((one) => one.name === name);
      const arrived = instance?.pool === move.to && instance.state === 'up';
      if (requestedAt > move.orderedAt && arrived) {
        this.#pendingMoves.delete(name);
      } else if (requestedAt - move.orderedAt > MOVE_TIMEOUT_MS) {
        this.#pendingMoves.delete(name);
        this.#cordon(move.executor, false);
      }
    }
  }

  /** Instances as last listed. */
  get instances(): readonly PoolInstance[] {
    return this.#instances;
  }

  /** Number of instances on their way to a pool, also by order of an earlier owner. */
  incomingCount(pool: PoolName): number {
    const ordered = [...this.#pendingMoves.values()].filter(({ to }) => to === pool);
    const inherited = this.#instances.filter(
      (one) => one.state === 'moving' && one.pool === pool && !this.#pendingMoves.has(one.name),
    );
    return ordered.length + inherited.length;
  }

  /** Capacity that is on its way to a pool, is being maintained there or can be lent to it now. */
  comingCapacity(pool: PoolName, pools: ReadonlyMap<PoolName, PoolPolicy>, now: Millis): Resources {
    const coming = this.#instances.filter(({ name, pool: present, state }) => {
      const to = this.#pendingMoves.get(name)?.to;
      return to === undefined
        ? present === pool && (state === 'moving' || state === 'maintenance')
        : to === pool;
    });
    const lendable = this.#lendable(pool, pools, now);
    return [...coming, ...lendable].reduce((sum, one) => add(sum, one.capacity), NO_RESOURCES);
  }

  /** Instances that could be moved to a pool now. */
  #lendable(
    to: PoolName,
    pools: ReadonlyMap<PoolName, PoolPolicy>,
    now: Millis,
  ): readonly PoolInstance[] {
    const unmoved = this.#instances.filter(
      ({ name, pool, state }) => state === 'up' && pool !== to && !this.#pendingMoves.has(name),
    );
    const left = new Map<PoolName, number>();
    return this.#donors(unmoved, to, pools, now).filter(({ pool }) => {
      if (pools.get(pool)?.standby === true) {
        return true;
      }
      const count = left.get(pool) ?? this.#remainingCount(pool) - this.#leastSize(pool);
      left.set(pool, count - 1);
      return count > 0;
    });
  }

  /** The executor that ran on an instance when the order to move it was sent. */
  orderedExecutor(instance: string): ExecutorId | undefined {
    return this.#pendingMoves.get(instance)?.executor;
  }

  answered(order: InstanceOrder, outcome: InstanceOrderOutcome): void {
    const move = this.#pendingMoves.get(order.instance);
    if (order.type !== 'move' || move === undefined) {
      return;
    }
    if (outcome === 'busy' || outcome === 'impossible' || outcome === 'not-sent') {
      this.#pendingMoves.delete(order.instance);
      this.#cordon(move.executor, false);
    }
  }

  /** `reserved`: whether an instance is being maintained or waits for it, and must not be moved. */
  plan(
    pools: ReadonlyMap<PoolName, PoolPolicy>,
    reserved: (instance: string) => boolean,
    now: Millis,
  ): readonly JobDecision[] {
    this.#idleTimes.track(now);
    this.#waiting.clear();
    this.#spare.clear();
    if (this.#handover.holdsAll(now)) {
      return [];
    }
    const free = this.#instances.filter(
      ({ name, state }) =>
        state === 'up' &&
        !this.#pendingMoves.has(name) &&
        !this.#handover.isHeld(name, now) &&
        !reserved(name),
    );
    const decisions: JobDecision[] = [];
    const taken = new Set<string>();
    for (const { pool, count } of this.#shortages(pools, now)) {
      let missing = count;
      for (const donor of this.#donors(free, pool, pools, now)) {
        // Each move reduces what the donor's pool can still lend.
        const isStandby = pools.get(donor.pool)?.standby === true;
        if (
          missing > 0 &&
          !taken.has(donor.name) &&
          (isStandby || this.#tryTakeFromPool(donor, now))
        ) {
          taken.add(donor.name);
          missing -= 1;
          decisions.push(this.#move(donor, pool, now));
        }
      }
    }
    return [...decisions, ...this.#returnSurplus(free, taken, pools, now)];
  }

  /** Number of instances that each pool is short of, largest shortage first. */
  #shortages(
    pools: ReadonlyMap<PoolName, PoolPolicy>,
    now: Millis,
  ): readonly { readonly pool: PoolName; readonly count: number }[] {
    return [...pools.values()]
      .filter(({ standby }) => !standby)
      .map(({ name }) => ({ pool: name, count: this.#shortage(name, now) }))
      .filter(({ count }) => count > 0)
      .sort((a, b) => b.count - a.count);
  }

  #shortage(pool: PoolName, now: Millis): number {
    const size = Math.max(1, this.#typicalCapacity(pool).processors);
    const needed = this.#waitingProcessors(pool, now) / size;
    return Math.floor(needed + 1 - MIN_FILL_FRACTION) - this.incomingCount(pool);
  }

  /** Counted once a plan: a plan starts no tasks, so that the number does not change meanwhile. */
  #waitingProcessors(pool: PoolName, now: Millis): number {
    const known = this.#waiting.get(pool) ?? this.#missingProcessors(pool, now);
    this.#waiting.set(pool, known);
    return known;
  }

  /** Tasks that are held may wait beside free capacity, which they will take. */
  #missingProcessors(pool: PoolName, now: Millis): number {
    const { startable, held } = this.#tables.jobs.waitingProcessors(pool, now);
    return startable + (held === 0 ? 0 : Math.max(0, held - this.#freeProcessors(pool, now)));
  }

  #freeProcessors(pool: PoolName, now: Millis): number {
    const { executors } = this.#tables;
    return executors
      .ofPool(pool)
      .filter((state) => executors.isSchedulable(state, now))
      .reduce((free, state) => free + executors.freeCapacity(state).processors, 0);
  }

  #typicalCapacity(pool: PoolName): Resources {
    const known = this.#instances.find((one) => one.pool === pool) ?? this.#instances[0];
    return known?.capacity ?? { processors: 1, memoryMb: 1, accelerators: 0 };
  }

  #donors(
    free: readonly PoolInstance[],
    to: PoolName,
    pools: ReadonlyMap<PoolName, PoolPolicy>,
    now: Millis,
  ): readonly PoolInstance[] {
    const standbyInstances = free.filter(({ pool }) => pools.get(pool)?.standby === true);
    const idle = free.filter(
      ({ pool, executor }) =>
        pool !== to &&
        pools.get(pool)?.standby !== true &&
        this.#waitingProcessors(pool, now) === 0 &&
        this.#idleTimes.idleFor(executor, now) >= IDLE_BEFORE_LENDING_MS,
    );
    return [...standbyInstances, ...idle];
  }

  /** Number of a pool's instances without a pending move. */
  #remainingCount(pool: PoolName): number {
    return this.#instances.filter((one) => one.pool === pool && !this.#pendingMoves.has(one.name))
      .length;
  }

  /** Number of instances down to which a pool lends. */
  #leastSize(pool: PoolName): number {
    return (this.#initialSizes?.get(pool) ?? 0) * MIN_POOL_SHARE + 1;
  }

  /** Takes an idle instance from what its pool can lend in this plan; false if none is left. */
  #tryTakeFromPool({ pool, capacity }: PoolInstance, now: Millis): boolean {
    const spare = this.#spareProcessors(pool, now) - capacity.processors;
    if (spare < 0 || this.#remainingCount(pool) <= this.#leastSize(pool)) {
      return false;
    }
    this.#spare.set(pool, spare);
    return true;
  }

  #spareProcessors(pool: PoolName, now: Millis): number {
    const known = this.#spare.get(pool);
    if (known !== undefined) {
      return known;
    }
    const { held } = this.#tables.jobs.waitingProcessors(pool, now);
    return held === 0 ? Infinity : this.#freeProcessors(pool, now) - held;
  }

  /** Moves idle instances that exceed their pool's initial size to the standby pool. */
  #returnSurplus(
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
      const surplus = size > (this.#initialSizes?.get(pool) ?? 0);
      const idle = this.#idleTimes.idleFor(executor, now) >= IDLE_BEFORE_STANDBY_MS;
      if (pool !== standby && surplus && idle && !taken.has(name)) {
        sizes.set(pool, size - 1);
        decisions.push(this.#move(instance, standby, now));
      }
    }
    return decisions;
  }

  #move({ name, executor }: PoolInstance, to: PoolName, now: Millis): JobDecision {
    this.#pendingMoves.set(name, { to, orderedAt: now, executor });
    this.#cordon(executor, true);
    return { type: 'order', order: { type: 'move', instance: name, pool: to } };
  }

  #cordon(executor: ExecutorId | undefined, cordoned: boolean): void {
    if (executor !== undefined) {
      this.#tables.executors.update(executor, { cordoned });
    }
  }
}

function countByPool(instances: readonly PoolInstance[]): ReadonlyMap<PoolName, number> {
  const counts = new Map<PoolName, number>();
  instances.forEach(({ pool }) => counts.set(pool, (counts.get(pool) ?? 0) + 1));
  return counts;
}
