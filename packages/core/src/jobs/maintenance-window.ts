import type { Millis } from '../types/index.js';
import type { MaintenanceWave } from './messages.js';

/**
 * Time that the maintenance of one instance takes a slot of its wave: a drain of up to 3 s, 2 s of
 * maintenance, and the delay until the list of instances shows it as up again.
 */
const SLOT_TIME_MS: Millis = 6_000;
/** Time that is kept for a change of leader while the deferred instances are maintained. */
const RESERVE_MS: Millis = 2_000;
/** Longest deferral, as a share of the wave's duration: a wave that ends late is worse than a peak. */
const MAX_DEFERRED_SHARE = 0.5;

/**
 * Time until which instances of busy pools may be left for later in a wave. -Infinity if it is not
 * known when the wave was requested. `remaining`: instances whose maintenance has not begun.
 */
export function deferrableUntil(
  { maxParallel, window }: Pick<MaintenanceWave, 'maxParallel' | 'window'>,
  remaining: number,
): Millis {
  if (window === undefined) {
    return -Infinity;
  }
  const { requestedAfter, durationMs } = window;
  const rounds = Math.ceil(remaining / Math.max(1, maxParallel));
  const needed = rounds * SLOT_TIME_MS + RESERVE_MS;
  return requestedAfter + Math.min(durationMs - needed, durationMs * MAX_DEFERRED_SHARE);
}
