import type { Millis } from '../types/index.js';
import type { StepSpec } from './model.js';

/** Declared duration of the longest chain of dependent steps. */
export function criticalPathMs(steps: readonly StepSpec[]): Millis {
  const ends: Millis[] = [];
  for (const step of steps) {
    const start = Math.max(0, ...step.after.map((other) => ends[other] ?? 0));
    ends.push(start + step.estimateMs);
  }
  return Math.max(0, ...ends);
}
