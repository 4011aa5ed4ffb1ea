import type { PlanSpec } from '../resources/index.js';
import type { Millis } from '../types/index.js';

const MINUTE_MS = 60_000;
const DAY_MINUTES = 1_440;

/** True if a wave may start at this time of day (UTC). A window may span midnight. */
export function isInWindow(window: PlanSpec['window'], wallMs: Millis): boolean {
  if (window === undefined) {
    return true;
  }
  const { fromMinute, toMinute } = window;
  const minute = Math.floor(wallMs / MINUTE_MS) % DAY_MINUTES;
  return fromMinute <= toMinute
    ? minute >= fromMinute && minute < toMinute
    : minute >= fromMinute || minute < toMinute;
}

/** Minutes of each day during which waves may start. */
export function windowMinutes(window: PlanSpec['window']): number {
  if (window === undefined) {
    return DAY_MINUTES;
  }
  const { fromMinute, toMinute } = window;
  return (toMinute - fromMinute + DAY_MINUTES) % DAY_MINUTES;
}
