import type { Millis, PoolName } from '../types/index.js';
import { groupBy, type FleetView } from './fleet-view.js';
import { isInWindow, windowMinutes } from './maintenance-window.js';
import type { PlanDefinition } from './plan-definition.js';
import { groupsOf, type PlanGroup } from './plan-groups.js';
import type { FleetWaitReason } from './wait-reasons.js';

/** Durations of the two steps of a planned reboot, during which the instance is unavailable. */
export interface DisruptionDurations {
  readonly drainMs: Millis;
  readonly rebootMs: Millis;
}

export interface PlanBound {
  /** No rollout within the budgets is shorter. Infinite if some group exceeds a whole budget. */
  readonly lowerBoundMs: Millis;
  /** A reason for each budget that is smaller than what some group needs of it. */
  readonly impossible: readonly FleetWaitReason[];
}

const MINUTE_MS = 60_000;

/**
 * Lower bound on the duration of a rollout that starts at `wallMs`. Each budget limits how many
 * instances are down at once, and groups that need more than half of it can't be down together.
 */
export function lowerBound(
  definition: PlanDefinition,
  view: FleetView,
  durations: DisruptionDurations,
  wallMs: Millis,
): PlanBound {
  const groups = groupsOf(definition.byRack, definition.instances);
  const limits = budgetLimits(groups, view);
  const impossible = limits.flatMap(impossibleReasons);
  if (impossible.length > 0) {
    return { lowerBoundMs: Infinity, impossible };
  }
  const byParallel = Math.ceil(groups.length / definition.maxParallel);
  const rounds = Math.max(byParallel, ...limits.map(minRounds));
  return { lowerBoundMs: rolloutTime(rounds, definition, durations, wallMs), impossible };
}

/** One budget, and how many units of it each group needs. */
interface BudgetLimit {
  readonly pool: PoolName;
  readonly zone?: string;
  readonly limit: number;
  readonly needs: readonly number[];
}

function budgetLimits(groups: readonly PlanGroup[], view: FleetView): readonly BudgetLimit[] {
  const members = groups.flatMap(({ instances }, group) =>
    instances.map(({ spec: { pool, zone } }) => ({ group, pool, zone })),
  );
  const byPool = groupBy(members, ({ pool }) => pool);
  return [...byPool].flatMap(([pool, inPool]) => {
    const { budget, zoneBudgets = [] } = view.pool(pool) ?? {};
    const whole = { pool, limit: budget?.maxUnavailable ?? 0, needs: groupNeeds(inPool) };
    if (zoneBudgets.length === 0) {
      return [whole];
    }
    const byZone = groupBy(inPool, ({ zone }) => zone);
    const zones = zoneBudgets.map(({ zone, maxUnavailable }) => {
      return { pool, zone, limit: maxUnavailable, needs: groupNeeds(byZone.get(zone) ?? []) };
    });
    return [whole, ...zones];
  });
}

/** How many of the given instances each group takes down; groups without any are left out. */
function groupNeeds(members: readonly { readonly group: number }[]): readonly number[] {
  const counts = new Map<number, number>();
  for (const { group } of members) {
    counts.set(group, (counts.get(group) ?? 0) + 1);
  }
  return [...counts.values()];
}

function impossibleReasons({ pool, zone, limit, needs }: BudgetLimit): readonly FleetWaitReason[] {
  const needed = Math.max(0, ...needs);
  const place = zone === undefined ? { pool } : { pool, zone };
  return needed > limit ? [{ type: 'impossible', ...place, needed, limit }] : [];
}

function minRounds({ limit, needs }: BudgetLimit): number {
  const units = needs.reduce((sum, need) => sum + need, 0);
  const exclusive = needs.filter((need) => need * 2 > limit).length;
  return units === 0 ? 0 : Math.max(Math.ceil(units / limit), exclusive);
}

/** Duration of `rounds` consecutive reboots, each of which must start within the window. */
function rolloutTime(
  rounds: number,
  { window }: PlanDefinition,
  { drainMs, rebootMs }: DisruptionDurations,
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
