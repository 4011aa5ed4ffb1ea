import { add, fitsIn, scale } from '../tasks/resource-arithmetic.js';
import type { Resources } from '../tasks/model.js';
import type { TeamPolicy } from './model.js';

/** Fraction of its cap below which a team may exceed it by one task. */
const EXCESS_BELOW = 0.5;

/** Tasks of one size that start together. */
export interface TaskGroup {
  readonly size: Resources;
  readonly count: number;
}

/**
 * Whether a team may start these tasks on top of its usage. They must fit in its cap, in which 0 is no
 * limit. The last one may exceed it while the team uses under half of it: a task that is larger than
 * the rest of a cap, which operators may lower at any time, would otherwise never start.
 */
export function withinCap(
  usage: Resources,
  { size, count }: TaskGroup,
  team: TeamPolicy | undefined,
): boolean {
  if (team === undefined) {
    return true;
  }
  const { cap } = team;
  const limit = {
    processors: cap.processors || Infinity,
    memoryMb: cap.memoryMb || Infinity,
    accelerators: cap.accelerators || Infinity,
  };
  return (
    fitsIn(add(usage, scale(size, count)), limit) ||
    (isUnder(usage, scale(limit, EXCESS_BELOW)) &&
      fitsIn(add(usage, scale(size, count - 1)), limit))
  );
}

function isUnder(usage: Resources, limit: Resources): boolean {
  return (
    usage.processors < limit.processors &&
    usage.memoryMb < limit.memoryMb &&
    usage.accelerators < limit.accelerators
  );
}
