import type { Millis } from '@turmerichoist/core';

/** Processor and network of one member, as far as they matter for leading a cell. */
export interface LeaderResources {
  /** Processor available to the process, in cores of standard speed. */
  readonly cores: number;
  /** Rate of the member's own network link. */
  readonly linkMbps: number;
}

/** Link rate that a leader needs for each core that it uses. */
const LINK_MBPS_PER_CORE = 100;
/** Capacity from which a member claims a cell without delay, in cores. */
export const AMPLE_CAPACITY = 0.6;
/**
 * Upper bound of the delay before a claim. Longer than a poll interval of the elector (250 ms), so
 * that larger members have seen that the cell is free, and claimed it, before.
 */
export const MAX_CLAIM_DELAY_MS: Millis = 500;
/** The same for a cell that no member has led yet: members start at different times. */
export const MAX_FIRST_CLAIM_DELAY_MS: Millis = 1_500;
/** Ratio of capacities from which moving the leadership is worth its cost. */
const CLEARLY_LARGER_RATIO = 1.5;

/** Capacity of a member for leading a cell, in cores; limited by its link if that is slow. */
export function leaderCapacity({ cores, linkMbps }: LeaderResources): number {
  return Math.min(cores, linkMbps / LINK_MBPS_PER_CORE);
}

/** Time for which a member leaves a cell without a leader to members of larger capacity. */
export function claimDelayMs(capacity: number, first: boolean): Millis {
  const bound = first ? MAX_FIRST_CLAIM_DELAY_MS : MAX_CLAIM_DELAY_MS;
  const missing = 1 - capacity / AMPLE_CAPACITY;
  return bound * Math.min(1, Math.max(0, missing));
}

/** Whether a member of `capacity` leads clearly better than one of `other`. */
export function isClearlyLarger(capacity: number, other: number): boolean {
  return capacity >= other * CLEARLY_LARGER_RATIO;
}
