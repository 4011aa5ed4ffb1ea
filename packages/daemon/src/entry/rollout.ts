import type { MemberRow, PeerReport, ViewMember } from '@turmerichoist/coordination';
import type { MemberId, Millis, Revision } from '@turmerichoist/core';
import type { RolloutRow, RolloutStatus } from '../api/index.js';

/** A member whose last report is older than this is shown as `unknown`. */
const STALE_AFTER_MS: Millis = 5_000;

interface KnownRevision {
  readonly revision: Revision;
  readonly at: Millis;
}

/** Tracks the revision that each entry has applied. */
export class RolloutTracker {
  readonly #knownRevisions = new Map<MemberId, KnownRevision>();
  #view: readonly ViewMember[] = [];

  viewChanged(members: readonly ViewMember[]): void {
    this.#view = members;
  }

  recordReport({ member, status, datedAt }: PeerReport): void {
    if (status.revision !== undefined) {
      this.#recordRevision(member, status.revision, datedAt);
    }
  }

  /**
   * Records member rows, which hold the revision that each member had applied when it last renewed.
   */
  recordRows(rows: readonly MemberRow[], sentAt: Millis, live: readonly MemberId[]): void {
    for (const { member, appliedRevision } of rows) {
      if (live.includes(member)) {
        this.#recordRevision(member, appliedRevision, sentAt);
      }
    }
  }

  status(self: RolloutRow, head: Revision, now: Millis): RolloutStatus {
    const others = this.#view
      .filter(({ member, state }) => member !== self.member && state !== 'expired')
      .map(({ member, zone }) => this.#row(member, zone, head, now));
    return { head, members: [self, ...others] };
  }

  #row(member: MemberId, zone: string, head: Revision, now: Millis): RolloutRow {
    const lastKnown = this.#knownRevisions.get(member);
    const revision = lastKnown?.revision ?? 0;
    if (lastKnown === undefined || now - lastKnown.at > STALE_AFTER_MS) {
      return { member, zone, revision, state: 'unknown' };
    }
    return { member, zone, revision, state: revision >= head ? 'in-force' : 'behind' };
  }

  #recordRevision(member: MemberId, revision: Revision, at: Millis): void {
    const known = this.#knownRevisions.get(member);
    if (known === undefined || at >= known.at || revision > known.revision) {
      this.#knownRevisions.set(member, { revision, at: Math.max(at, known?.at ?? at) });
    }
  }
}
