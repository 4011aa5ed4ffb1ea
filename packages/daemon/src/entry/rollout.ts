import type { MemberRow, PeerReport, ViewMember } from '@turmerichoist/coordination';
import type { Incarnation, MemberId, Millis, Revision } from '@turmerichoist/core';
import type { RolloutRow, RolloutStatus } from '../api/index.js';

/** A member whose last report is older than this is shown as `unknown`. */
const STALE_AFTER_MS: Millis = 5_000;

/** Revision of one process of a member. It never falls, whatever is read or reported later. */
interface KnownRevision {
  /** Undefined until a row or a report names it. */
  readonly incarnation: Incarnation | undefined;
  readonly revision: Revision;
  /** When it was last read or reported. */
  readonly at: Millis;
}

/** Tracks the revision that each entry has applied. */
export class RolloutTracker {
  readonly #knownRevisions = new Map<MemberId, KnownRevision>();
  #view: readonly ViewMember[] = [];

  viewChanged(members: readonly ViewMember[]): void {
    this.#view = members;
  }

  /** Reports of another process than the one in the member's row are not recorded. */
  recordReport({ member, incarnation, status, datedAt }: PeerReport): void {
    const known = this.#knownRevisions.get(member);
    const forwarded = incarnation === undefined;
    // A forwarded report may be of a former process if a row has been read since.
    const isOther = forwarded
      ? datedAt < (known?.at ?? -Infinity)
      : incarnation !== (known?.incarnation ?? incarnation);
    if (status.revision !== undefined && !isOther) {
      this.#raise(member, known?.incarnation ?? incarnation, status.revision, datedAt);
    }
  }

  /**
   * Records member rows, which hold the revision that each member had applied when it last renewed: a
   * report may already have shown a newer one.
   */
  recordRows(rows: readonly MemberRow[], sentAt: Millis, live: readonly MemberId[]): void {
    for (const { member, incarnation, appliedRevision } of rows) {
      if (live.includes(member)) {
        const known = this.#knownRevisions.get(member)?.incarnation;
        if (known !== undefined && known !== incarnation) {
          this.#knownRevisions.delete(member);
        }
        this.#raise(member, incarnation, appliedRevision, sentAt);
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

  #raise(
    member: MemberId,
    incarnation: Incarnation | undefined,
    revision: Revision,
    at: Millis,
  ): void {
    const known = this.#knownRevisions.get(member);
    this.#knownRevisions.set(member, {
      incarnation,
      revision: Math.max(revision, known?.revision ?? revision),
      at: Math.max(at, known?.at ?? at),
    });
  }
}
