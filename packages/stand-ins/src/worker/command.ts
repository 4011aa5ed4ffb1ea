import type { Millis, Resources } from '@turmerichoist/core';

/** Run time of a command without an `ms` field. */
const DEFAULT_RUN_MS = 100;

/** What a simulated command does. It may use other resources than the task declares. */
export interface CommandBehavior {
  readonly runMs: Millis;
  readonly usage: Resources;
  readonly fails: boolean;
  /** False for a command without checkpoint support, which ignores checkpoint requests. */
  readonly checkpoints: boolean;
}

/**
 * Parses a command such as `render ms=500 processors=2 memoryMb=900 exit=1 checkpoint=no`.
 * Absent fields default to the declared resources, 100 ms, success and checkpoint support.
 */
export function parseCommand(command: string, declared: Resources): CommandBehavior {
  const words = command.split(' ').slice(1);
  const fields = new Map(words.map((word) => word.split('=', 2) as [string, string]));
  const readNumber = (name: string, fallback: number): number => {
    const value = Number(fields.get(name) ?? fallback);
    return Number.isFinite(value) && value >= 0 ? value : fallback;
  };
  return {
    runMs: readNumber('ms', DEFAULT_RUN_MS),
    usage: {
      processors: readNumber('processors', declared.processors),
      memoryMb: readNumber('memoryMb', declared.memoryMb),
      accelerators: declared.accelerators,
    },
    fails: readNumber('exit', 0) !== 0,
    checkpoints: fields.get('checkpoint') !== 'no',
  };
}
