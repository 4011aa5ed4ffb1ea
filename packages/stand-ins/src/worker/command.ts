import type { Millis, Resources } from '@turmerichoist/core';

/** Run time of a command that does not state one. */
const DEFAULT_RUN_MS = 100;

/** What a command of the stand-in really does, however it was declared. */
export interface CommandPlan {
  readonly runMs: Millis;
  readonly usage: Resources;
  readonly fails: boolean;
  /** False: a request to checkpoint is ignored, as by a program without checkpoints. */
  readonly checkpoints: boolean;
}

/**
 * Reads a command such as `render ms=500 processors=2 memoryMb=900 exit=1 checkpoint=no`.
 * Fields that are absent default to the declared resources, 100 ms, success and checkpoints.
 */
export function planOf(command: string, declared: Resources): CommandPlan {
  const words = command.split(' ').slice(1);
  const fields = new Map(words.map((word) => word.split('=', 2) as [string, string]));
  const amount = (name: string, otherwise: number): number => {
    const value = Number(fields.get(name) ?? otherwise);
    return Number.isFinite(value) && value >= 0 ? value : otherwise;
  };
  return {
    runMs: amount('ms', DEFAULT_RUN_MS),
    usage: {
      processors: amount('processors', declared.processors),
      memoryMb: amount('memoryMb', declared.memoryMb),
      accelerators: declared.accelerators,
    },
    fails: amount('exit', 0) !== 0,
    checkpoints: fields.get('checkpoint') !== 'no',
  };
}
