/** Part of the slots of each executor, as an interval within 0 to 1. */
export interface SlotInterval {
  readonly from: number;
  readonly to: number;
}

/**
 * Whole slots of one executor that fall into the interval. For adjoining intervals the slots add up
 * to exactly `slots`. `phase` (0 to 1) shifts the rounding: over executors with evenly spread phases
 * each interval gets its part on average.
 */
export function slotsWithin(interval: SlotInterval, slots: number, phase: number): number {
  const upTo = (bound: number): number => Math.floor(slots * bound + phase);
  return upTo(interval.to) - upTo(interval.from);
}
