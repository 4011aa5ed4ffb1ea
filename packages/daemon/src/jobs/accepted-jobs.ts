import type { AcceptedJob } from '@turmerichoist/core';
import type { RowChange } from '@turmerichoist/coordination';
import type { Logger } from '@turmerichoist/runtime';

/**
 * Decodes the row of an accepted job; undefined if the row has been removed, or is not valid, which is
 * logged. One row that can't be read must not keep the owner from the others.
 */
export function decodeAcceptedJob({ key, value }: RowChange, log: Logger): AcceptedJob | undefined {
  if (value === undefined) {
    return undefined;
  }
  if (!isAcceptedJob(value)) {
    log.error('job row not readable', { row: key });
    return undefined;
  }
  return value;
}

/** Checked by hand: a new owner reads the rows of all jobs before it decides anything. */
function isAcceptedJob(value: unknown): value is AcceptedJob {
  const { id, queue, team, acceptedWallMs, policy, spec } = (value ?? {}) as Partial<AcceptedJob>;
  return (
    typeof id === 'string' &&
    typeof queue === 'string' &&
    typeof team === 'string' &&
    typeof acceptedWallMs === 'number' &&
    typeof policy === 'object' &&
    typeof policy.pool === 'string' &&
    typeof spec === 'object' &&
    Array.isArray(spec.steps)
  );
}
