import type {
  AcceptedJob,
  ExecutorId,
  ExecutorInfo,
  InstanceOrder,
  JobDecision,
  JobEvent,
  JobId,
  JobProgress,
  Millis,
  TaskRef,
} from '@turmerichoist/core';
import {
  DeciderSimulation,
  SimulatedExecutor,
  poolsConfig,
  type ActiveRun,
  type SimulatedCell,
} from './decider-simulation.js';
import { SimulatedInstances, STANDBY_POOL } from './simulated-instances.js';
import { Workload, executorsOf, type FleetSize } from './workload.js';

const TICK_MS: Millis = 100;
const POLL_MS: Millis = 200;
const LEASE_MS: Millis = 4_500;
const ORDER_MS: Millis = 10;
const INSTANCES_POLL_MS: Millis = 250;
const ARRIVAL_STEP_MS: Millis = 4;
/** All executors have reported by then, so that lasting tasks are placed over all of them. */
const LASTING_JOBS_AT_MS: Millis = 500;
/** Time in which the lasting tasks start before the first finite job arrives. */
const WARM_UP_MS: Millis = 3_000;
/** Time in which the jobs that have arrived may end. */
const COOL_DOWN_MS: Millis = 15_000;
/** Tasks have no target for their latency here. */
const GAUGE = 0;

export interface PoolTurnsOptions {
  readonly size: FleetSize;
  /** Number of instances that are switched off until they are moved to a pool. */
  readonly standby: number;
  /** Time for which jobs arrive. */
  readonly arrivalsMs: Millis;
  /** Time that the move of an instance takes. */
  readonly moveMs: Millis;
  readonly seed: number;
}

/** Result of queues that peak in turn. Instance-seconds are of switched-on instances, while jobs arrive. */
export interface PoolTurns {
  readonly instanceSeconds: number;
  /** Part of them on executors that run nothing. */
  readonly idleFraction: number;
  /** Part of them on executors that run lasting tasks and nothing else. */
  readonly lastingOnlyFraction: number;
  readonly moves: number;
  readonly jobs: number;
  /** Fraction of the finite jobs that are completed within their latency objective. */
  readonly inTimeFraction: number;
  /** Finite jobs that are not completed after the cool-down. */
  readonly unfinished: number;
}

/** Runs a decider over queues that peak in turn, more than their pools hold, in virtual time. */
export function measurePoolTurns(options: PoolTurnsOptions): PoolTurns {
  return new TurnsSimulation(options).run();
}

class TurnsSimulation implements SimulatedCell {
  readonly #options: PoolTurnsOptions;
  readonly #simulation = new DeciderSimulation(this);
  readonly #time = this.#simulation.time;
  readonly #workload: Workload;
  readonly #instances: SimulatedInstances;
  readonly #executors = new Map<ExecutorId, SimulatedExecutor>();
  readonly #completedAt = new Map<JobId, Millis>();
  #finiteJobs = 0;
  readonly #samples = { on: 0, idle: 0, lastingOnly: 0 };
  #moves = 0;

  constructor(options: PoolTurnsOptions) {
    this.#options = options;
    const executors = executorsOf(options.size);
    this.#workload = new Workload(options.size, options.seed);
    this.#instances = new SimulatedInstances(executors, options.standby);
    executors.forEach((info) => {
      this.#open(info);
    });
  }

