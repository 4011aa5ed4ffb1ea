import type { Millis, PoolName } from '../types/index.js';
import type { FleetInstance, FleetView } from './fleet-view.js';
import type { PoolDemand } from './messages.js';
import type { PoolLoad, PoolPlanner } from './pool-planner.js';
import type { RoundContext } from './round-context.js';
import type { FleetWaitReason } from './wait-reasons.js';

/** Demand reports older than this are ignored, since the pool may have changed meanwhile. */
const DEMAND_STALE_MS = 60_000;

interface ReportedDemand {
  readonly demand: PoolDemand;
  readonly at: Millis;
}

/** Moves instances between spare pools and borrowing pools towards the planner's targets. */
export class PoolMoves {
  readonly #planner: PoolPlanner;
  readonly #reported = new Map<PoolName, ReportedDemand>();
  #targets: ReadonlyMap<PoolName, number> = new Map();

  constructor(planner: PoolPlanner) {
    this.#planner = planner;
  }

  recordDemand(demand: PoolDemand, now: Millis): void {
    this.#reported.set(demand.pool, { demand, at: now });
  }

  /** Recomputes the targets from the last demand reports. Called once for each tick. */
  updateTargets(view: FleetView, now: Millis): void {
    const borrowers = view.pools().filter((pool) => view.pool(pool)?.spare !== true);
    const loads = borrowers.flatMap((pool) => this.#loadOf(pool, view, now));
    const size = loads.reduce((sum, load) => sum + load.size, 0);
    const lenders = view.pools().filter((pool) => view.pool(pool)?.spare === true);
    const members = [...loads.map((load) => load.pool), ...lenders];
    const total = members.reduce((sum, pool) => sum + view.instancesOf(pool).length, 0);
    this.#targets = this.#planner.targets(loads, Math.max(0, total - size), now);
  }

  /** Adds the moves that bring the role's pool closer to its target to the batch. */
  plan(context: RoundContext): void {
    const { role, view } = context;
    const target = this.#targets.get(role);
    const size = view.pool(role)?.size ?? 0;
    const count = countAfterMoves(role, context);
    if (target === undefined || view.pool(role)?.spare === true) {
      return;
    }
    if (target > count) {
      this.#borrow(target - count, context);
    } else if (count > Math.max(target, size)) {
      this.#returnSurplus(count - Math.max(target, size), context);
    }
  }

  #borrow(wanted: number, context: RoundContext): void {
    const { view, role, waits, now } = context;
    const lenders = view.pools().filter((pool) => view.pool(pool)?.spare === true);
    const candidates = lenders.flatMap((pool) => this.#movableInstances(pool, context));
    let reason: FleetWaitReason | undefined = { type: 'no-spare' };
    let moved = 0;
    for (const instance of candidates) {
      if (moved === wanted) {
        return;
      }
      reason = this.#move(instance, role, context);
      moved += reason === undefined ? 1 : 0;
    }
    if (moved < wanted) {
      waits.record({ kind: 'pool', name: role }, reason ?? { type: 'no-spare' }, now);
    }
  }

  #returnSurplus(surplus: number, context: RoundContext): void {
    const { view, role, waits, now } = context;
    const to = mostDepletedLender(view);
    if (to === undefined) {
      return;
    }
    let moved = 0;
    for (const instance of this.#movableInstances(role, context)) {
      if (moved === surplus) {
        return;
      }
      const reason = this.#move(instance, to, context);
      if (reason !== undefined) {
        waits.record({ kind: 'pool', name: role }, reason, now);
      }
      moved += reason === undefined ? 1 : 0;
    }
  }

  #move(
    instance: FleetInstance,
    to: PoolName,
    { batch, role }: RoundContext,
  ): FleetWaitReason | undefined {
    return batch.tryAcquire({ instances: [instance], cause: `move/${role}`, to });
  }

  /** Serving instances of the pool without an entry or request whose zone is in service. */
  #movableInstances(
    pool: PoolName,
    { view, ledger, batch }: RoundContext,
  ): readonly FleetInstance[] {
    const row = batch.budget(pool);
    const held = new Set([...row.taken.map((entry) => entry.instance), ...row.requested]);
    return view.instancesOf(pool).filter(({ name, spec }) => {
      const serves = view.isUp(name) && !spec.cordoned && !view.isZoneOut(spec.zone);
      return serves && !held.has(name) && !ledger.isMoving(name);
    });
  }

  #loadOf(pool: PoolName, view: FleetView, now: Millis): readonly PoolLoad[] {
    const reported = this.#reported.get(pool);
    const instances = view.instancesOf(pool).length;
    const size = view.pool(pool)?.size ?? 0;
    if (reported === undefined || now - reported.at > DEMAND_STALE_MS) {
      return [];
    }
    const { running, waiting, capacity } = reported.demand;
    const perInstance = capacity / Math.max(reported.demand.instances, 1);
    const demand = perInstance > 0 ? (running + waiting) / perInstance : 0;
    return [{ pool, size, instances, demand }];
  }
}

/** The spare pool that is furthest below its declared size. */
function mostDepletedLender(view: FleetView): PoolName | undefined {
  const lenders = view.pools().filter((pool) => view.pool(pool)?.spare === true);
  const deficit = (pool: PoolName): number =>
    (view.pool(pool)?.size ?? 0) - view.instancesOf(pool).length;
  return [...lenders].sort((a, b) => deficit(b) - deficit(a))[0];
}

/** Number of instances in the pool once every move in progress is complete. */
function countAfterMoves(pool: PoolName, { view, ledger }: RoundContext): number {
  const moves = ledger.plannedEntriesIn(pool).filter((entry) => entry.pools.length === 2);
  const targets = new Map(moves.map((entry) => [entry.instance, entry.pools[1]]));
  const members = new Set(view.instancesOf(pool).map((instance) => instance.name));
  for (const [instance, to] of targets) {
    if (to === pool) {
      members.add(instance);
    } else {
      members.delete(instance);
    }
  }
  return members.size;
}
