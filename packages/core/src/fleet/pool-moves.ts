import type { Millis, PoolName } from '../types/index.js';
import type { FleetInstance, FleetView } from './fleet-view.js';
import type { PoolDemand } from './messages.js';
import type { PoolLoad, PoolPlanner } from './pool-planner.js';
import type { RoundContext } from './round-context.js';
import type { WaitReason } from './wait-reasons.js';

/** Demand reports older than this are not acted on, since a pool may have changed meanwhile. */
const DEMAND_STALE_MS = 60_000;

interface Reported {
  readonly demand: PoolDemand;
  readonly at: Millis;
}

/** Moves instances between spare pools and pools under burst, towards the planner's targets. */
export class PoolMoves {
  readonly #planner: PoolPlanner;
  readonly #reported = new Map<PoolName, Reported>();
  #targets: ReadonlyMap<PoolName, number> = new Map();

  constructor(planner: PoolPlanner) {
    this.#planner = planner;
  }

  report(demand: PoolDemand, now: Millis): void {
    this.#reported.set(demand.pool, { demand, at: now });
  }

  /** Brings the targets up to date. Called once for each tick. */
  retarget(view: FleetView, now: Millis): void {
    const borrowers = view.pools().filter((pool) => view.pool(pool)?.spare !== true);
    const loads = borrowers.flatMap((pool) => this.#load(pool, view, now));
    const size = loads.reduce((sum, load) => sum + load.size, 0);
    const lenders = view.pools().filter((pool) => view.pool(pool)?.spare === true);
    const members = [...loads.map((load) => load.pool), ...lenders];
    const total = members.reduce((sum, pool) => sum + view.instancesOf(pool).length, 0);
    this.#targets = this.#planner.targets(loads, Math.max(0, total - size), now);
  }

  /** Takes the moves that lead the role's pool towards its target. */
  plan(context: RoundContext): void {
    const { role, view } = context;
    const target = this.#targets.get(role);
    const size = view.pool(role)?.size ?? 0;
    const count = countWithMoves(role, context);
    if (target === undefined || view.pool(role)?.spare === true) {
      return;
    }
    if (target > count) {
      this.#borrow(target - count, context);
    } else if (count > Math.max(target, size)) {
      this.#giveBack(count - Math.max(target, size), context);
    }
  }

  #borrow(wanted: number, context: RoundContext): void {
    const { view, role, waits, now } = context;
    const lenders = view.pools().filter((pool) => view.pool(pool)?.spare === true);
    const candidates = lenders.flatMap((pool) => this.#movable(pool, context));
    let reason: WaitReason | undefined = { type: 'no-spare' };
    let moved = 0;
    for (const instance of candidates) {
      if (moved === wanted) {
        return;
      }
      reason = this.#move(instance, role, context);
      moved += reason === undefined ? 1 : 0;
    }
    if (moved < wanted) {
      waits.note({ kind: 'pool', name: role }, reason ?? { type: 'no-spare' }, now);
    }
  }

  #giveBack(surplus: number, context: RoundContext): void {
    const { view, role, waits, now } = context;
    const to = neediestLender(view);
    if (to === undefined) {
      return;
    }
    let moved = 0;
    for (const instance of this.#movable(role, context)) {
      if (moved === surplus) {
        return;
      }
      const reason = this.#move(instance, to, context);
      if (reason !== undefined) {
        waits.note({ kind: 'pool', name: role }, reason, now);
      }
      moved += reason === undefined ? 1 : 0;
    }
  }

  #move(
    instance: FleetInstance,
    to: PoolName,
    { batch, role }: RoundContext,
  ): WaitReason | undefined {
    return batch.tryTake({ instances: [instance], cause: `move/${role}`, to });
  }

  /** Instances that work, that no other act holds, and whose zone is in service. */
  #movable(pool: PoolName, { view, ledger, batch }: RoundContext): readonly FleetInstance[] {
    const row = batch.budget(pool);
    const held = new Set([...row.taken.map((entry) => entry.instance), ...row.requested]);
    return view.instancesOf(pool).filter(({ name, spec }) => {
      const serves = view.isUp(name) && !spec.cordoned && !view.isZoneOut(spec.zone);
      return serves && !held.has(name) && !ledger.isMoving(name);
    });
  }

  #load(pool: PoolName, view: FleetView, now: Millis): readonly PoolLoad[] {
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

/** The spare pool that lacks the most instances of its declared size. */
function neediestLender(view: FleetView): PoolName | undefined {
  const lenders = view.pools().filter((pool) => view.pool(pool)?.spare === true);
  const lack = (pool: PoolName): number =>
    (view.pool(pool)?.size ?? 0) - view.instancesOf(pool).length;
  return [...lenders].sort((a, b) => lack(b) - lack(a))[0];
}

/** Instances of the pool as they will be when the configuration shows every move under way. */
function countWithMoves(pool: PoolName, { view, ledger }: RoundContext): number {
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
