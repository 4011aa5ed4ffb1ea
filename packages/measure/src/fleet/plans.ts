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
/** An instance fails about this often during a plan, far above the ordinary day. */
const FAILURE_GAP_MS = 10 * MINUTE_MS;
const REPAIR_MS = 15 * MINUTE_MS;
const PLAN = 'p';

export interface Outcome {
  readonly minutes: number;
  readonly boundMinutes: number;
  readonly drains: number;
  readonly needless: number;
}

/** Roll-out time against the lower bound, for the planner and for one rack at a time. */
export function measurePlans(deployment: Deployment, seed: number): string {
  const racks = Array.from({ length: rackCount(deployment) }, (_, index) => `r${index}`);
  const selections: readonly (readonly [string, Document])[] = [
    ['racks', { racks }],
    ['zone', { zones: ['z0'] }],
  ];
  const rows = selections.flatMap(([name, select]) =>
    [false, true].flatMap((failing) => [
      row(name, 'planner', failing, run(deployment, seed, select, racks.length, failing)),
      row(
        name,
        'one at a time',
        failing,
        run(deployment, seed, rackwise(name, select, deployment), 1, failing),
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

/** Outcome of a plan over all racks: as many at once as the budgets allow, and one at a time. */
export function rackOutcomes(
  deployment: Deployment,
  seed: number,
  failing: boolean,
): { readonly planner: Outcome; readonly single: Outcome } {
  const racks = Array.from({ length: rackCount(deployment) }, (_, index) => `r${index}`);
  return {
    planner: run(deployment, seed, { racks }, racks.length, failing),
    single: run(deployment, seed, { racks }, 1, failing),
  };
}

/** The baseline takes whole racks, for a zone those of the zone. */
function rackwise(name: string, select: Document, deployment: Deployment): Document {
  if (name === 'racks') {
    return select;
  }
  const racks = Array.from({ length: rackCount(deployment) }, (_, index) => index);
  return {
    racks: racks.filter((index) => index % deployment.zones === 0).map((index) => `r${index}`),
  };
}

function row(plan: string, method: string, failing: boolean, outcome: Outcome): readonly Cell[] {
  const { minutes, boundMinutes, drains, needless } = outcome;
  const ratio = (minutes / boundMinutes).toFixed(3);
  const shown = [minutes.toFixed(2), boundMinutes.toFixed(2), ratio];
  return [plan, method, failing ? 'yes' : 'no', ...shown, drains, needless];
}

function run(
  deployment: Deployment,
  seed: number,
  select: Document,
  maxParallel: number,
  failing: boolean,
): Outcome {
  const cfg = configurationOf(deployment, [
    { kind: 'plan', name: PLAN, spec: { select, maxParallel } },
  ]);
  const decider = new FleetDecider({ poolPlanner: new FixedBuffer(0) });
  const drained = new Map<string, number>();
  const simulation = new FleetSimulation({
    cfg,
    decider,
    ...DURATIONS,
    tickMs: 1_000,
    commitMs: 10,
    startWallMs: 0,
    onDecision: (decision) => {
      if (decision.type === 'reboot') {
        drained.set(`${decision.instance} ${decision.boot}`, 1);
      }
    },
  });
  simulation.start();
  if (failing) {
    injectFailures(simulation, new SeededRandom(seed), deployment);
  }
  simulation.run(HORIZON_MS, () => decider.planRow(PLAN)?.remaining.length === 0);
  const drains = drained.size;
  const needless = drains - new Set([...drained.keys()].map((key) => key.split(' ')[0])).size;
  return {
    minutes: simulation.now / MINUTE_MS,
    boundMinutes: boundOf(deployment, select),
    drains,
    needless,
  };
}

/** The bound is that of the planner: without a limit of parallel groups. */
function boundOf(deployment: Deployment, select: Document): number {
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
  const next = (): void => {
    const name = names[random.nextInt(deployment.workers)] ?? '';
    simulation.fail(name, REPAIR_MS);
    simulation.at(simulation.now + FAILURE_GAP_MS * 2 * random.next(), next);
  };
  simulation.at(FAILURE_GAP_MS * random.next(), next);
}
