import {
  Configuration,
  type Millis,
  RequestDecider,
  type RequestDecision,
  SeededRandom,
} from '@turmerichoist/core';
import { build, type Histogram } from 'hdr-histogram-js';
import { parseResource } from './parse-resource.js';
import { keySha256Of } from './request-simulation.js';

const TEAM_COUNTS = [10, 100, 300] as const;
const EXECUTORS = 9;
const SLOTS = 8;
const WAITING = 3_000;
const WARM_UP = 20_000;
const REQUESTS = 100_000;
const NANOS_PER_MILLI = 1_000_000;

/** Decision time per request: its arrival plus the end of its attempt, in microseconds. */
export interface DecisionTimeRow {
  readonly teams: number;
  readonly meanUs: number;
  readonly p50Us: number;
  readonly p99Us: number;
}

/** Measures decision time per request with work of 10, 100 and 300 teams queued. */
export function measureDecisionTime(seed: number): readonly DecisionTimeRow[] {
  return TEAM_COUNTS.map((teams) => timeRequests(teams, seed));
}

/** Measures decision time per request with the given number of teams. */
export function timeRequests(teams: number, seed: number): DecisionTimeRow {
  const load = new SaturatedEntry(teams, seed);
  load.run(WARM_UP);
  const nanos = load.run(REQUESTS);
  return {
    teams,
    meanUs: nanos.mean / 1_000,
    p50Us: nanos.getValueAtPercentile(50) / 1_000,
    p99Us: nanos.getValueAtPercentile(99) / 1_000,
  };
}

/** An entry with full executors and a constant number of waiting requests. */
class SaturatedEntry {
  readonly #decider: RequestDecider;
  readonly #random: SeededRandom;
  readonly #teams: number;
  readonly #running: Extract<RequestDecision, { type: 'send' }>[] = [];
  #now: Millis = 0;
  #nextId = 0;

  constructor(teams: number, seed: number) {
    this.#teams = teams;
    this.#random = new SeededRandom(seed);
    this.#decider = new RequestDecider({ random: this.#random });
    this.#decider.handle({ type: 'config-changed', cfg: configuration(teams) }, 0);
    const forever = Number.MAX_SAFE_INTEGER;
    const units = new Map(Array.from({ length: teams }, (_, index) => [`t${index}`, 100] as const));
    this.#decider.handle({ type: 'freshness', until: forever }, 0);
    this.#decider.handle({ type: 'grants-changed', units, validUntil: forever }, 0);
    for (let count = 0; count < WAITING; count += 1) {
      this.#arrive();
    }
  }

  /** Time of each round of one arrival and one ended attempt, in nanoseconds. */
  run(rounds: number): Histogram {
    const nanos = build({ highestTrackableValue: 10_000 * NANOS_PER_MILLI, useWebAssembly: false });
    for (let round = 0; round < rounds; round += 1) {
      const start = process.hrtime.bigint();
      this.#arrive();
      this.#endOne();
      nanos.recordValue(Number(process.hrtime.bigint() - start));
      this.#now += 0.01;
    }
    return nanos;
  }

  #arrive(): void {
    this.#nextId += 1;
    const arrival = {
      id: String(this.#nextId),
      queue: 'q',
      keySha256: keySha256Of(`t${this.#random.nextInt(this.#teams)}`),
      workClass: 'normal',
      idempotent: true,
      deadline: this.#now + 60_000,
    } as const;
    this.#collect(this.#decider.handle({ type: 'arrived', arrival }, this.#now));
  }

  #endOne(): void {
    const index = this.#random.nextInt(this.#running.length);
    const [ended] = this.#running.splice(index, 1);
    if (ended === undefined) {
      return;
    }
    const { id, upstream } = ended;
    const result = { type: 'answered' } as const;
    const event = { type: 'attempt-ended', id, upstream, result } as const;
    this.#collect(this.#decider.handle(event, this.#now));
  }

  #collect(decisions: readonly RequestDecision[]): void {
    this.#running.push(...decisions.filter((decision) => decision.type === 'send'));
  }
}

function configuration(teams: number): Configuration {
  return Configuration.of(1, [
    parseResource('zone', 'z', { region: 'r' }),
    parseResource('queue', 'q', { pool: 'p', maxDeadlineMs: 60_000 }),
    parseResource('pool', 'p', { size: EXECUTORS, budget: { maxUnavailable: 1 } }),
    ...Array.from({ length: EXECUTORS }, (_, index) =>
      parseResource('upstream', `u${index}`, {
        pool: 'p',
        zone: 'z',
        address: '127.0.0.1:1',
        slots: SLOTS,
      }),
    ),
    ...Array.from({ length: teams }, (_, index) =>
      parseResource('team', `t${index}`, {
        share: 1 + (index % 4),
        limit: { requests: 100 },
        keys: [{ id: 'k', sha256: keySha256Of(`t${index}`) }],
      }),
    ),
  ]);
}
