import type { MemberId, Millis } from '@turmerichoist/core';

/** How long the outage rule extends a configuration; equal to `CONFIG_FRESH_MS` (design 4.8). */
export const OUTAGE_EXTENSION_MS: Millis = 8_000;

/** What the outage rule needs to know of one member that counts. */
export interface OutageWitness {
  readonly member: MemberId;
  readonly contact: boolean;
  /** The member's latest report, if there is one. */
  readonly report?: { readonly storeReachable: boolean; readonly datedAt: Millis };
}

/**
 * End of the unanimous-outage exception, or undefined when it does not apply. It applies while this
 * member can't reach the store, is in contact with every member that counts, and all report the
 * same: then no one can have accepted a change. It ends a fixed time after the oldest report.
 */
export function outageUntil(
  ownReachable: boolean,
  ownSince: Millis,
  witnesses: readonly OutageWitness[],
  now: Millis,
): Millis | undefined {
  if (ownReachable) {
    return undefined;
  }
  let oldest = now;
  for (const { contact, report } of witnesses) {
    // A report from before this member lost the store may be older than an accepted change.
    if (!contact || report === undefined || report.storeReachable || report.datedAt < ownSince) {
      return undefined;
    }
    oldest = Math.min(oldest, report.datedAt);
  }
  const until = oldest + OUTAGE_EXTENSION_MS;
  return until > now ? until : undefined;
}
