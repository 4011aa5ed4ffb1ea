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
  parseDocument,
} from '@turmerichoist/core';
import { build, type Histogram } from 'hdr-histogram-js';
import { type ExecutorProfile, FakeExecutor } from './fake-executor.js';
import { VirtualTime } from './virtual-time.js';

export const TICK_MS = 10;
/** Limit and grant of each team: never the bottleneck here. */
const AMPLE_UNITS = 100_000;
const MICROS = 1_000;

/** One service: a queue, a pool and its executors. */
export interface Service {
  readonly name: string;
  readonly executors: readonly ExecutorProfile[];
}

export interface FleetOptions {
  readonly entries: number;
  readonly services: readonly Service[];
  /** Weight of each team. */
  readonly teams: ReadonlyMap<string, number>;
  readonly chooser: (random: Random) => ExecutorChooser;
  readonly seed: number;
  /** Period at which entries exchange their demand; 0 for never. */
  readonly publishMs: Millis;
}

/** What came of the requests. Waits are in microseconds. */
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

interface Open {
  readonly team: string;
  readonly arrivedAt: Millis;
  startedAt: Millis;
}

/** Entries with their own deciders, in front of fake executors, on virtual time. */
export class Fleet {
  readonly time = new VirtualTime();
  readonly random: Random;
  tally = new Tally();
  readonly #entries: readonly RequestDecider[];
  readonly #executors: ReadonlyMap<string, FakeExecutor>;
  readonly #open: readonly Map<string, Open>[];
  #nextId = 0;

  constructor(options: FleetOptions) {
    this.random = new SeededRandom(options.seed);
    const members = Array.from({ length: options.entries }, (_, at) => `e${at}`);
    this.#open = members.map(() => new Map());
    this.#executors = this.#makeExecutors(options.services);
    this.#entries = members.map((self) => {
      const random = new SeededRandom(this.random.nextInt(1_000_000_000));
      return new RequestDecider({ random, self, chooser: options.chooser(random) });
    });
    this.#entries.forEach((_, at) => {
      this.#prepare(at, members, options);
    });
  }

  /** Sends a request of the team to an entry. */
  arrive(entry: number, queue: string, team: string, within: Millis, workClass?: WorkClass): void {
    this.#nextId += 1;
    const id = String(this.#nextId);
    const arrivedAt = this.time.now();
    this.tally.arrived += 1;
    this.#open[entry]?.set(id, { team, arrivedAt, startedAt: arrivedAt });
    const arrival: Arrival = {
      id,
      queue,
      keySha256: keyOf(team),
      workClass: workClass ?? 'normal',
      idempotent: this.random.next() < 0.7,
      deadline: arrivedAt + within,
    };
    this.#handle(entry, { type: 'arrived', arrival });
  }

  /** Calls `arrive` at exponentially distributed intervals. */
  poisson(perSecond: number, arrive: () => void): void {
    const gap = (-Math.log(1 - this.random.next()) * 1_000) / perSecond;
    this.time.after(gap, () => {
      arrive();
      this.poisson(perSecond, arrive);
    });
  }

  #prepare(entry: number, members: readonly string[], options: FleetOptions): void {
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
      this.#perform(entry, decision);
    }
  }

  #perform(entry: number, decision: RequestDecision): void {
    if (decision.type === 'send') {
      this.#send(entry, decision);
    } else if (decision.type === 'refuse') {
      this.#open[entry]?.delete(decision.id);
      add(this.tally.refusals, decision.err.kind);
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
        add(this.tally.answered, open.team);
        this.tally.waits.recordValue(Math.round((open.startedAt - open.arrivedAt) * MICROS));
      }
      this.#handle(entry, { type: 'attempt-ended', id, upstream, result, load });
    });
  }

  #makeExecutors(services: readonly Service[]): ReadonlyMap<string, FakeExecutor> {
    const named = services.flatMap((service) =>
      service.executors.map((profile, at) => {
        const executor = new FakeExecutor(profile, this.time, this.random);
        return [executorName(service, at), executor] as const;
      }),
    );
    return new Map(named);
  }
}

function add(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}

function executorName(service: Service, at: number): string {
  return `${service.name}-u${at}`;
}

/** Stand-in for the SHA-256 of the key of a team. */
export function keyOf(team: string): string {
  return Buffer.from(team).toString('hex').padEnd(64, '0').slice(0, 64);
}

function configuration(options: FleetOptions): Configuration {
  const teams = [...options.teams].map(([team, share]) => {
    const keys = [{ id: 'k', sha256: keyOf(team) }];
    return resource('team', team, { share, limit: { requests: AMPLE_UNITS }, keys });
  });
  const zone = resource('zone', 'z', { region: 'r' });
  return Configuration.of(1, [zone, ...teams, ...options.services.flatMap(resourcesOf)]);
}

function resourcesOf(service: Service): readonly Resource[] {
  const { name, executors } = service;
  return [
    resource('queue', name, { pool: name, maxDeadlineMs: 60_000 }),
    resource('pool', name, { size: executors.length, budget: { maxUnavailable: 1 } }),
    ...executors.map(({ slots }, at) => {
      const spec = { pool: name, zone: 'z', address: '127.0.0.1:1', slots };
      return resource('upstream', executorName(service, at), spec);
    }),
  ];
}

export function resource(kind: string, name: string, spec: unknown): Resource {
  return { ...parseDocument({ kind, name, spec }).unwrap(), version: 1 };
}
