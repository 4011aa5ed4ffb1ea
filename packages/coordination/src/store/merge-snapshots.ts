import type { TableSnapshot } from './types.js';

/**
 * Combines snapshots (at least one) of the parts of one table that were read at different moments. The position is
 * the lowest one, so that no change is missed; changes of parts that were read later may be
 * received again.
 */
export function mergeSnapshots(snapshots: readonly TableSnapshot[]): TableSnapshot {
  return {
    rows: snapshots.flatMap(({ rows }) => rows),
    position: Math.min(...snapshots.map(({ position }) => position)),
  };
}
