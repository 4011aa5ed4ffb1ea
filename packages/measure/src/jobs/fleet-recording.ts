import type { ExecutorInfo, JobDecision, JobEvent, Millis } from '@turmerichoist/core';
import {
  DeciderSimulation,
  SimulatedExecutor,
  poolsConfig,
  type ActiveRun,
  type SimulatedCell,
} from './decider-simulation.js';
import { Workload, executorsOf, type FleetSize } from './workload.js';

const NETWORK_MS: Millis = 2;
const STORE_WRITE_MS: Millis = 15;
const TICK_MS: Millis = 100;
const LONG_POLL_MS: Millis = 1_000;
const LEASE_MS: Millis = 4_500;
const INSTANCES_POLL_MS: Millis = 1_000;
const ARRIVAL_STEP_MS: Millis = 4;
/** Time in which the lasting tasks start before the first finite job arrives. */
const WARM_UP_MS: Millis = 2_000;
/** The gauge of the runs differs from report to report, and crosses the target of lasting tasks. */
const MIN_GAUGE = 30;
const GAUGE_RANGE = 100;

/** An event with the monotonic time at which the decider handles it. */
export interface TimedEvent {
  readonly at: Millis;
  readonly event: JobEvent;
}

/** An executor and the poll that it is to answer. */
class PolledExecutor extends SimulatedExecutor {
  pollSentAt: Millis = 0;
  polls = 0;
}

/** Runs a decider with a simulated fleet on a virtual clock and records the events it handles. */
export class FleetRecording implements SimulatedCell {
  readonly events: TimedEvent[] = [];
  readonly #simulation = new DeciderSimulation(this);
  readonly #time = this.#simulation.time;
  readonly #workload: Workload;
  readonly #size: FleetSize;
  readonly #executors = new Map<string, PolledExecutor>();

  constructor(size: FleetSize, seed: number) {
    this.#size = size;
    this.#workload = new Workload(size, seed);
  }

  /** Simulates the warm-up and `forMs` of arriving jobs. */
  run(forMs: Millis): void {
    this.#start();
    this.#time.runUntil(WARM_UP_MS);
    this.#time.every(ARRIVAL_STEP_MS, () => {
      this.#simulation.accept(this.#workload.arrivals(this.#time.now(), ARRIVAL_STEP_MS));
    });
    this.#time.runUntil(WARM_UP_MS + forMs);
  }

  #start(): void {
    const infos = executorsOf(this.#size);
    this.#deliver(poolsConfig(this.#size.pools));
    this.#deliver({ type: 'executors', executors: infos });
    infos.forEach((info, index) => {
      const executor = new PolledExecutor(info);
      this.#executors.set(info.id, executor);
      this.#time.after(index, () => {
        this.#answerPoll(executor);
      });
    });
    this.#simulation.accept(this.#workload.lastingJobs());
    this.#time.every(TICK_MS, () => {
      this.#deliver({ type: 'tick' });
    });
    this.#time.every(INSTANCES_POLL_MS, () => {
      this.#listInstances(infos);
    });
  }

  #listInstances(infos: readonly ExecutorInfo[]): void {
    const instances = infos.map(({ id, pool, zone, rack, capacity }) => {
      return { name: id, pool, state: 'up', zone, rack, capacity, executor: id } as const;
    });
    this.#deliver({ type: 'instances', instances, requestedAt: this.#time.now() });
  }

  onEvent(event: JobEvent, at: Millis): void {
    this.events.push({ at, event });
  }

  #deliver(event: JobEvent): void {
    this.#simulation.deliver(event);
  }

  carryOut(decision: JobDecision): void {
    if (decision.type === 'start') {
      this.#startRun(decision);
    } else if (decision.type === 'acknowledge') {
      this.#time.after(STORE_WRITE_MS, () => {
        this.#executors.get(decision.executor)?.acknowledge(decision.through);
      });
    }
  }

  #startRun({ executor: id, task, attempt }: Extract<JobDecision, { type: 'start' }>): void {
    const executor = this.#executors.get(id);
    const spec = this.#simulation.step(task);
    if (executor === undefined || spec === undefined) {
      return;
    }
    executor.begin({ task, attempt });
    this.#time.after(NETWORK_MS, () => {
      this.#deliver({ type: 'start-answer', task, attempt, executor: id, outcome: 'started' });
    });
    const durationMs = this.#workload.durationMs(spec);
    if (Number.isFinite(durationMs)) {
      this.#time.after(NETWORK_MS + durationMs, () => {
        this.#endRun(executor, { task, attempt });
      });
    }
  }

  #endRun(executor: PolledExecutor, run: ActiveRun): void {
    executor.end(run);
    this.#answerPoll(executor);
  }

  /** Delivers a report and sends the next poll, which is answered at the next end or after 1 s. */
  #answerPoll(executor: PolledExecutor): void {
    const { info, ended, pollSentAt } = executor;
    const gauge = MIN_GAUGE + (this.#time.now() % GAUGE_RANGE);
    this.#deliver({
      type: 'report',
      leaseEndsAt: pollSentAt + LEASE_MS,
      report: {
        executor: info.id,
        startedWallMs: info.startedWallMs,
        sentAt: pollSentAt,
        running: executor.running(gauge),
        ended,
      },
    });
    executor.pollSentAt = this.#time.now();
    executor.polls += 1;
    const poll = executor.polls;
    const leaseEndsAt = executor.pollSentAt + LEASE_MS;
    this.#deliver({ type: 'lease', executor: info.id, leaseEndsAt });
    this.#time.after(LONG_POLL_MS, () => {
      if (executor.polls === poll) {
        this.#answerPoll(executor);
      }
    });
  }
}
