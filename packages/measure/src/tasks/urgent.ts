import { build, type Histogram } from 'hdr-histogram-js';
import { SeededRandom, type Millis } from '@turmerichoist/core';
import type { TaskFleetSimulation } from '@turmerichoist/stand-ins';
import type { Deployment } from './deployments.js';
import { simulateFleet } from './simulated-fleet.js';
import { Workload } from './workload.js';

const FILL_MS = 20_000;
const RUN_MS = 60_000;
const STEP_MS = 50;
const TARGET_MS = 1_200;

export interface UrgentStarts {
  readonly tasks: number;
  readonly p50: Millis;
  readonly p99: Millis;
  readonly most: Millis;
  /** Fraction of the tasks that started within 1.2 s, to the nearest percentile. */
  readonly withinTarget: number;
}

/** Measures the time from submission to start of urgent tasks on a fleet full of other tasks. */
export function measureUrgent(deployment: Deployment, seed: number): UrgentStarts {
  const random = new SeededRandom(seed);
  const workload = new Workload(random);
  const fleet = simulateFleet(deployment, { stepMs: STEP_MS, lagMs: 2_000 });
  fillFleet(fleet, deployment, workload);
  fleet.step(FILL_MS);
  const submitted = new Map<string, Millis>();
  const histogram = build();
  const end = fleet.now + RUN_MS;
  while (fleet.now < end) {
    submitUrgent(fleet, deployment, workload, random, submitted);
    fleet.decisions.length = 0;
    fleet.step(STEP_MS);
    recordStarts(fleet, submitted, histogram);
  }
  for (const at of submitted.values()) {
    histogram.recordValue(fleet.now - at);
  }
  return summarize(histogram);
}

function fillFleet(fleet: TaskFleetSimulation, deployment: Deployment, workload: Workload): void {
  const tasks = deployment.workers * deployment.processors;
  for (let i = 0; i < tasks; i += 1) {
    const team = i % deployment.teams;
    fleet.submit(workload.drawTask(team, i % 3 === 0 ? 'archive' : 'normal', 600_000).spec);
  }
}

/** Submits one urgent task per second and 35 workers on average, and occasional bursts of ten. */
function submitUrgent(
  fleet: TaskFleetSimulation,
  { workers, teams }: Deployment,
  workload: Workload,
  random: SeededRandom,
  submitted: Map<string, Millis>,
): void {
  const meanPerStep = ((workers / 35) * STEP_MS) / 1_000;
  const burst = random.next() < 0.005 ? 10 : 0;
  const count = Math.floor(meanPerStep) + (random.next() < meanPerStep % 1 ? 1 : 0) + burst;
  for (let i = 0; i < count; i += 1) {
    const { spec } = workload.drawTask(random.nextInt(teams), 'urgent', 2_000);
    submitted.set(spec.id, fleet.now);
    fleet.submit(spec);
  }
}

function recordStarts(
  fleet: TaskFleetSimulation,
  submitted: Map<string, Millis>,
  histogram: Histogram,
): void {
  for (const { at, decision } of fleet.decisions) {
    for (const { id } of decision.type === 'lease' ? decision.leases : []) {
      const since = submitted.get(id);
      if (since !== undefined) {
        submitted.delete(id);
        histogram.recordValue(at - since);
      }
    }
  }
}

function summarize(histogram: Histogram): UrgentStarts {
  return {
    tasks: histogram.totalCount,
    p50: histogram.getValueAtPercentile(50),
    p99: histogram.getValueAtPercentile(99),
    most: histogram.maxValue,
    withinTarget: fractionWithinTarget(histogram),
  };
}

function fractionWithinTarget(histogram: Histogram): number {
  let within = 0;
  for (let percentile = 1; percentile <= 100; percentile += 1) {
    within += histogram.getValueAtPercentile(percentile) <= TARGET_MS ? 1 : 0;
  }
  return within / 100;
}
