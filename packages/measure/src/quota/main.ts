import { parseArgs } from 'node:util';
import { SeededRandom, type Millis } from '@turmerichoist/core';
import { FairSharePolicy, PeakDemandPolicy } from '@turmerichoist/coordination';
import { LapsingGrants } from './grants-scheme.js';
import { CentralCounting, TokenGossip } from './other-schemes.js';
import { Simulation, type LimitScheme } from './simulation.js';

const ENTRIES = 8;
const LIMIT = 40;
const OVERLOAD = 1.5 * LIMIT;
const WARM_UP_MS: Millis = 6_000;
const MEASURED_MS: Millis = 20_000;
const BURST_MS: Millis = 4_000;
const GIVE_UP_MS: Millis = 90_000;

type MakeScheme = (simulation: Simulation) => LimitScheme;

const SCHEMES: readonly MakeScheme[] = [
  (simulation) => new LapsingGrants(simulation, new PeakDemandPolicy(), 'grants, keep peak'),
  (simulation) => new LapsingGrants(simulation, new FairSharePolicy(), 'grants, fair split'),
  (simulation) => new CentralCounting(simulation),
  (simulation) => new TokenGossip(simulation),
];

function simulate(scheme: MakeScheme, seed: number): Simulation {
  const random = new SeededRandom(seed);
  const sizes = { entries: ENTRIES, limit: LIMIT, meanRunMs: 300, deadlineMs: 5_000 };
  return new Simulation({ ...sizes, random, scheme });
}

function percent(part: number): string {
  return `${(part * 100).toFixed(1)}%`;
}

function unusedAfter(simulation: Simulation): string {
  const since = simulation.time.now();
  simulation.meanRunning(since - 1);
  simulation.time.advance(MEASURED_MS);
  return percent(1 - simulation.meanRunning(since) / LIMIT);
}

/** All entries have the same demand, one and a half times the limit in sum. */
function spread(simulation: Simulation): readonly string[] {
  for (let i = 0; i < ENTRIES; i += 1) {
    simulation.offer(i, OVERLOAD / ENTRIES);
  }
  simulation.time.advance(WARM_UP_MS);
  const { started } = simulation.totals;
  const { peer, store } = simulation.scheme.traffic;
  const unused = unusedAfter(simulation);
  const works = simulation.totals.started - started;
  const after = simulation.scheme.traffic;
  return [
    unused,
    ((after.peer - peer) / works).toFixed(2),
    ((after.store - store) / works).toFixed(3),
  ];
}

/** One entry after the other has all the demand for a while; the rest has a twentieth of it. */
function bursts(simulation: Simulation): string {
  let turn = 0;
  const next = (): void => {
    for (let i = 0; i < ENTRIES; i += 1) {
      simulation.offer(i, i === turn % ENTRIES ? OVERLOAD : OVERLOAD / 20);
    }
    turn += 1;
  };
  next();
  simulation.time.every(BURST_MS, next);
  simulation.time.advance(WARM_UP_MS);
  return unusedAfter(simulation);
}

/** Time until the entry runs `units`, in milliseconds. */
function timeUntil(simulation: Simulation, entry: number, units: number): string {
  const start = simulation.time.now();
  while (simulation.entry(entry).running < units) {
    if (simulation.time.now() - start > GIVE_UP_MS) {
      return 'never';
    }
    simulation.time.advance(1);
  }
  return `${Math.round(simulation.time.now() - start)} ms`;
}

const FROM = 2;
const TO = 5;

function moved(simulation: Simulation, died: boolean): readonly string[] {
  simulation.offer(FROM, OVERLOAD);
  simulation.time.advance(WARM_UP_MS);
  simulation.offer(FROM, 0);
  if (died) {
    simulation.die(FROM);
  }
  simulation.offer(TO, OVERLOAD);
  return [timeUntil(simulation, TO, 1), timeUntil(simulation, TO, 0.9 * LIMIT)];
}

/** The demand is spread, but one entry has most of it; the others must not starve. */
function starvation(simulation: Simulation): string {
  simulation.offer(FROM, OVERLOAD);
  simulation.time.advance(WARM_UP_MS);
  simulation.offer(TO, OVERLOAD / ENTRIES);
  return timeUntil(simulation, TO, 1);
}

function counterDeath(simulation: Simulation): string {
  for (let i = 0; i < ENTRIES; i += 1) {
    simulation.offer(i, OVERLOAD / ENTRIES);
  }
  simulation.time.advance(WARM_UP_MS);
  simulation.die(0);
  return unusedAfter(simulation);
}

function main(): void {
  const { values } = parseArgs({ options: { seed: { type: 'string', default: '7' } } });
  const seed = Number(values.seed);
  const head = [
    ...['scheme', 'unused, spread', 'messages/work', 'store calls/work', 'unused, bursts'],
    ...['moved: first', 'moved: 90%', 'starved for', 'after death: first', 'after death: 90%'],
    'unused, 20 s after death of 1 of 8',
  ];
  const rows = SCHEMES.map((scheme) => [
    simulate(scheme, seed).scheme.name,
    ...spread(simulate(scheme, seed)),
    bursts(simulate(scheme, seed)),
    ...moved(simulate(scheme, seed), false),
    starvation(simulate(scheme, seed)),
    ...moved(simulate(scheme, seed), true),
    counterDeath(simulate(scheme, seed)),
  ]);
  for (const [i, title] of head.entries()) {
    const cells = rows.map((row) => row[i] ?? '');
    console.log(`| ${[title, ...cells].join(' | ')} |`);
    if (i === 0) {
      console.log(`|${' --- |'.repeat(rows.length + 1)}`);
    }
  }
}

main();
