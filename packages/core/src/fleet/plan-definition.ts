import type { PlanSpec } from '../resources/index.js';
import type { Millis, PlanName, PoolName } from '../types/index.js';
import type { FleetInstance, FleetView } from './fleet-view.js';
import { poolsOf, selectInstances } from './plan-groups.js';
import type { PlanRow } from './rows.js';

/** A plan as the planner works on it, declared by an operator or built in. */
export interface PlanDefinition {
  readonly name: PlanName;
  /** Changes when the plan must start again. */
  readonly selection: string;
  readonly instances: readonly FleetInstance[];
  readonly byRack: boolean;
  readonly maxParallel: number;
  readonly window: PlanSpec['window'];
  readonly state: PlanSpec['state'];
  /** Configuration version of the declaration; 0 for a plan that is built in. */
  readonly declaredVersion: number;
  /** Instances that may have been started by now. Without it, pace is not limited. */
  readonly allowance?: (row: PlanRow, wallMs: Millis) => number;
  /** Time after which a plan that has ended starts again. */
  readonly cycleMs?: Millis;
}

/** Part of the cycle in which all starts fall due, so that delays don't overrun the cycle. */
const CYCLE_START_PART = 0.9;

/** The name has a character that declared plans can't have, so it never collides. */
export function cyclePlanName(pool: PoolName): PlanName {
  return `cycle:${pool}`;
}

export function declaredPlan(view: FleetView, name: PlanName): PlanDefinition | undefined {
  const plan = view.cfg.get('plan', name);
  if (plan === undefined) {
    return undefined;
  }
  const { select, action, maxParallel, window, state } = plan.spec;
  return {
    name,
    selection: JSON.stringify({ select, action }),
    instances: selectInstances(view, select),
    byRack: select.racks !== undefined,
    maxParallel,
    window,
    state,
    declaredVersion: plan.version,
  };
}

/** Continuous maintenance of one pool: every instance once in each cycle, evenly paced. */
export function cyclePlan(view: FleetView, pool: PoolName, cycleMs: Millis): PlanDefinition {
  return {
    name: cyclePlanName(pool),
    selection: 'cycle',
    instances: view.instancesOf(pool),
    byRack: false,
    maxParallel: Number.MAX_SAFE_INTEGER,
    window: undefined,
    state: 'running',
    declaredVersion: 0,
    allowance: (row, wallMs) => {
      const elapsed = (wallMs - row.startedWallMs) / (cycleMs * CYCLE_START_PART);
      return Math.ceil(row.total * Math.min(Math.max(elapsed, 0), 1));
    },
    cycleMs,
  };
}

/** The role that leads a plan: the one on record, else the first of its pools by name. */
export function leaderOf(
  definition: PlanDefinition,
  row: PlanRow | undefined,
  view: FleetView,
): PoolName | undefined {
  const recorded = row?.role;
  return recorded !== undefined && view.pool(recorded) !== undefined
    ? recorded
    : poolsOf(definition.instances)[0];
}
