import type { Millis } from '@turmerichoist/core';
import { teamName, type Deployment } from './deployments.js';
import type { ShareSubject } from './shares.js';
import type { MeasuredTask } from './workload.js';

interface Running {
  readonly task: MeasuredTask;
  readonly worker: number;
  readonly endAt: Millis;
}

/** Baseline: one queue for all teams, placed by declaration on the first worker with room. */
export class FirstComeFleet implements ShareSubject {
  readonly #deployment: Deployment;
  readonly #free: { processors: number; memoryMb: number }[];
  readonly #queue: MeasuredTask[] = [];
  #running: Running[] = [];
  #now: Millis = 0;

  constructor(deployment: Deployment) {
    this.#deployment = deployment;
    const { workers, processors, memoryMb } = deployment;
    this.#free = Array.from({ length: workers }, () => ({ processors, memoryMb }));
  }

  /** Tasks that wait. */
  get queued(): number {
    return this.#queue.length;
  }

  submit(task: MeasuredTask): void {
    this.#queue.push(task);
  }

  step(ms: Millis): void {
    this.#now += ms;
    for (const { task, worker } of this.#running.filter(({ endAt }) => endAt <= this.#now)) {
      this.#change(worker, task, 1);
    }
    this.#running = this.#running.filter(({ endAt }) => endAt > this.#now);
    for (let task = this.#queue[0]; task !== undefined; task = this.#queue[0]) {
      const worker = this.#place(task);
      if (worker < 0) {
        return;
      }
      this.#queue.shift();
      this.#change(worker, task, -1);
      this.#running.push({ task, worker, endAt: this.#now + task.runMs });
    }
  }

  used(): readonly number[] {
    const { workers, processors, memoryMb } = this.#deployment;
    return this.#byTeam((team) => {
      const own = this.#running.filter(({ task }) => task.spec.team === team);
      const cpu = own.reduce((sum, { task }) => sum + task.spec.resources.processors, 0);
      const mem = own.reduce((sum, { task }) => sum + task.spec.resources.memoryMb, 0);
      return Math.max(cpu / (workers * processors), mem / (workers * memoryMb));
    });
  }

  waiting(): readonly number[] {
    return this.#byTeam((team) => this.#queue.filter(({ spec }) => spec.team === team).length);
  }

  /** Processors declared by running tasks and processors that they use, for the whole fleet. */
  totals(): { readonly declared: number; readonly used: number } {
    return {
      declared: this.#running.reduce((sum, { task }) => sum + task.spec.resources.processors, 0),
      used: this.#running.reduce((sum, { task }) => sum + task.real.processors, 0),
    };
  }

  #byTeam(value: (team: string) => number): readonly number[] {
    return Array.from({ length: this.#deployment.teams }, (_, i) => value(teamName(i)));
  }

  #place({ spec }: MeasuredTask): number {
    const { processors, memoryMb } = spec.resources;
    return this.#free.findIndex(
      (free) => free.processors >= processors && free.memoryMb >= memoryMb,
    );
  }

  #change(worker: number, { spec }: MeasuredTask, sign: 1 | -1): void {
    const free = this.#free[worker];
    if (free !== undefined) {
      free.processors += sign * spec.resources.processors;
      free.memoryMb += sign * spec.resources.memoryMb;
    }
  }
}
