import {
  FixedBuffer,
  FleetDecider,
  FleetSimulation,
  FleetView,
  SeededRandom,
  declaredPlan,
  lowerBound,
} from '@turmerichoist/core';
import { configurationOf, rackCount, type Deployment, type Document } from './deployments.js';
import { renderTable, type Cell } from './table.js';

const DURATIONS = { drainMs: 120_000, rebootMs: 300_000 };
const MINUTE_MS = 60_000;
const HORIZON_MS = 7 * 24 * 60 * MINUTE_MS;
/** Mean time between instance failures during a plan, much shorter than in normal operation. */
const MEAN_FAILURE_INTERVAL_MS = 10 * MINUTE_MS;
const REPAIR_MS = 15 * MINUTE_MS;
const PLAN = 'p';

export interface PlanOutcome {
  readonly minutes: number;
  readonly boundMinutes: number;
  readonly drains: number;
  /** Drains of an instance after its first. */
  readonly repeatedDrains: number;
}

/** Compares roll-out time with the lower bound, for the planner and for one rack at a time. */
export function measurePlans(deployment: Deployment, seed: number): string {
  const racks = Array.from({ length: rackCount(deployment) }, (_, index) => `r${index}`);
  const selections: readonly (readonly [string, Document])[] = [
    ['racks', { racks }],
    ['zone', { zones: ['z0'] }],
  ];
  const rows = selections.flatMap(([name, select]) =>
    [false, true].flatMap((withFailures) => [
      outcomeCells(
        name,
        'planner',
        withFailures,
        runPlan(deployment, seed, select, racks.length, withFailures),
      ),
      outcomeCells(
        name,
        'one at a time',
        withFailures,
        runPlan(deployment, seed, selectWholeRacks(name, select, deployment), 1, withFailures),
      ),
    ]),
  );
  const headings = [
    'plan',
    'method',
    'failures',
    'min',
    'bound min',
    'ratio',
    'drains',
    'needless',
  ];
  return renderTable(headings, rows);
}

/** Outcomes of a plan over all racks: as many at once as the budgets allow, and one at a time. */
export function rackOutcomes(
  deployment: Deployment,
  seed: number,
  withFailures: boolean,
): { readonly planner: PlanOutcome; readonly sequential: PlanOutcome } {
  const racks = Array.from({ length: rackCount(deployment) }, (_, index) => `r${index}`);
  return {
    planner: runPlan(deployment, seed, { racks }, racks.length, withFailures),
    sequential: runPlan(deployment, seed, { racks }, 1, withFailures),
  };
}

/** Selection of the baseline, which takes whole racks: for a zone, all racks of the zone. */
function selectWholeRacks(name: string, select: Document, deployment: Deployment): Document {
  if (name === 'racks') {
    return select;
  }
  const racks = Array.from({ length: rackCount(deployment) }, (_, index) => index);
  return {
    racks: racks.filter((index) => index % deployment.zones === 0).map((index) => `r${index}`),
  };
}

function outcomeCells(
  plan: string,
  method: string,
  withFailures: boolean,
  outcome: PlanOutcome,
): readonly Cell[] {
  const { minutes, boundMinutes, drains, repeatedDrains } = outcome;
  const ratio = (minutes / boundMinutes).toFixed(3);
  const shown = [minutes.toFixed(2), boundMinutes.toFixed(2), ratio];
  return [plan, method, withFailures ? 'yes' : 'no', ...shown, drains, repeatedDrains];
}

function runPlan(
  deployment: Deployment,
  seed: number,
  select: Document,
  maxParallel: number,
  withFailures: boolean,
): PlanOutcome {
  const cfg = configurationOf(deployment, [
    { kind: 'plan', name: PLAN, spec: { select, maxParallel } },
  ]);
  const decider = new FleetDecider({ poolPlanner: new FixedBuffer(0) });
  const reboots = new Map<string, number>();
  const simulation = new FleetSimulation({
    cfg,
    decider,
    ...DURATIONS,
    tickMs: 1_000,
    commitMs: 10,
    startWallMs: 0,
    onDecision: (decision) => {
      if (decision.type === 'reboot') {
        reboots.set(`${decision.instance} ${decision.boot}`, 1);
      }
    },
  });
  simulation.start();
  if (withFailures) {
    injectFailures(simulation, new SeededRandom(seed), deployment);
  }
  simulation.run(HORIZON_MS, () => decider.planRow(PLAN)?.remaining.length === 0);
  const drains = reboots.size;
  const repeatedDrains = drains - new Set([...reboots.keys()].map((key) => key.split(' ')[0])).size;
  return {
    minutes: simulation.now / MINUTE_MS,
    boundMinutes: lowerBoundMinutes(deployment, select),
    drains,
    repeatedDrains,
  };
}

/** Lower bound of the planner, without a limit on parallel groups. */
function lowerBoundMinutes(deployment: Deployment, select: Document): number {
  const spec = { select, maxParallel: deployment.workers };
  const view = new FleetView();
  view.configure(configurationOf(deployment, [{ kind: 'plan', name: PLAN, spec }]));
  const definition = declaredPlan(view, PLAN);
  return definition === undefined
    ? 0
    : lowerBound(definition, view, DURATIONS, 0).lowerBoundMs / MINUTE_MS;
}

function injectFailures(
  simulation: FleetSimulation,
  random: SeededRandom,
  deployment: Deployment,
): void {
  const names = simulation.cfg.list('instance').map((each) => each.name);
  const failOne = (): void => {
    const name = names[random.nextInt(deployment.workers)] ?? '';
    simulation.fail(name, REPAIR_MS);
    simulation.at(simulation.now + MEAN_FAILURE_INTERVAL_MS * 2 * random.next(), failOne);
  };
  simulation.at(MEAN_FAILURE_INTERVAL_MS * random.next(), failOne);
}
