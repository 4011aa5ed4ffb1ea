import type { MemberId, Millis } from '@turmerichoist/core';
import { grantedUnits, maxGrantedUnits, type QuotaRow } from './rows.js';

/** Input of a policy: the state of one team at this member. */
export interface PolicyInput {
  readonly running: number;
  readonly waiting: number;
  /** Highest sum of running and waiting work in the last `GRANT_IDLE_MS`. */
  readonly peak: number;
  /** Units granted to this member. */
  readonly held: number;
  readonly row: QuotaRow;
  readonly self: MemberId;
  /** Unmet demand of each other member, in units. */
  readonly wants: ReadonlyMap<MemberId, number>;
  readonly stopping: boolean;
  readonly now: Millis;
}

/** Decides how many units a member should hold. */
export interface GrantPolicy {
  target(input: PolicyInput): number;
}

/** A holder's proportional share of a lowered limit while the sum of the grants exceeds it. */
function loweredShare(input: PolicyInput): number {
  const { held, row } = input;
  const sum = grantedUnits(row);
  const ceiling = maxGrantedUnits(row);
  return sum > ceiling ? Math.floor((held * ceiling) / sum) : Number.POSITIVE_INFINITY;
}

/** Holds units for the recent peak; returns idle units at once when others have unmet demand. */
export class PeakDemandPolicy implements GrantPolicy {
  target(input: PolicyInput): number {
    const need = input.running + input.waiting;
    const desired = input.stopping || input.wants.size > 0 ? need : input.peak;
    return Math.min(desired, maxGrantedUnits(input.row), loweredShare(input));
  }
}

/** The max-min fair share: the highest cap on each need at which their sum stays within `limit`. */
function maxMinFairShare(needs: readonly number[], limit: number): number {
  let left = limit;
  const ascending = [...needs].sort((a, b) => a - b);
  for (const [i, need] of ascending.entries()) {
    const level = left / (ascending.length - i);
    if (need >= level) {
      return level;
    }
    left -= need;
  }
  return Number.POSITIVE_INFINITY;
}

/**
 * As `PeakDemandPolicy`, but a member with more than its fair share of an exhausted limit returns
 * units as its work ends, even if more work waits. Otherwise a backlog at one member would keep all
 * units there, and the others would refuse all their work.
 */
export class FairSharePolicy implements GrantPolicy {
  readonly #base = new PeakDemandPolicy();

  target(input: PolicyInput): number {
    const desired = this.#base.target(input);
    if (input.wants.size === 0 || desired === 0) {
      return desired;
    }
    const needs = new Map(input.wants);
    for (const { member, units } of input.row.grants) {
      if (member !== input.self) {
        needs.set(member, (needs.get(member) ?? 0) + units);
      }
    }
    const own = input.running + input.waiting;
    const level = maxMinFairShare([own, ...needs.values()], maxGrantedUnits(input.row));
    // Rounded up, so that the shares add up to at least the limit and no unit stays unused.
    return level < 1 ? this.#rotateUnit(input, desired) : Math.min(desired, Math.ceil(level));
  }

  /** With less than one unit per member, a unit is passed on after each piece of work. */
  #rotateUnit(input: PolicyInput, desired: number): number {
    return Math.min(desired, input.held > 0 ? input.running : 1);
  }
}
