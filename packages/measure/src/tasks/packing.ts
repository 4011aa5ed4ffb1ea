import { SeededRandom } from '@turmerichoist/core';
import type { TaskFleetSimulation } from '@turmerichoist/stand-ins';
import type { Deployment } from './deployments.js';
import { FirstComeFleet } from './first-come.js';
import { SAMPLED_FLEET_TIMING, simulateFleet } from './simulated-fleet.js';
import { Workload, type WorkloadTask } from './workload.js';

const RUN_MS = 180_000;
const WARM_UP_MS = 60_000;
const SAMPLE_MS = 1_000;
const MEAN_RUN_MS = 15_000;
/** Submitted tasks to keep for each worker, so that some are always waiting. */
const BACKLOG_PER_WORKER = 40;

export interface Packing {
  /** Mean fraction of all processors in use when tasks are placed by estimated usage. */
  readonly usedByEstimates: number;
  /** The same when tasks are placed by declared resources, first come, first served. */
  readonly usedByDeclaration: number;
  /** Fraction of samples in which the tasks of a worker use more processors than it has. */
  readonly overloaded: number;
  readonly throttles: number;
  readonly checkpoints: number;
  readonly stops: number;
  readonly finished: number;
}

/** Measures the utilization of the fleet when declared resources differ a lot from actual use. */
export function measurePacking(deployment: Deployment, seed: number): Packing {
  const newWorkload = (): Workload => new Workload(new SeededRandom(seed));
  return {
    ...measureWithEstimates(deployment, newWorkload()),
    usedByDeclaration: measureWithDeclarations(deployment, newWorkload()),
  };
}

function measureWithEstimates(
  deployment: Deployment,
  workload: Workload,
): Omit<Packing, 'usedByDeclaration'> {
  const fleet = simulateFleet(deployment, SAMPLED_FLEET_TIMING);
  const capacity = deployment.workers * deployment.processors;
  const counts = { throttle: 0, checkpoint: 0, stop: 0 };
  let open = 0;
  let finished = 0;
  let used = 0;
  let samples = 0;
  let overloaded = 0;
  while (fleet.now < RUN_MS) {
    for (; open < deployment.workers * BACKLOG_PER_WORKER; open += 1) {
      fleet.submit(workload.drawTask(open % deployment.teams, 'normal', MEAN_RUN_MS).spec);
    }
    fleet.step(SAMPLE_MS);
    for (const { decision } of fleet.decisions) {
      if (decision.type === 'stop') {
        counts[decision.mode] += 1;
      }
    }
    const ended = fleet.log.filter(({ type }) => type === 'ended').length;
    open -= ended;
    finished += ended;
    fleet.decisions.length = 0;
    fleet.log.length = 0;
    if (fleet.now > WARM_UP_MS) {
      const sample = sumUsage(fleet, deployment);
      used += sample.used / capacity;
      overloaded += sample.overloaded / deployment.workers;
      samples += 1;
    }
  }
  return {
    usedByEstimates: used / samples,
    overloaded: overloaded / samples,
    throttles: counts.throttle,
    checkpoints: counts.checkpoint,
    stops: counts.stop,
    finished,
  };
}

function sumUsage(
  fleet: TaskFleetSimulation,
  { processors }: Deployment,
): { readonly used: number; readonly overloaded: number } {
  let used = 0;
  let overloaded = 0;
  for (const model of fleet.models.values()) {
    const workerUsage = model
      .report(Infinity, fleet.now)
      .running.reduce((sum, { usage }) => sum + usage.processors, 0);
    used += Math.min(workerUsage, processors);
    overloaded += workerUsage > processors ? 1 : 0;
  }
  return { used, overloaded };
}

function measureWithDeclarations(deployment: Deployment, workload: Workload): number {
  const fleet = new FirstComeFleet(deployment);
  const capacity = deployment.workers * deployment.processors;
  const draw = (i: number): WorkloadTask =>
    workload.drawTask(i % deployment.teams, 'normal', MEAN_RUN_MS);
  let used = 0;
  let samples = 0;
  for (let now = 0; now < RUN_MS; now += SAMPLE_MS) {
    for (let i = fleet.queueLength; i < deployment.workers * BACKLOG_PER_WORKER; i += 1) {
      fleet.submit(draw(i));
    }
    fleet.step(SAMPLE_MS);
    if (now >= WARM_UP_MS) {
      used += fleet.totals().used / capacity;
      samples += 1;
    }
  }
  return used / samples;
}
