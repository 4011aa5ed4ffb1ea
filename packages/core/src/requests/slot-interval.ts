/** Part of the slots of each executor, as an interval within [0, 1]. */
export interface SlotInterval {
  readonly from: number;
  readonly to: number;
}

/**
 * Number of whole slots of one executor within the interval. For adjacent intervals that cover
 * [0, 1], the numbers add up to exactly `slots`. `phase`, in [0, 1), shifts the rounding: over
 * executors with evenly spread phases, each interval gets its exact part on average.
 */
export function slotsWithin(interval: SlotInterval, slots: number, phase: number): number {
  const upTo = (bound: number): number => Math.floor(slots * bound + phase);
  return upTo(interval.to) - upTo(interval.from);
}
