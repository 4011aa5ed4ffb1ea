import type { PlanSpec } from '../resources/index.js';
import type { Millis, PlanName, PoolName } from '../types/index.js';
import type { FleetInstance, FleetView } from './fleet-view.js';
import { poolsOf, selectInstances } from './plan-groups.js';
import type { PlanRow } from './rows.js';

/** A maintenance plan as used by the planner: declared by an operator or built in. */
export interface PlanDefinition {
  readonly name: PlanName;
  /** Key of the plan's selection. The plan restarts when it changes. */
  readonly selection: string;
  readonly instances: readonly FleetInstance[];
  readonly byRack: boolean;
  readonly maxParallel: number;
  readonly window: PlanSpec['window'];
  readonly state: PlanSpec['state'];
  /** Configuration version of the declaration; 0 for a built-in plan. */
  readonly declaredVersion: number;
  /** Number of instances that may have been started by `wallMs`; pace is unlimited if undefined. */
  readonly allowance?: (row: PlanRow, wallMs: Millis) => number;
  /** Time from the start of a plan to its next start; it runs once if undefined. */
  readonly cycleMs?: Millis;
}

/** Fraction of the cycle within which all starts are due. The rest absorbs delays. */
const CYCLE_START_FRACTION = 0.9;

/** Contains a character that names of declared plans can't have, so the two never collide. */
function cyclePlanName(pool: PoolName): PlanName {
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
      const elapsed = (wallMs - row.startedWallMs) / (cycleMs * CYCLE_START_FRACTION);
      return Math.ceil(row.total * Math.min(Math.max(elapsed, 0), 1));
    },
    cycleMs,
  };
}

/** The role that leads a plan: the recorded one if its pool exists, else its first pool by name. */
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
