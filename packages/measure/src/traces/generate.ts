import { SeededRandom, type Millis, type WorkClass } from '@turmerichoist/core';
import { teamName, type Deployment } from '../tasks/deployments.js';
import { Workload } from '../tasks/workload.js';
import { TRACE_VERSION, type Trace, type TraceEvent } from './format.js';

const STEP_MS: Millis = 100;
/** Demand of a burst and between bursts, relative to the mean (section 1.4 of the design page). */
const BURST = 5;
const BETWEEN = 1 / 20;
/** Part of the time in which a team bursts, so that its mean is 1. */
const BURST_PART = (1 - BETWEEN) / (BURST - BETWEEN);
const CYCLE_MS: Millis = 60_000;
const MEAN_RUN_MS: Millis = 8_000;
/** Mean of all declared processors, relative to those of the fleet. */
const MEAN_LOAD = 0.7;
const MEAN_PROCESSORS = 2.5;
/** A tenth of the runs is five times as long. */
const LONG_FACTOR = 1.4;
const URGENT_PART = 0.05;
const ARCHIVE_PART = 0.2;
const IDEMPOTENT_PART = 0.8;
const CANCEL_EVERY_MS: Millis = 45_000;
const CANCEL_PART = 0.1;
const ZONE_OUT_AT = 0.35;
const ZONE_IN_AT = 0.6;
const WAVE_AT = 0.75;
const WAVE_GAP_MS: Millis = 2_000;
const WAVE_RACKS = 3;
const RACK_SIZE = 4;
const DOWN_MS: Millis = 20_000;

/** Makes a trace of `durationMs`. The same arguments give the same trace. */
export function generateTrace(deployment: Deployment, seed: number, durationMs: Millis): Trace {
  const random = new SeededRandom(seed);
  const arrivals = arrivalsOf(deployment, random, durationMs);
  const events = [
    ...arrivals,
    ...cancellationsOf(arrivals, random, durationMs),
    ...zoneActs(deployment, random, durationMs),
    ...failuresOf(deployment, random, durationMs),
  ];
  const { name } = deployment;
  return {
    header: { type: 'trace', version: TRACE_VERSION, deployment: name, seed, durationMs },
    events: events.toSorted((a, b) => a.at - b.at),
  };
}

type Arrival = Extract<TraceEvent, { type: 'arrival' }>;

function arrivalsOf(
  deployment: Deployment,
  random: SeededRandom,
  durationMs: Millis,
): readonly Arrival[] {
  const workload = new Workload(random);
  const arrivals: Arrival[] = [];
  for (let now = 0; now < durationMs; now += STEP_MS) {
    for (let team = 0; team < deployment.teams; team += 1) {
      const mean = meanPerStep(deployment) * demandAt(now, team, deployment.teams);
      const count = Math.floor(mean) + (random.next() < mean % 1 ? 1 : 0);
      for (let i = 0; i < count; i += 1) {
        arrivals.push(arrival(workload, random, team, now));
      }
    }
  }
  return arrivals;
}

/** Tasks of one team in one step, on average. */
function meanPerStep({ workers, processors, teams }: Deployment): number {
  const running = (MEAN_LOAD * workers * processors) / MEAN_PROCESSORS;
  return (running * STEP_MS) / (MEAN_RUN_MS * LONG_FACTOR) / teams;
}

/** Teams burst in pairs in turn: two at five times their mean are more than the pool can hold. */
function demandAt(now: Millis, team: number, teams: number): number {
  const pairs = Math.ceil(teams / 2);
  const phase = (now / CYCLE_MS + Math.floor(team / 2) / pairs) % 1;
  return phase < BURST_PART ? BURST : BETWEEN;
}

function arrival(workload: Workload, random: SeededRandom, team: number, at: Millis): Arrival {
  const draw = random.next();
  const workClass: WorkClass =
    draw < URGENT_PART ? 'urgent' : draw < URGENT_PART + ARCHIVE_PART ? 'archive' : 'normal';
  const { spec, real, runMs } = workload.task(team, workClass, MEAN_RUN_MS);
  const { id, resources } = spec;
  const idempotent = random.next() < IDEMPOTENT_PART;
  return {
    ...{ type: 'arrival', at, id, team: teamName(team), workClass },
    ...{ resources, used: real, idempotent, runMs },
  };
}

/** Waves in which one team cancels a part of what it sent so far. */
function cancellationsOf(
  arrivals: readonly Arrival[],
  random: SeededRandom,
  durationMs: Millis,
): readonly TraceEvent[] {
  const waves: TraceEvent[] = [];
  for (let at = CANCEL_EVERY_MS; at < durationMs; at += CANCEL_EVERY_MS) {
    const sent = arrivals.filter((each) => each.at < at && each.at >= at - CANCEL_EVERY_MS);
    const team = sent.at(-1)?.team ?? '';
    const own = sent.filter((each) => each.team === team);
    const ids = own.filter(() => random.next() < CANCEL_PART).map((each) => each.id);
    if (ids.length > 0) {
      waves.push({ type: 'cancellation', at, team, ids });
    }
  }
  return waves;
}

function zoneActs(
  { zones }: Deployment,
  random: SeededRandom,
  durationMs: Millis,
): readonly TraceEvent[] {
  const zone = `z${random.nextInt(zones)}`;
  return [
    { type: 'operator', act: 'zone', at: Math.round(durationMs * ZONE_OUT_AT), zone, state: 'out' },
    { type: 'operator', act: 'zone', at: Math.round(durationMs * ZONE_IN_AT), zone, state: 'in' },
  ];
}

/** One wave in which whole racks fail shortly after each other. */
function failuresOf(
  { workers }: Deployment,
  random: SeededRandom,
  durationMs: Millis,
): readonly TraceEvent[] {
  const first = random.nextInt(Math.ceil(workers / RACK_SIZE));
  return Array.from({ length: WAVE_RACKS }, (_, i): TraceEvent => {
    const rack = (first + i) % Math.ceil(workers / RACK_SIZE);
    const members = Array.from({ length: RACK_SIZE }, (_each, k) => rack * RACK_SIZE + k);
    const instances = members.filter((index) => index < workers).map((index) => `w${index}`);
    const at = Math.min(durationMs, Math.round(durationMs * WAVE_AT) + i * WAVE_GAP_MS);
    return { type: 'failure', at, instances, downMs: DOWN_MS };
  });
}
