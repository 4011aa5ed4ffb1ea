import {
  type Arrival,
  Configuration,
  type ExecutorChooser,
  type Millis,
  type Random,
  type RequestDecision,
  RequestDecider,
  type RequestEvent,
  type Resource,
  SeededRandom,
  type WorkClass,
} from '@turmerichoist/core';
import { build, type Histogram } from 'hdr-histogram-js';
import { type ExecutorProfile, FakeExecutor } from './fake-executor.js';
import { parseResource } from './parse-resource.js';
import { VirtualTimeScheduler } from './virtual-time-scheduler.js';

export const TICK_MS = 10;
/** Limit and granted units of each team, too high to be the bottleneck. */
const AMPLE_UNITS = 100_000;
const MICROS_PER_MS = 1_000;

/** A queue and a pool of the same name, with the executors of the pool. */
export interface Service {
  readonly name: string;
  readonly executors: readonly ExecutorProfile[];
}

export interface RequestSimulationOptions {
  readonly entries: number;
  readonly services: readonly Service[];
  /** Weight of each team. */
  readonly teams: ReadonlyMap<string, number>;
  readonly chooser: (random: Random) => ExecutorChooser;
  readonly seed: number;
  /** Period at which entries publish their demand to each other; 0 disables publication. */
  readonly publishMs: Millis;
}

/** Counts of requests by outcome, and their waiting times in microseconds. */
export class Tally {
  readonly waits: Histogram = build({ highestTrackableValue: 120_000_000, useWebAssembly: false });
  readonly answered = new Map<string, number>();
  readonly refusals = new Map<string, number>();
  arrived = 0;
  attempts = 0;
  refusedAttempts = 0;

  get answeredTotal(): number {
    return [...this.answered.values()].reduce((sum, count) => sum + count, 0);
  }
}

interface OpenRequest {
  readonly team: string;
  readonly arrivedAt: Millis;
  startedAt: Millis;
}

/** Simulates entries, each with its own decider, in front of fake executors in virtual time. */
export class RequestSimulation {
  readonly time = new VirtualTimeScheduler();
  readonly random: Random;
  tally = new Tally();
  readonly #entries: readonly RequestDecider[];
  readonly #executors: ReadonlyMap<string, FakeExecutor>;
  readonly #open: readonly Map<string, OpenRequest>[];
  #nextId = 0;

