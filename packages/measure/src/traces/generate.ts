import { SeededRandom, type Millis, type WorkClass } from '@turmerichoist/core';
import { teamName, type Deployment } from '../tasks/deployments.js';
import { Workload } from '../tasks/workload.js';
import { TRACE_VERSION, type Trace, type TraceEvent } from './format.js';

const STEP_MS: Millis = 100;
/** Demand during and between bursts, relative to the mean (section 1.4 of the design page). */
const BURST_FACTOR = 5;
const QUIET_FACTOR = 1 / 20;
/** Fraction of the time that a team spends in bursts. It makes its mean relative demand 1. */
const BURST_FRACTION = (1 - QUIET_FACTOR) / (BURST_FACTOR - QUIET_FACTOR);
const BURST_CYCLE_MS: Millis = 60_000;
const MEAN_RUN_MS: Millis = 8_000;
/** Mean of the processors declared by running tasks, as a fraction of the fleet. */
const MEAN_LOAD = 0.7;
const MEAN_TASK_PROCESSORS = 2.5;
/** Mean run time relative to `MEAN_RUN_MS`: a tenth of the runs take five times as long. */
const LONG_RUN_FACTOR = 1.4;
const URGENT_FRACTION = 0.05;
const ARCHIVE_FRACTION = 0.2;
const IDEMPOTENT_FRACTION = 0.8;
const CANCEL_INTERVAL_MS: Millis = 45_000;
const CANCEL_FRACTION = 0.1;
/** Times of the zone changes and of the first rack failure, as fractions of the trace duration. */
const ZONE_OUT_FRACTION = 0.35;
const ZONE_IN_FRACTION = 0.6;
const FAILURE_WAVE_FRACTION = 0.75;
const RACK_FAILURE_INTERVAL_MS: Millis = 2_000;
const FAILED_RACKS = 3;
const RACK_SIZE = 4;
const DOWN_MS: Millis = 20_000;

/** Generates a trace of `durationMs`. The same arguments give the same trace. */
export function generateTrace(deployment: Deployment, seed: number, durationMs: Millis): Trace {
  const random = new SeededRandom(seed);
  const arrivals = generateArrivals(deployment, random, durationMs);
  const events = [
    ...arrivals,
    ...generateCancellations(arrivals, random, durationMs),
    ...generateZoneChanges(deployment, random, durationMs),
    ...generateFailures(deployment, random, durationMs),
  ];
  const { name } = deployment;
  return {
    header: { type: 'trace', version: TRACE_VERSION, deployment: name, seed, durationMs },
    events: events.toSorted((a, b) => a.at - b.at),
  };
}

type Arrival = Extract<TraceEvent, { type: 'arrival' }>;

function generateArrivals(
  deployment: Deployment,
  random: SeededRandom,
  durationMs: Millis,
): readonly Arrival[] {
  const workload = new Workload(random);
  const arrivals: Arrival[] = [];
  for (let now = 0; now < durationMs; now += STEP_MS) {
    for (let team = 0; team < deployment.teams; team += 1) {
      const mean = meanArrivalsPerStep(deployment) * relativeDemand(now, team, deployment.teams);
      const count = Math.floor(mean) + (random.next() < mean % 1 ? 1 : 0);
      for (let i = 0; i < count; i += 1) {
        arrivals.push(drawArrival(workload, random, team, now));
      }
    }
  }
  return arrivals;
}

/** Mean number of tasks that one team submits in one step. */
function meanArrivalsPerStep({ workers, processors, teams }: Deployment): number {
  const running = (MEAN_LOAD * workers * processors) / MEAN_TASK_PROCESSORS;
  return (running * STEP_MS) / (MEAN_RUN_MS * LONG_RUN_FACTOR) / teams;
}

/**
 * Demand of a team relative to its mean. Teams burst in pairs, one pair after the other: two teams
 * at five times their mean exceed the capacity of the pool.
 */
function relativeDemand(now: Millis, team: number, teams: number): number {
  const pairs = Math.ceil(teams / 2);
  const phase = (now / BURST_CYCLE_MS + Math.floor(team / 2) / pairs) % 1;
  return phase < BURST_FRACTION ? BURST_FACTOR : QUIET_FACTOR;
}

function drawArrival(workload: Workload, random: SeededRandom, team: number, at: Millis): Arrival {
  const draw = random.next();
  const workClass: WorkClass =
    draw < URGENT_FRACTION
      ? 'urgent'
      : draw < URGENT_FRACTION + ARCHIVE_FRACTION
        ? 'archive'
        : 'normal';
  const { spec, actual, runMs } = workload.drawTask(team, workClass, MEAN_RUN_MS);
  const { id, resources } = spec;
  const idempotent = random.next() < IDEMPOTENT_FRACTION;
  return {
    ...{ type: 'arrival', at, id, team: teamName(team), workClass },
    ...{ resources, used: actual, idempotent, runMs },
  };
}

/** Cancellations in which one team cancels some of the tasks that it has submitted recently. */
function generateCancellations(
  arrivals: readonly Arrival[],
  random: SeededRandom,
  durationMs: Millis,
): readonly TraceEvent[] {
  const cancellations: TraceEvent[] = [];
  for (let at = CANCEL_INTERVAL_MS; at < durationMs; at += CANCEL_INTERVAL_MS) {
    const recent = arrivals.filter((each) => each.at < at && each.at >= at - CANCEL_INTERVAL_MS);
    const team = recent.at(-1)?.team ?? '';
    const ofTeam = recent.filter((each) => each.team === team);
    const ids = ofTeam.filter(() => random.next() < CANCEL_FRACTION).map((each) => each.id);
    if (ids.length > 0) {
      cancellations.push({ type: 'cancellation', at, team, ids });
    }
  }
  return cancellations;
}

function generateZoneChanges(
  { zones }: Deployment,
  random: SeededRandom,
  durationMs: Millis,
): readonly TraceEvent[] {
  const zone = `z${random.nextInt(zones)}`;
  return [
    {
      type: 'operator',
      act: 'zone',
      at: Math.round(durationMs * ZONE_OUT_FRACTION),
      zone,
      state: 'out',
    },
    {
      type: 'operator',
      act: 'zone',
      at: Math.round(durationMs * ZONE_IN_FRACTION),
      zone,
      state: 'in',
    },
  ];
}

/** A wave of failures in which whole racks fail shortly after each other. */
function generateFailures(
  { workers }: Deployment,
  random: SeededRandom,
  durationMs: Millis,
): readonly TraceEvent[] {
  const firstRack = random.nextInt(Math.ceil(workers / RACK_SIZE));
  return Array.from({ length: FAILED_RACKS }, (_, i): TraceEvent => {
    const rack = (firstRack + i) % Math.ceil(workers / RACK_SIZE);
    const members = Array.from({ length: RACK_SIZE }, (_each, k) => rack * RACK_SIZE + k);
    const instances = members.filter((index) => index < workers).map((index) => `w${index}`);
    const at = Math.min(
      durationMs,
      Math.round(durationMs * FAILURE_WAVE_FRACTION) + i * RACK_FAILURE_INTERVAL_MS,
    );
    return { type: 'failure', at, instances, downMs: DOWN_MS };
  });
}
