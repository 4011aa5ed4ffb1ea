import {
  FixedBuffer,
  FleetDecider,
  FleetSimulation,
  type Configuration,
  type Resource,
} from '@turmerichoist/core';
import { configurationOf, type Deployment } from './deployments.js';
import { renderTable, type Cell } from './table.js';

const MINUTE_MS = 60_000;
const OUT_AT_MS = 10 * MINUTE_MS;
const IN_AT_MS = 70 * MINUTE_MS;
const END_MS = 100 * MINUTE_MS;
const SAMPLE_MS = 1_000;
/** The zone that leaves and returns. */
export const ZONE = 'z0';
/** A task that runs when its zone is closed goes on until it ends. */
const TASK_MS = 5 * MINUTE_MS;

interface Phase {
  readonly name: string;
  readonly from: number;
  readonly to: number;
  allowed: number;
  started: number;
}

export interface ZoneOutcome {
  readonly phases: readonly Readonly<Phase>[];
  readonly drains: number;
  readonly largestStep: number;
}

/** Work started while an availability zone leaves and returns, in instance-minutes. */
export function runZones(deployment: Deployment): ZoneOutcome {
  const phases: readonly Phase[] = [
    { name: 'before', from: 0, to: OUT_AT_MS, allowed: 0, started: 0 },
    { name: 'leaving', from: OUT_AT_MS, to: OUT_AT_MS + 2 * TASK_MS, allowed: 0, started: 0 },
    { name: 'out', from: OUT_AT_MS + 2 * TASK_MS, to: IN_AT_MS, allowed: 0, started: 0 },
    { name: 'returning', from: IN_AT_MS, to: IN_AT_MS + 5 * MINUTE_MS, allowed: 0, started: 0 },
    { name: 'after', from: IN_AT_MS + 5 * MINUTE_MS, to: END_MS, allowed: 0, started: 0 },
  ];
  const decider = new FleetDecider({ poolPlanner: new FixedBuffer(0) });
  let drains = 0;
  let largestStep = 0;
  let open = 0;
  const simulation = new FleetSimulation({
    cfg: configurationOf(deployment),
    decider,
    drainMs: TASK_MS,
    rebootMs: 0,
    tickMs: SAMPLE_MS,
    commitMs: 10,
    startWallMs: 0,
    onDecision: (decision) => {
      drains += decision.type === 'drain' ? 1 : 0;
    },
  });
  simulation.start();
  const sample = (): void => {
    const serving = servingInZone(simulation, decider);
    largestStep = simulation.now >= IN_AT_MS ? Math.max(largestStep, serving - open) : 0;
    open = serving;
    samplePhase(phases, simulation, decider);
    simulation.at(simulation.now + SAMPLE_MS, sample);
  };
  sample();
  simulation.at(OUT_AT_MS, () => {
    simulation.configure(withZone(simulation.cfg, 'out'));
  });
  simulation.at(IN_AT_MS, () => {
    simulation.configure(withZone(simulation.cfg, 'in'));
  });
  simulation.run(END_MS);
  return { phases, drains, largestStep };
}

/** Renders what `runZones` measures. */
export function measureZones(deployment: Deployment): string {
  const { phases, drains, largestStep } = runZones(deployment);
  const rows = phases.map((phase): readonly Cell[] => {
    const part = ((100 * phase.started) / phase.allowed).toFixed(2);
    return [phase.name, phase.started.toFixed(1), phase.allowed.toFixed(1), part];
  });
  const headings = ['phase', 'open instance-min', 'allowed instance-min', '%'];
  return `${renderTable(headings, rows)}drains ${drains}, largest step ${largestStep} instances\n`;
}

function withZone(cfg: Configuration, state: 'in' | 'out'): Configuration {
  const version = cfg.revision + 1;
  const zone = cfg.get('zone', ZONE);
  if (zone === undefined) {
    return cfg;
  }
  const resource: Resource = { ...zone, version, spec: { ...zone.spec, state } };
  return cfg.with(version, [{ op: 'put', resource }]);
}

function servingInZone(simulation: FleetSimulation, decider: FleetDecider): number {
  const members = simulation.cfg.list('instance').filter((each) => each.spec.zone === ZONE);
  return members.filter((each) => decider.isSchedulable(each.name)).length;
}

/** What the remaining capacity allows is every instance that is up in a zone in service. */
function samplePhase(
  phases: readonly Phase[],
  simulation: FleetSimulation,
  decider: FleetDecider,
): void {
  const phase = phases.find(({ from, to }) => simulation.now >= from && simulation.now < to);
  if (phase === undefined) {
    return;
  }
  const { cfg } = simulation;
  for (const { name, spec } of cfg.list('instance')) {
    const isIn = cfg.spec('zone', spec.zone)?.state === 'in';
    phase.allowed += isIn && simulation.isUp(name) ? SAMPLE_MS / MINUTE_MS : 0;
    phase.started += decider.isSchedulable(name) ? SAMPLE_MS / MINUTE_MS : 0;
  }
}
