import { SeededRandom, type Millis } from '@turmerichoist/core';
import type { TaskFleetSimulation, TaskFleetSimulationOptions } from '@turmerichoist/stand-ins';
import type { Deployment } from './deployments.js';
import { simulateFleet } from './simulated-fleet.js';
import { Workload } from './workload.js';

const MEAN_RUN_MS = 20_000;
const FILL_MS = 15_000;
const RUN_MS = 10_000;
const STEP_MS = 50;
const BACKLOG_PER_WORKER = 60;
const SIZES: readonly (readonly [workers: number, teams: number])[] = [
  [35, 6],
  [35, 300],
  [190, 50],
  [370, 150],
  [740, 6],
  [740, 300],
];

export interface DecisionTime {
  readonly workers: number;
  readonly teams: number;
  readonly starts: number;
  /** Time that the decider spent on all events, divided by the number of leases planned. */
  readonly microsPerStart: number;
  /** Time that the decider spent on scheduling ticks, divided by the number of leases planned. */
  readonly tickMicrosPerStart: number;
  /** Fraction of one core that the decider uses at this rate. */
  readonly core: number;
}

/** Measures the decider on a full fleet with waiting tasks of every team, for each size. */
export function measureDecisionTime(
  deployment: Deployment,
  seed: number,
  clock: () => Millis,
): readonly DecisionTime[] {
  return SIZES.map(([workers, teams]) =>
    timeDecisions({ ...deployment, workers, teams, zones: workers > 100 ? 8 : 3 }, seed, clock),
  );
}

/** Measures one size. `onMeasured` is called before the decider and its state are released. */
export function timeDecisions(
  deployment: Deployment,
  seed: number,
  clock: () => Millis,
  onMeasured: (fleet: TaskFleetSimulation) => void = () => undefined,
): DecisionTime {
  const workload = new Workload(new SeededRandom(seed));
  const spentMs = { all: 0, ticks: 0 };
  const timeDecision: TaskFleetSimulationOptions['interceptDecision'] = (event, decide) => {
    const before = clock();
    const decisions = decide();
    const elapsed = clock() - before;
    spentMs.all += elapsed;
    spentMs.ticks += event.type === 'tick' ? elapsed : 0;
    return decisions;
  };
  const fleet = simulateFleet(deployment, {
    stepMs: STEP_MS,
    reportMs: 500,
    interceptDecision: timeDecision,
  });
  let open = 0;
  let starts = 0;
  for (let now = 0; now < FILL_MS + RUN_MS; now += STEP_MS) {
    if (now === FILL_MS) {
      spentMs.all = 0;
      spentMs.ticks = 0;
      starts = 0;
    }
    for (; open < deployment.workers * BACKLOG_PER_WORKER; open += 1) {
      fleet.submit(workload.drawTask(open % deployment.teams, 'normal', MEAN_RUN_MS).spec);
    }
    fleet.step(STEP_MS);
    starts += fleet.log.filter(({ type }) => type === 'leased').length;
    open -= fleet.log.filter(({ type }) => type === 'ended').length;
    fleet.log.length = 0;
    fleet.decisions.length = 0;
    fleet.answers.length = 0;
  }
  onMeasured(fleet);
  const { workers, teams } = deployment;
  return {
    workers,
    teams,
    starts,
    microsPerStart: (spentMs.all * 1_000) / Math.max(1, starts),
    tickMicrosPerStart: (spentMs.ticks * 1_000) / Math.max(1, starts),
    core: spentMs.all / RUN_MS,
  };
}
