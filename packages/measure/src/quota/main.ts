import { parseArgs } from 'node:util';
import { SeededRandom, type Millis } from '@turmerichoist/core';
import { FairSharePolicy, PeakDemandPolicy } from '@turmerichoist/coordination';
import { ExpiringGrants } from './expiring-grants.js';
import { CentralCounter, TokenGossip } from './baseline-schemes.js';
import { QuotaSimulation, type QuotaScheme } from './simulation.js';

const ENTRIES = 8;
const LIMIT = 40;
const OVERLOAD_UNITS = 1.5 * LIMIT;
const WARM_UP_MS: Millis = 6_000;
const MEASURED_MS: Millis = 20_000;
const BURST_TURN_MS: Millis = 4_000;
const TIMEOUT_MS: Millis = 90_000;

type SchemeFactory = (simulation: QuotaSimulation) => QuotaScheme;

const SCHEMES: readonly SchemeFactory[] = [
  (simulation) => new ExpiringGrants(simulation, new PeakDemandPolicy(), 'grants, keep peak'),
  (simulation) => new ExpiringGrants(simulation, new FairSharePolicy(), 'grants, fair split'),
  (simulation) => new CentralCounter(simulation),
  (simulation) => new TokenGossip(simulation),
];

function newSimulation(scheme: SchemeFactory, seed: number): QuotaSimulation {
  const random = new SeededRandom(seed);
  const sizes = { entries: ENTRIES, limit: LIMIT, meanRunMs: 300, deadlineMs: 5_000 };
  return new QuotaSimulation({ ...sizes, random, scheme });
}

function percent(fraction: number): string {
  return `${(fraction * 100).toFixed(1)}%`;
}

function measureUnused(simulation: QuotaSimulation): string {
  const since = simulation.time.now();
  simulation.meanRunning(since - 1);
  simulation.time.advance(MEASURED_MS);
  return percent(1 - simulation.meanRunning(since) / LIMIT);
}

/** All entries have the same demand; the total is one and a half times the limit. */
function measureSpread(simulation: QuotaSimulation): readonly string[] {
  for (let i = 0; i < ENTRIES; i += 1) {
    simulation.setOfferedLoad(i, OVERLOAD_UNITS / ENTRIES);
  }
  simulation.time.advance(WARM_UP_MS);
  const { started } = simulation.totals;
  const { peer, store } = simulation.scheme.traffic;
  const unused = measureUnused(simulation);
  const startedWork = simulation.totals.started - started;
  const after = simulation.scheme.traffic;
  return [
    unused,
    ((after.peer - peer) / startedWork).toFixed(2),
    ((after.store - store) / startedWork).toFixed(3),
  ];
}

/** One entry after the other has the full demand; each of the others has a twentieth of it. */
function measureBursts(simulation: QuotaSimulation): string {
  let turn = 0;
  const startTurn = (): void => {
    for (let i = 0; i < ENTRIES; i += 1) {
      simulation.setOfferedLoad(i, i === turn % ENTRIES ? OVERLOAD_UNITS : OVERLOAD_UNITS / 20);
    }
    turn += 1;
  };
  startTurn();
  simulation.time.every(BURST_TURN_MS, startTurn);
  simulation.time.advance(WARM_UP_MS);
  return measureUnused(simulation);
}

/** Time until the entry has `units` in use. */
function timeUntilRunning(simulation: QuotaSimulation, entry: number, units: number): string {
  const start = simulation.time.now();
  while (simulation.entry(entry).running < units) {
    if (simulation.time.now() - start > TIMEOUT_MS) {
      return 'never';
    }
    simulation.time.advance(1);
  }
  return `${Math.round(simulation.time.now() - start)} ms`;
}

const OLD_ENTRY = 2;
const NEW_ENTRY = 5;

function measureMovedDemand(simulation: QuotaSimulation, died: boolean): readonly string[] {
  simulation.setOfferedLoad(OLD_ENTRY, OVERLOAD_UNITS);
  simulation.time.advance(WARM_UP_MS);
  simulation.setOfferedLoad(OLD_ENTRY, 0);
  if (died) {
    simulation.kill(OLD_ENTRY);
  }
  simulation.setOfferedLoad(NEW_ENTRY, OVERLOAD_UNITS);
  return [
    timeUntilRunning(simulation, NEW_ENTRY, 1),
    timeUntilRunning(simulation, NEW_ENTRY, 0.9 * LIMIT),
  ];
}

/** One entry has demand for more than the limit when another gets demand, which must not starve. */
function measureStarvation(simulation: QuotaSimulation): string {
  simulation.setOfferedLoad(OLD_ENTRY, OVERLOAD_UNITS);
  simulation.time.advance(WARM_UP_MS);
  simulation.setOfferedLoad(NEW_ENTRY, OVERLOAD_UNITS / ENTRIES);
  return timeUntilRunning(simulation, NEW_ENTRY, 1);
}

function measureCounterDeath(simulation: QuotaSimulation): string {
  for (let i = 0; i < ENTRIES; i += 1) {
    simulation.setOfferedLoad(i, OVERLOAD_UNITS / ENTRIES);
  }
  simulation.time.advance(WARM_UP_MS);
  simulation.kill(0);
  return measureUnused(simulation);
}

function main(): void {
  const { values } = parseArgs({ options: { seed: { type: 'string', default: '7' } } });
  const seed = Number(values.seed);
  const rowTitles = [
    ...['scheme', 'unused, spread', 'messages/work', 'store calls/work', 'unused, bursts'],
    ...['moved: first', 'moved: 90%', 'starved for', 'after death: first', 'after death: 90%'],
    'unused, 20 s after death of 1 of 8',
  ];
  const columns = SCHEMES.map((scheme) => [
    newSimulation(scheme, seed).scheme.name,
    ...measureSpread(newSimulation(scheme, seed)),
    measureBursts(newSimulation(scheme, seed)),
    ...measureMovedDemand(newSimulation(scheme, seed), false),
    measureStarvation(newSimulation(scheme, seed)),
    ...measureMovedDemand(newSimulation(scheme, seed), true),
    measureCounterDeath(newSimulation(scheme, seed)),
  ]);
  for (const [i, title] of rowTitles.entries()) {
    const cells = columns.map((row) => row[i] ?? '');
    console.log(`| ${[title, ...cells].join(' | ')} |`);
    if (i === 0) {
      console.log(`|${' --- |'.repeat(columns.length + 1)}`);
    }
  }
}

main();
