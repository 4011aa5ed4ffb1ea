import type { Millis } from '@turmerichoist/core';
import { grantedUnits, raiseCeiling, type QuotaRow } from './rows.js';

/** What a policy knows of one team at this entry. */
export interface PolicyInput {
  /** Running and waiting work. */
  readonly running: number;
  readonly waiting: number;
  /** Highest sum of both in the last `GRANT_IDLE_MS`. */
  readonly peak: number;
  /** Units granted to this entry. */
  readonly held: number;
  readonly row: QuotaRow;
  /** Units that other entries lack. */
  readonly wanted: number;
  readonly stopping: boolean;
  readonly now: Millis;
}

/** Decides how many units an entry should hold. */
export interface GrantPolicy {
  target(input: PolicyInput): number;
}

/** Share of a lowered limit that a holder may keep while the sum is above it. */
function lowered(input: PolicyInput): number {
  const { held, row } = input;
  const sum = grantedUnits(row);
  const ceiling = raiseCeiling(row);
  return sum > ceiling ? Math.floor((held * ceiling) / sum) : Number.POSITIVE_INFINITY;
}

/** Holds the recent peak of the need; gives idle units up at once when others want them. */
export class KeepPeak implements GrantPolicy {
  target(input: PolicyInput): number {
    const need = input.running + input.waiting;
    const wish = input.stopping || input.wanted > 0 ? need : input.peak;
    return Math.min(wish, raiseCeiling(input.row), lowered(input));
  }
}
