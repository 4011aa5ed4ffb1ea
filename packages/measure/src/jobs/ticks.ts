import {
  ManualClock,
  type JobDecider,
  type JobDecision,
  type JobEvent,
  type Millis,
  type ReportedRun,
} from '@turmerichoist/core';
import { newDecider } from './decider-simulation.js';
import { BASE_STEP, GROWN_FLEET, Workload, executorsOf, poolName } from './workload.js';

const MICROS_PER_MS = 1_000;
const TICK_MS: Millis = 100;
const LEASE_MS: Millis = 1e9;
const READY_PERCENT = 100;
const WAVE_NUMBER = 1;
/** Instances of a wave that may be down at once, as a divisor of its size. */
const WAVE_PARALLEL_DIVISOR = 3;

/** Cost of a tick of a decider of 250 executors with lasting tasks. */
export interface TickTime {
  readonly waitingJobs: number;
  /** Instances of an unfinished maintenance wave. */
  readonly waveInstances: number;
  /** Processor time of one tick, which plans maintenance and lending. */
  readonly microsPerTick: number;
}

/** Measures ticks; the orders that they decide are not answered, so nothing changes between them. */
export function measureTicks(
  waitingJobs: number,
  waveInstances: number,
  ticks: number,
  cpuMillis: () => Millis,
): TickTime {
  const fleet = new QuietFleet(waitingJobs, waveInstances);
  const startedAt = cpuMillis();
  for (let n = 0; n < ticks; n += 1) {
    fleet.tick();
  }
  const spentMs = cpuMillis() - startedAt;
  return { waitingJobs, waveInstances, microsPerTick: (spentMs * MICROS_PER_MS) / ticks };
}

/** A fleet in which lasting tasks run, all instances are up and jobs wait for more than there is. */
class QuietFleet {
  readonly #clock = new ManualClock();
  readonly #decider: JobDecider = newDecider(this.#clock);
  readonly #executors = executorsOf(GROWN_FLEET);
  readonly #running = new Map<string, ReportedRun[]>();

  constructor(waitingJobs: number, waveInstances: number) {
    const names = Array.from({ length: GROWN_FLEET.pools }, (_, index) => poolName(index));
    const pools = new Map(names.map((name) => [name, { name, standby: false }]));
    this.#handle({ type: 'config', config: { queues: new Map(), pools, teams: new Map() } });
    this.#handle({ type: 'executors', executors: this.#executors });
    this.#reportAll();
    const lasting = new Workload(GROWN_FLEET, 1).lastingJobs();
    const large = { ...BASE_STEP, resources: { ...BASE_STEP.resources, processors: 1_000 } };
    const waiting = Array.from({ length: waitingJobs }, (_, index) => ({
      ...lasting[index % lasting.length],
      id: `waiting-${index}`,
      spec: { payload: '', steps: [large], occurrences: 1, firstAtWallMs: 0, intervalMs: 0 },
    }));
    const jobs = [...lasting, ...waiting].map((accepted) => ({ accepted }) as never);
    this.#handle({ type: 'jobs', jobs, adopted: false });
    this.#handle({ type: 'schedule' });
    this.#reportAll();
    this.#listInstances();
    if (waveInstances > 0) {
      this.#requestWave(waveInstances);
    }
  }

  tick(): void {
    this.#clock.advance(TICK_MS);
    this.#handle({ type: 'tick' });
  }

  #requestWave(size: number): void {
    const instances = this.#executors.slice(0, size).map(({ id }) => id);
    const maxParallel = Math.ceil(size / WAVE_PARALLEL_DIVISOR);
    const wave = { number: WAVE_NUMBER, instances, maxParallel, begun: [], completed: false };
    this.#handle({ type: 'waves', waves: [wave] });
  }

  #listInstances(): void {
    const instances = this.#executors.map(({ id, pool, zone, rack, capacity }) => {
      return { name: id, pool, state: 'up', zone, rack, capacity, executor: id } as const;
    });
    this.#handle({ type: 'instances', instances, requestedAt: this.#clock.now() });
  }

  #reportAll(): void {
    for (const { id, startedWallMs } of this.#executors) {
      const sentAt = this.#clock.now();
      const running = this.#running.get(id) ?? [];
      const report = { executor: id, startedWallMs, sentAt, running, ended: [] };
      this.#handle({ type: 'report', leaseEndsAt: LEASE_MS, report });
    }
  }

  #handle(event: JobEvent): void {
    this.#decider.handle(event, this.#clock.now()).forEach((decision) => {
      this.#onDecided(decision);
    });
  }

  #onDecided(decision: JobDecision): void {
    if (decision.type !== 'start') {
      return;
    }
    const { executor, task, attempt } = decision;
    const run = { task, attempt, checkpoint: '', percent: READY_PERCENT, gauge: 0 };
    this.#running.set(executor, [...(this.#running.get(executor) ?? []), run]);
  }
}
