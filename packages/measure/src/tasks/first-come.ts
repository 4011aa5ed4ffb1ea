import type { Millis } from '@turmerichoist/core';
import { teamName, type Deployment } from './deployments.js';
import type { SimulatedScheduler } from './simulated-scheduler.js';
import type { WorkloadTask } from './workload.js';

interface RunningTask {
  readonly task: WorkloadTask;
  readonly worker: number;
  readonly endAt: Millis;
}

/**
 * Baseline scheduler: one first-come, first-served queue for all teams. Each task is placed on the
 * first worker that has its declared resources free.
 */
export class FirstComeFleet implements SimulatedScheduler {
  readonly #deployment: Deployment;
  readonly #free: { processors: number; memoryMb: number }[];
  readonly #queue: WorkloadTask[] = [];
  #running: RunningTask[] = [];
  #now: Millis = 0;

  constructor(deployment: Deployment) {
    this.#deployment = deployment;
    const { workers, processors, memoryMb } = deployment;
    this.#free = Array.from({ length: workers }, () => ({ processors, memoryMb }));
  }

  /** Number of waiting tasks. */
  get queueLength(): number {
    return this.#queue.length;
  }

  submit(task: WorkloadTask): void {
    this.#queue.push(task);
  }

  step(ms: Millis): void {
    this.#now += ms;
    for (const { task, worker } of this.#running.filter(({ endAt }) => endAt <= this.#now)) {
      this.#adjustFree(worker, task, 1);
    }
    this.#running = this.#running.filter(({ endAt }) => endAt > this.#now);
    for (let task = this.#queue[0]; task !== undefined; task = this.#queue[0]) {
      const worker = this.#findWorker(task);
      if (worker < 0) {
        return;
      }
      this.#queue.shift();
      this.#adjustFree(worker, task, -1);
      this.#running.push({ task, worker, endAt: this.#now + task.runMs });
    }
  }

  dominantShares(): readonly number[] {
    const { workers, processors, memoryMb } = this.#deployment;
    return this.#byTeam((team) => {
      const ofTeam = this.#running.filter(({ task }) => task.spec.team === team);
      const cpu = ofTeam.reduce((sum, { task }) => sum + task.spec.resources.processors, 0);
      const mem = ofTeam.reduce((sum, { task }) => sum + task.spec.resources.memoryMb, 0);
      return Math.max(cpu / (workers * processors), mem / (workers * memoryMb));
    });
  }

  waitingCounts(): readonly number[] {
    return this.#byTeam((team) => this.#queue.filter(({ spec }) => spec.team === team).length);
  }

  /** Processors that running tasks declare and processors that they use, over the whole fleet. */
  totals(): { readonly declared: number; readonly used: number } {
    return {
      declared: this.#running.reduce((sum, { task }) => sum + task.spec.resources.processors, 0),
      used: this.#running.reduce((sum, { task }) => sum + task.actual.processors, 0),
    };
  }

  #byTeam(value: (team: string) => number): readonly number[] {
    return Array.from({ length: this.#deployment.teams }, (_, i) => value(teamName(i)));
  }

  #findWorker({ spec }: WorkloadTask): number {
    const { processors, memoryMb } = spec.resources;
    return this.#free.findIndex(
      (free) => free.processors >= processors && free.memoryMb >= memoryMb,
    );
  }

  #adjustFree(worker: number, { spec }: WorkloadTask, sign: 1 | -1): void {
    const free = this.#free[worker];
    if (free !== undefined) {
      free.processors += sign * spec.resources.processors;
      free.memoryMb += sign * spec.resources.memoryMb;
    }
  }
}
