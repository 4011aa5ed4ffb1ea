import type { Millis, Random, Resources, TaskSpec, WorkClass } from '@turmerichoist/core';
import { teamName } from './deployments.js';

/** A task with its actual resource usage, which differs from the declared resources. */
export interface WorkloadTask {
  readonly spec: TaskSpec;
  readonly actual: Resources;
  readonly runMs: Millis;
}

/** Number of commands per team. Each has its own ratio of actual to declared resources. */
const COMMANDS_PER_TEAM = 4;
const LONG_RUN_FRACTION = 0.1;

/** Draws random tasks. Declared resources are off by a factor that depends on team and command. */
export class Workload {
  readonly #random: Random;
  readonly #usageRatios = new Map<string, number>();
  readonly #prefix: string;
  #count = 0;

  constructor(random: Random, prefix = 't') {
    this.#random = random;
    this.#prefix = prefix;
  }

  drawTask(team: number, workClass: WorkClass, meanMs: Millis): WorkloadTask {
    const command = `job${this.#random.nextInt(COMMANDS_PER_TEAM)}`;
    const processors = 1 + this.#random.nextInt(4);
    const memoryMb = 1_000 + this.#random.nextInt(7_000);
    const ratio = this.#usageRatioOf(`${team} ${command}`) * (0.85 + 0.3 * this.#random.next());
    const actual = {
      processors: roundToHundredths(processors * ratio),
      memoryMb: roundToHundredths(memoryMb * ratio),
      accelerators: 0,
    };
    const runMs = this.#drawRunMs(meanMs);
    const usage = `processors=${actual.processors} memoryMb=${actual.memoryMb}`;
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
    return { spec, actual, runMs };
  }

  /** Ratio of actual to declared resources, drawn once per key, between 0.2 and 1.5. */
  #usageRatioOf(key: string): number {
    const known = this.#usageRatios.get(key) ?? 0.2 * Math.pow(7.5, this.#random.next());
    this.#usageRatios.set(key, known);
    return known;
  }

  /** Exponentially distributed; a tenth of the tasks take five times as long. */
  #drawRunMs(meanMs: Millis): Millis {
    const factor = this.#random.next() < LONG_RUN_FRACTION ? 5 : 1;
    return Math.ceil(-Math.log(1 - this.#random.next()) * meanMs * factor) + 50;
  }
}

function roundToHundredths(value: number): number {
  return Math.round(value * 100) / 100;
}
