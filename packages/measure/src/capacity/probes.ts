import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import type { Millis } from '@turmerichoist/core';

const BYTES_PER_MB = 1_048_576;
const MICROS_PER_MS = 1_000;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Heap in use after a garbage collection, in MB. */
export function usedHeapMb(): number {
  collectGarbage();
  return process.memoryUsage().heapUsed / BYTES_PER_MB;
}

/** Processor time that this process has used. */
export function cpuMillis(): Millis {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROS_PER_MS;
}

export function median(values: readonly number[]): number {
  return values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;
}
