import type { Millis, Random, Resources, TaskSpec, WorkClass } from '@turmerichoist/core';
import { teamName } from './deployments.js';

/** A task with what it really uses, which its declaration misses. */
export interface MeasuredTask {
  readonly spec: TaskSpec;
  readonly real: Resources;
  readonly runMs: Millis;
}

/** Commands of one team; each has its own error of declaration. */
const COMMANDS = 4;
const LONG_PART = 0.1;

/** Draws tasks whose declarations are off by a factor that belongs to team and command. */
export class Workload {
  readonly #random: Random;
  readonly #ratios = new Map<string, number>();
  readonly #prefix: string;
  #count = 0;

  constructor(random: Random, prefix = 't') {
    this.#random = random;
    this.#prefix = prefix;
  }

  task(team: number, workClass: WorkClass, meanMs: Millis): MeasuredTask {
    const command = `job${this.#random.nextInt(COMMANDS)}`;
    const processors = 1 + this.#random.nextInt(4);
    const memoryMb = 1_000 + this.#random.nextInt(7_000);
    const ratio = this.#ratioOf(`${team} ${command}`) * (0.85 + 0.3 * this.#random.next());
    const real = {
      processors: round(processors * ratio),
      memoryMb: round(memoryMb * ratio),
      accelerators: 0,
    };
    const runMs = this.#runMs(meanMs);
    const usage = `processors=${real.processors} memoryMb=${real.memoryMb}`;
    this.#count += 1;
    const spec: TaskSpec = {
      id: `${this.#prefix}${this.#count}`,
      team: teamName(team),
      workClass,
      resources: { processors, memoryMb, accelerators: 0 },
      constraints: {},
      idempotent: true,
      command: `${command} ms=${runMs} ${usage}`,
    };
    return { spec, real, runMs };
  }

  /** Between a fifth of the declaration and half above it. */
  #ratioOf(key: string): number {
    const known = this.#ratios.get(key) ?? 0.2 * Math.pow(7.5, this.#random.next());
    this.#ratios.set(key, known);
    return known;
  }

  /** Exponential, with a tenth of the tasks five times as long. */
  #runMs(meanMs: Millis): Millis {
    const long = this.#random.next() < LONG_PART ? 5 : 1;
    return Math.ceil(-Math.log(1 - this.#random.next()) * meanMs * long) + 50;
  }
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
