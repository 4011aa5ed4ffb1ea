import type { MemberId, Millis } from '@turmerichoist/core';
import { CONFIG_FRESH_MS } from '../config-freshness.js';

/** A member that could accept a configuration change, as the outage rule sees it. */
export interface OutageParticipant {
  readonly member: MemberId;
  readonly contact: boolean;
  /** The member's latest report, if any. */
  readonly report?: { readonly storeReachable: boolean; readonly datedAt: Millis };
}

/**
 * Time until which the unanimous-outage rule applies, or undefined when it does not. It applies
 * while this member can't reach the store, is in contact with every participant, and all report the
 * same: then no member can have accepted a change. It ends `CONFIG_FRESH_MS` after the oldest
 * report.
 */
export function outageUntil(
  storeReachable: boolean,
  storeStateSince: Millis,
  participants: readonly OutageParticipant[],
  now: Millis,
): Millis | undefined {
  if (storeReachable) {
    return undefined;
  }
  let oldest = now;
  for (const { contact, report } of participants) {
    // A report dated before this member lost the store may predate an accepted change.
    if (
      !contact ||
      report === undefined ||
      report.storeReachable ||
      report.datedAt < storeStateSince
    ) {
      return undefined;
    }
    oldest = Math.min(oldest, report.datedAt);
  }
  const until = oldest + CONFIG_FRESH_MS;
  return until > now ? until : undefined;
}
