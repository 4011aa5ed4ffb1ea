import { TaskFleetSimulation, type TaskFleetSimulationOptions } from '@turmerichoist/stand-ins';
import { POOL, allowancesOf, configurationOf, type Deployment } from './deployments.js';

type Timing = Omit<TaskFleetSimulationOptions, 'pool' | 'cfg' | 'allowances'>;

/** Timing of the fleets on which utilization and shares are sampled. */
export const SAMPLED_FLEET_TIMING: Timing = { stepMs: 100, reportMs: 500, lagMs: 2_000 };

/** Creates the fleet of a deployment, in which every team may use all workers. */
export function simulateFleet(deployment: Deployment, timing: Timing): TaskFleetSimulation {
  return new TaskFleetSimulation({
    pool: POOL,
    cfg: configurationOf(deployment),
    allowances: allowancesOf(deployment),
    ...timing,
  });
}
