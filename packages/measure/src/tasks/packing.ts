import { SeededRandom } from '@turmerichoist/core';
import { TaskFleetSimulation } from '@turmerichoist/stand-ins';
import { POOL, allowancesOf, configurationOf, type Deployment } from './deployments.js';
import { FirstComeFleet } from './first-come.js';
import { Workload, type MeasuredTask } from './workload.js';

const RUN_MS = 180_000;
const WARM_UP_MS = 60_000;
const SAMPLE_MS = 1_000;
const MEAN_RUN_MS = 15_000;
/** Tasks kept waiting for each worker, so that the fleet is always in demand. */
const BACKLOG_PER_WORKER = 40;

export interface Packing {
  /** Mean part of all processors that tasks really use. */
  readonly usedByEstimates: number;
  readonly usedByDeclaration: number;
  /** Part of the samples of a worker in which its tasks use more than it has. */
  readonly overloaded: number;
  readonly throttles: number;
  readonly checkpoints: number;
  readonly stops: number;
  readonly finished: number;
}

/** Measures how full the fleet gets with declarations that are far off. */
export function measurePacking(deployment: Deployment, seed: number): Packing {
  const tasks = (): Workload => new Workload(new SeededRandom(seed));
  return {
    ...byEstimates(deployment, tasks()),
    usedByDeclaration: byDeclaration(deployment, tasks()),
  };
}

function byEstimates(
  deployment: Deployment,
  workload: Workload,
): Omit<Packing, 'usedByDeclaration'> {
  const cfg = configurationOf(deployment);
  const allowances = allowancesOf(deployment);
  const fleet = new TaskFleetSimulation({
    pool: POOL,
    cfg,
    allowances,
    stepMs: 100,
    reportMs: 500,
    lagMs: 2_000,
  });
  const capacity = deployment.workers * deployment.processors;
  const counts = { throttle: 0, checkpoint: 0, stop: 0 };
  let open = 0;
  let finished = 0;
  let used = 0;
  let samples = 0;
  let overloaded = 0;
  while (fleet.now < RUN_MS) {
    for (; open < deployment.workers * BACKLOG_PER_WORKER; open += 1) {
      fleet.submit(workload.task(open % deployment.teams, 'normal', MEAN_RUN_MS).spec);
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
      const uses = usesOf(fleet, deployment);
      used += uses.used / capacity;
      overloaded += uses.overloaded / deployment.workers;
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

function usesOf(
  fleet: TaskFleetSimulation,
  { processors }: Deployment,
): { readonly used: number; readonly overloaded: number } {
  let used = 0;
  let overloaded = 0;
  for (const model of fleet.models.values()) {
    const own = model
      .report(Infinity, fleet.now)
      .running.reduce((sum, { usage }) => sum + usage.processors, 0);
    used += Math.min(own, processors);
    overloaded += own > processors ? 1 : 0;
  }
  return { used, overloaded };
}

function byDeclaration(deployment: Deployment, workload: Workload): number {
  const fleet = new FirstComeFleet(deployment);
  const capacity = deployment.workers * deployment.processors;
  const draw = (i: number): MeasuredTask =>
    workload.task(i % deployment.teams, 'normal', MEAN_RUN_MS);
  let used = 0;
  let samples = 0;
  for (let now = 0; now < RUN_MS; now += SAMPLE_MS) {
    for (let i = fleet.queued; i < deployment.workers * BACKLOG_PER_WORKER; i += 1) {
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