  run(): PoolTurns {
    const { arrivalsMs } = this.#options;
    this.#start();
    this.#time.runUntil(WARM_UP_MS);
    const arrivalsEndAt = WARM_UP_MS + arrivalsMs;
    this.#time.every(ARRIVAL_STEP_MS, () => {
      if (this.#time.now() < arrivalsEndAt) {
        const jobs = this.#workload.arrivals(this.#time.now(), ARRIVAL_STEP_MS);
        this.#finiteJobs += jobs.length;
        this.#simulation.accept(jobs);
      }
    });
    this.#time.every(TICK_MS, () => {
      if (this.#time.now() < arrivalsEndAt) {
        this.#sample();
      }
    });
    this.#time.runUntil(arrivalsEndAt + COOL_DOWN_MS);
    return this.#result();
  }

  #start(): void {
    this.#deliver(poolsConfig(this.#options.size.pools, STANDBY_POOL));
    this.#listExecutors();
    this.#time.after(LASTING_JOBS_AT_MS, () => {
      this.#simulation.accept(this.#workload.lastingJobs());
    });
    this.#time.every(TICK_MS, () => {
      this.#deliver({ type: 'tick' });
    });
    this.#time.every(INSTANCES_POLL_MS, () => {
      const requestedAt = this.#time.now();
      this.#deliver({ type: 'instances', instances: this.#instances.list(), requestedAt });
    });
  }

  #open(info: ExecutorInfo): void {
    const executor = new SimulatedExecutor(info);
    this.#executors.set(info.id, executor);
    this.#time.after(1, () => {
      this.#poll(executor);
    });
  }

  #listExecutors(): void {
    const executors = [...this.#executors.values()].map(({ info }) => info);
    this.#deliver({ type: 'executors', executors });
  }

  #poll(executor: SimulatedExecutor): void {
    if (this.#executors.get(executor.info.id) === executor) {
      this.#report(executor);
      this.#time.after(POLL_MS, () => {
        this.#poll(executor);
      });
    }
  }

  #report(executor: SimulatedExecutor): void {
    const sentAt = this.#time.now();
    const { info, ended } = executor;
    const { id, startedWallMs } = info;
    const running = executor.running(GAUGE);
    const report = { executor: id, startedWallMs, sentAt, running, ended };
    this.#deliver({ type: 'report', leaseEndsAt: sentAt + LEASE_MS, report });
  }

  onEvent(): void {
    // Nothing is recorded.
  }

  #deliver(event: JobEvent): void {
    this.#simulation.deliver(event);
  }

  carryOut(decision: JobDecision): void {
    switch (decision.type) {
      case 'start':
        this.#startRun(decision.executor, decision);
        return;
      case 'acknowledge':
        this.#executors.get(decision.executor)?.acknowledge(decision.through);
        return;
      case 'persist':
        this.#onProgress(decision.job, decision.progress);
        return;
      case 'order':
        this.#time.after(ORDER_MS, () => {
          this.#move(decision.order);
        });
        return;
      default:
    }
  }

  #startRun(id: ExecutorId, { task, attempt }: ActiveRun): void {
    const executor = this.#executors.get(id);
    const spec = this.#simulation.step(task);
    if (executor === undefined || spec === undefined) {
      return;
    }
    const run = { task, attempt };
    executor.begin(run);
    const durationMs = this.#workload.durationMs(spec);
    if (Number.isFinite(durationMs)) {
      this.#time.after(durationMs, () => {
        this.#endRun(executor, run);
      });
    }
  }

  #endRun(executor: SimulatedExecutor, run: ActiveRun): void {
    if (this.#executors.get(executor.info.id) === executor) {
      executor.end(run);
      this.#report(executor);
    }
  }

  #onProgress(job: JobId, { state }: JobProgress): void {
    if (state === 'completed') {
      this.#completedAt.set(job, this.#time.now());
    }
  }

  #move(order: InstanceOrder): void {
    if (order.type !== 'move') {
      return;
    }
    this.#moves += 1;
    const ended = this.#instances.beginMove(order.instance, order.pool);
    if (ended !== undefined) {
      this.#executors.delete(ended);
    }
    this.#deliver({ type: 'order-answer', order, outcome: 'done' });
    this.#listExecutors();
    this.#time.after(this.#options.moveMs, () => {
      const begun = this.#instances.endMove(order.instance);
      if (begun !== undefined) {
        this.#open(begun);
        this.#listExecutors();
      }
    });
  }

  #sample(): void {
    this.#samples.on += this.#instances.switchedOn;
    for (const { runs } of this.#executors.values()) {
      const finite = runs.some(({ task }) => !this.#isLasting(task));
      if (runs.length === 0) {
        this.#samples.idle += 1;
      } else if (!finite) {
        this.#samples.lastingOnly += 1;
      }
    }
  }

  #isLasting(task: TaskRef): boolean {
    return this.#simulation.step(task)?.lasting === true;
  }

  #result(): PoolTurns {
    const { on, idle, lastingOnly } = this.#samples;
    const jobs = [...this.#simulation.jobs.values()];
    const finite = jobs.filter(({ spec }) => spec.steps[0]?.lasting === false);
    const inTime = finite.filter((job) => this.#isInTime(job)).length;
    return {
      instanceSeconds: (on * TICK_MS) / 1_000,
      idleFraction: idle / on,
      lastingOnlyFraction: lastingOnly / on,
      moves: this.#moves,
      jobs: this.#finiteJobs,
      inTimeFraction: inTime / finite.length,
      unfinished: finite.filter(({ id }) => !this.#completedAt.has(id)).length,
    };
  }

  /** The steps of finite jobs of this workload follow each other. */
  #isInTime({ id, acceptedWallMs, policy, spec }: AcceptedJob): boolean {
    const chainMs = spec.steps.reduce((sum, { estimateMs }) => sum + estimateMs, 0);
    const objectiveMs = policy.slackFactor * chainMs + policy.targetLatencyMs;
    return (this.#completedAt.get(id) ?? Infinity) - acceptedWallMs <= objectiveMs;
  }
}