  constructor(options: RequestSimulationOptions) {
    this.random = new SeededRandom(options.seed);
    const members = Array.from({ length: options.entries }, (_, index) => `e${index}`);
    this.#open = members.map(() => new Map());
    this.#executors = this.#makeExecutors(options.services);
    this.#entries = members.map((self) => {
      const random = new SeededRandom(this.random.nextInt(1_000_000_000));
      return new RequestDecider({ random, self, chooser: options.chooser(random) });
    });
    this.#entries.forEach((_, index) => {
      this.#initEntry(index, members, options);
    });
  }

  /** Submits a request of the team to an entry. Its deadline is `timeoutMs` from now. */
  submit(
    entry: number,
    queue: string,
    team: string,
    timeoutMs: Millis,
    workClass?: WorkClass,
  ): void {
    this.#nextId += 1;
    const id = String(this.#nextId);
    const arrivedAt = this.time.now();
    this.tally.arrived += 1;
    this.#open[entry]?.set(id, { team, arrivedAt, startedAt: arrivedAt });
    const arrival: Arrival = {
      id,
      queue,
      keySha256: keySha256Of(team),
      workClass: workClass ?? 'normal',
      idempotent: this.random.next() < 0.7,
      deadline: arrivedAt + timeoutMs,
    };
    this.#handle(entry, { type: 'arrived', arrival });
  }

  /** Calls `arrive` at exponentially distributed intervals from now on. */
  startPoissonArrivals(perSecond: number, arrive: () => void): void {
    const intervalMs = (-Math.log(1 - this.random.next()) * 1_000) / perSecond;
    this.time.after(intervalMs, () => {
      arrive();
      this.startPoissonArrivals(perSecond, arrive);
    });
  }

  #initEntry(entry: number, members: readonly string[], options: RequestSimulationOptions): void {
    const forever = Number.MAX_SAFE_INTEGER;
    const units = new Map([...options.teams.keys()].map((team) => [team, AMPLE_UNITS]));
    this.#handle(entry, { type: 'config-changed', cfg: configuration(options) });
    this.#handle(entry, { type: 'members-changed', members });
    this.#handle(entry, { type: 'freshness', until: forever });
    this.#handle(entry, { type: 'grants-changed', units, validUntil: forever });
    this.time.every(TICK_MS, () => {
      this.#handle(entry, { type: 'tick' });
    });
    if (options.publishMs > 0) {
      this.time.every(options.publishMs, () => {
        this.#publish(entry, members[entry] ?? '');
      });
    }
  }

  #publish(from: number, member: string): void {
    const rows = this.#entries[from]?.demand() ?? [];
    this.#entries.forEach((_, to) => {
      if (to !== from) {
        this.#handle(to, { type: 'peer-demand', member, rows });
      }
    });
  }

  #handle(entry: number, event: RequestEvent): void {
    const decisions = this.#entries[entry]?.handle(event, this.time.now()) ?? [];
    for (const decision of decisions) {
      this.#execute(entry, decision);
    }
  }

  #execute(entry: number, decision: RequestDecision): void {
    if (decision.type === 'send') {
      this.#send(entry, decision);
    } else if (decision.type === 'refuse') {
      this.#open[entry]?.delete(decision.id);
      increment(this.tally.refusals, decision.err.kind);
    }
  }

  #send(entry: number, send: Extract<RequestDecision, { type: 'send' }>): void {
    const { id, upstream, deadline } = send;
    const open = this.#open[entry]?.get(id);
    if (open !== undefined) {
      open.startedAt = this.time.now();
    }
    this.tally.attempts += 1;
    this.#executors.get(upstream)?.attempt(deadline - this.time.now(), (result, load) => {
      this.tally.refusedAttempts += result.type === 'refused' ? 1 : 0;
      if (result.type === 'answered' && open !== undefined) {
        this.#open[entry]?.delete(id);
        increment(this.tally.answered, open.team);
        this.tally.waits.recordValue(Math.round((open.startedAt - open.arrivedAt) * MICROS_PER_MS));
      }
      this.#handle(entry, { type: 'attempt-ended', id, upstream, result, load });
    });
  }

  #makeExecutors(services: readonly Service[]): ReadonlyMap<string, FakeExecutor> {
    const named = services.flatMap((service) =>
      service.executors.map((profile, index) => {
        const executor = new FakeExecutor(profile, this.time, this.random);
        return [executorName(service, index), executor] as const;
      }),
    );
    return new Map(named);
  }
}

function increment(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}

function executorName(service: Service, index: number): string {
  return `${service.name}-u${index}`;
}

/** Fake SHA-256 of the API key of a team: 64 hexadecimal digits derived from its name. */
export function keySha256Of(team: string): string {
  return Buffer.from(team).toString('hex').padEnd(64, '0').slice(0, 64);
}

function configuration(options: RequestSimulationOptions): Configuration {
  const teams = [...options.teams].map(([team, share]) => {
    const keys = [{ id: 'k', sha256: keySha256Of(team) }];
    return parseResource('team', team, { share, limit: { requests: AMPLE_UNITS }, keys });
  });
  const zone = parseResource('zone', 'z', { region: 'r' });
  return Configuration.of(1, [zone, ...teams, ...options.services.flatMap(resourcesOf)]);
}

function resourcesOf(service: Service): readonly Resource[] {
  const { name, executors } = service;
  return [
    parseResource('queue', name, { pool: name, maxDeadlineMs: 60_000 }),
    parseResource('pool', name, { size: executors.length, budget: { maxUnavailable: 1 } }),
    ...executors.map(({ slots }, index) => {
      const spec = { pool: name, zone: 'z', address: '127.0.0.1:1', slots };
      return parseResource('upstream', executorName(service, index), spec);
    }),
  ];
}
