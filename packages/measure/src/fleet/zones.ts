import {
  FixedBuffer,
  FleetDecider,
  FleetSimulation,
  type Configuration,
  type Millis,
  type Resource,
} from '@turmerichoist/core';
import { configurationOf, type Deployment } from './deployments.js';
import { renderTable, type Cell } from './table.js';

const MINUTE_MS = 60_000;
const OUT_AT_MS = 10 * MINUTE_MS;
const IN_AT_MS = 70 * MINUTE_MS;
const END_MS = 100 * MINUTE_MS;
const SAMPLE_MS = 1_000;
/** Availability zone that is taken out of service and put back. */
export const MEASURED_ZONE = 'z0';
/** Run time of a task. Tasks that run when their zone is taken out of service run to their end. */
const TASK_MS = 5 * MINUTE_MS;

interface Phase {
  readonly name: string;
  readonly from: Millis;
  readonly to: Millis;
  /** Capacity that may be used: every instance that is up in an in-service zone. */
  allowedMinutes: number;
  /** Capacity on which the decider lets work start. */
  schedulableMinutes: number;
}

function phase(name: string, from: Millis, to: Millis): Phase {
  return { name, from, to, allowedMinutes: 0, schedulableMinutes: 0 };
}

export interface ZoneOutcome {
  readonly phases: readonly Readonly<Phase>[];
  readonly drains: number;
  /** Largest number of instances that became schedulable between two samples of the return. */
  readonly largestStep: number;
}

/** Measures, in instance-minutes, the schedulable capacity while a zone leaves and returns. */
export function runZones(deployment: Deployment): ZoneOutcome {
  const phases: readonly Phase[] = [
    phase('before', 0, OUT_AT_MS),
    phase('leaving', OUT_AT_MS, OUT_AT_MS + 2 * TASK_MS),
    phase('out', OUT_AT_MS + 2 * TASK_MS, IN_AT_MS),
    phase('returning', IN_AT_MS, IN_AT_MS + 5 * MINUTE_MS),
    phase('after', IN_AT_MS + 5 * MINUTE_MS, END_MS),
  ];
  const decider = new FleetDecider({ poolPlanner: new FixedBuffer(0) });
  let drains = 0;
  let largestStep = 0;
  let previous = 0;
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
    const schedulable = countSchedulable(simulation, decider);
    largestStep = simulation.now >= IN_AT_MS ? Math.max(largestStep, schedulable - previous) : 0;
    previous = schedulable;
    samplePhase(phases, simulation, decider);
    simulation.at(simulation.now + SAMPLE_MS, sample);
  };
  sample();
  simulation.at(OUT_AT_MS, () => {
    simulation.configure(withZoneState(simulation.cfg, 'out'));
  });
  simulation.at(IN_AT_MS, () => {
    simulation.configure(withZoneState(simulation.cfg, 'in'));
  });
  simulation.run(END_MS);
  return { phases, drains, largestStep };
}

/** Runs `runZones` and renders its outcome. */
export function measureZones(deployment: Deployment): string {
  const { phases, drains, largestStep } = runZones(deployment);
  const rows = phases.map(({ name, schedulableMinutes, allowedMinutes }): readonly Cell[] => {
    const part = ((100 * schedulableMinutes) / allowedMinutes).toFixed(2);
    return [name, schedulableMinutes.toFixed(1), allowedMinutes.toFixed(1), part];
  });
  const headings = ['phase', 'open instance-min', 'allowed instance-min', '%'];
  return `${renderTable(headings, rows)}drains ${drains}, largest step ${largestStep} instances\n`;
}

function withZoneState(cfg: Configuration, state: 'in' | 'out'): Configuration {
  const version = cfg.revision + 1;
  const zone = cfg.get('zone', MEASURED_ZONE);
  if (zone === undefined) {
    return cfg;
  }
  const resource: Resource = { ...zone, version, spec: { ...zone.spec, state } };
  return cfg.with(version, [{ op: 'put', resource }]);
}

function countSchedulable(simulation: FleetSimulation, decider: FleetDecider): number {
  const members = simulation.cfg
    .list('instance')
    .filter((each) => each.spec.zone === MEASURED_ZONE);
  return members.filter((each) => decider.isSchedulable(each.name)).length;
}

/** Adds a sample to the current phase. */
function samplePhase(
  phases: readonly Phase[],
  simulation: FleetSimulation,
  decider: FleetDecider,
): void {
  const current = phases.find(({ from, to }) => simulation.now >= from && simulation.now < to);
  if (current === undefined) {
    return;
  }
  const { cfg } = simulation;
  for (const { name, spec } of cfg.list('instance')) {
    const isIn = cfg.spec('zone', spec.zone)?.state === 'in';
    current.allowedMinutes += isIn && simulation.isUp(name) ? SAMPLE_MS / MINUTE_MS : 0;
    current.schedulableMinutes += decider.isSchedulable(name) ? SAMPLE_MS / MINUTE_MS : 0;
  }
}
