import type { Configuration } from '../resources/index.js';
import type { Millis, PlanName } from '../types/index.js';
import { FixedBuffer } from './fixed-buffer.js';
import { FleetDecider } from './fleet-decider.js';
import { FleetSimulation } from './fleet-simulation.js';
import { FleetView } from './fleet-view.js';
import { lowerBound, type DisruptionDurations, type PlanBound } from './plan-bound.js';
import { declaredPlan } from './plan-definition.js';

export interface PlanEstimate extends PlanBound {
  /** Time until the plan ends if nothing fails. Infinite if it doesn't end within the horizon. */
  readonly finishMs: Millis;
}

const TICK_MS = 1_000;
const COMMIT_MS = 10;
/** Multiple of the lower bound after which a simulated plan is reported as never ending. */
const HORIZON_FACTOR = 20;

/** Estimates a plan by running it on a simulated fleet without failures. Undefined if not found. */
export function estimatePlan(
  cfg: Configuration,
  name: PlanName,
  durations: DisruptionDurations,
  wallMs: Millis,
): PlanEstimate | undefined {
  const view = new FleetView();
  view.configure(cfg);
  const definition = declaredPlan(view, name);
  if (definition === undefined) {
    return undefined;
  }
  const bound = lowerBound(definition, view, durations, wallMs);
  if (bound.lowerBoundMs === Infinity) {
    return { ...bound, finishMs: Infinity };
  }
  const decider = new FleetDecider({ poolPlanner: new FixedBuffer(0) });
  const simulation = new FleetSimulation({
    cfg: onlyPlan(cfg, name),
    decider,
    ...durations,
    tickMs: TICK_MS,
    commitMs: COMMIT_MS,
    startWallMs: wallMs,
  });
  simulation.start();
  const horizon = HORIZON_FACTOR * (bound.lowerBoundMs + durations.drainMs + durations.rebootMs);
  const isDone = (): boolean => decider.planRow(name)?.remaining.length === 0;
  simulation.run(horizon, isDone);
  return { ...bound, finishMs: isDone() ? simulation.now : Infinity };
}

/** The configuration with this plan as its only one, in state `running`. */
function onlyPlan(cfg: Configuration, name: PlanName): Configuration {
  const changes = cfg
    .list('plan')
    .map((plan) =>
      plan.name === name
        ? ({ op: 'put', resource: { ...plan, spec: { ...plan.spec, state: 'running' } } } as const)
        : ({ op: 'delete', kind: 'plan', name: plan.name } as const),
    );
  return cfg.with(cfg.revision, changes);
}
