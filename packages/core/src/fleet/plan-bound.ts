import type { Millis, PoolName } from '../types/index.js';
import { groupBy, type FleetInstance, type FleetView } from './fleet-view.js';
import { isInWindow, windowMinutes } from './maintenance-window.js';
import type { PlanDefinition } from './plan-definition.js';
import { groupsOf, type PlanGroup } from './plan-groups.js';
import type { WaitReason } from './wait-reasons.js';

/** How long one instance is unavailable in a planned reboot. */
export interface ActDurations {
  readonly drainMs: Millis;
  readonly rebootMs: Millis;
}

export interface PlanBound {
  /** No roll-out within the budgets is shorter. Infinite if a group can never be afforded. */
  readonly lowerBoundMs: Millis;
  /** What makes a group impossible. */
  readonly impossible: readonly WaitReason[];
}

const MINUTE_MS = 60_000;

/**
 * Lower bound of the time of a roll-out that begins at `wallMs`. Each budget bounds the number of
 * instances that are down together, and groups that need more than half of it exclude each other.
 */
export function lowerBound(
  definition: PlanDefinition,
  view: FleetView,
  durations: ActDurations,
  wallMs: Millis,
): PlanBound {
  const groups = groupsOf(definition.byRack, definition.instances);
  const limits = limitsOf(groups, view);
  const impossible = limits.flatMap(shortcoming);
  if (impossible.length > 0) {
    return { lowerBoundMs: Infinity, impossible };
  }
  const byParallel = Math.ceil(groups.length / definition.maxParallel);
  const rounds = Math.max(byParallel, ...limits.map(roundsOf));
  return { lowerBoundMs: timeOf(rounds, definition, durations, wallMs), impossible };
}

/** One budget, and what each group needs of it. */
interface Limit {
  readonly pool: PoolName;
  readonly zone?: string;
  readonly limit: number;
  readonly needs: readonly number[];
}

function limitsOf(groups: readonly PlanGroup[], view: FleetView): readonly Limit[] {
  const instances = groups.flatMap((group) => group.instances);
  const pools = [...groupBy(instances, (instance) => instance.spec.pool).keys()];
  return pools.flatMap((pool) => {
    const spec = view.pool(pool);
    const whole = { pool, limit: spec?.budget.maxUnavailable ?? 0, needs: needsOf(groups, pool) };
    const zones = (spec?.zoneBudgets ?? []).map(({ zone, maxUnavailable }) => {
      return { pool, zone, limit: maxUnavailable, needs: needsOf(groups, pool, zone) };
    });
    return [whole, ...zones];
  });
}

function needsOf(groups: readonly PlanGroup[], pool: PoolName, zone?: string): readonly number[] {
  const counts = ({ spec }: FleetInstance): boolean =>
    spec.pool === pool && (zone === undefined || spec.zone === zone);
  return groups.map((group) => group.instances.filter(counts).length).filter((need) => need > 0);
}

function shortcoming({ pool, zone, limit, needs }: Limit): readonly WaitReason[] {
  const needed = Math.max(0, ...needs);
  const place = zone === undefined ? { pool } : { pool, zone };
  return needed > limit ? [{ type: 'impossible', ...place, needed, limit }] : [];
}

function roundsOf({ limit, needs }: Limit): number {
  const units = needs.reduce((sum, need) => sum + need, 0);
  const exclusive = needs.filter((need) => need * 2 > limit).length;
  return units === 0 ? 0 : Math.max(Math.ceil(units / limit), exclusive);
}

/** Time of so many acts one after the other, each of which must start within the window. */
function timeOf(
  rounds: number,
  { window }: PlanDefinition,
  { drainMs, rebootMs }: ActDurations,
  wallMs: Millis,
): Millis {
  if (window !== undefined && windowMinutes(window) === 0) {
    return Infinity;
  }
  let at = wallMs;
  for (let round = 0; round < rounds; round += 1) {
    while (!isInWindow(window, at)) {
      at = (Math.floor(at / MINUTE_MS) + 1) * MINUTE_MS;
    }
    at += drainMs + rebootMs;
  }
  return at - wallMs;
}
