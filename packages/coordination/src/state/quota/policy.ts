import type { MemberId, Millis } from '@turmerichoist/core';
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
  readonly self: MemberId;
  /** Units that each other entry lacks. */
  readonly wants: ReadonlyMap<MemberId, number>;
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
    const wish = input.stopping || input.wants.size > 0 ? need : input.peak;
    return Math.min(wish, raiseCeiling(input.row), lowered(input));
  }
}

/** Highest share that can be given to all needs without exceeding `limit` in sum. */
function fairLevel(needs: readonly number[], limit: number): number {
  let left = limit;
  const rising = [...needs].sort((a, b) => a - b);
  for (const [i, need] of rising.entries()) {
    const level = left / (rising.length - i);
    if (need >= level) {
      return level;
    }
    left -= need;
  }
  return Number.POSITIVE_INFINITY;
}

/**
 * As `KeepPeak`, but an entry with more than its fair part of an exhausted limit returns units as
 * its work ends, although more work waits. Otherwise a backlog at one entry keeps all units there
 * and the others refuse all their work.
 */
export class FairSplit implements GrantPolicy {
  readonly #base = new KeepPeak();

  target(input: PolicyInput): number {
    const wish = this.#base.target(input);
    if (input.wants.size === 0 || wish === 0) {
      return wish;
    }
    const needs = new Map(input.wants);
    for (const { member, units } of input.row.grants) {
      if (member !== input.self) {
        needs.set(member, (needs.get(member) ?? 0) + units);
      }
    }
    const own = input.running + input.waiting;
    const level = fairLevel([own, ...needs.values()], raiseCeiling(input.row));
    // Rounded up, so that the parts of all add up to the limit at least and none stays unused.
    return level < 1 ? this.#turn(input, wish) : Math.min(wish, Math.ceil(level));
  }

  /** With less than one unit for each entry, a unit goes on to another after each piece of work. */
  #turn(input: PolicyInput, wish: number): number {
    return Math.min(wish, input.held > 0 ? input.running : 1);
  }
}
