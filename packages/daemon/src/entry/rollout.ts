import type { MemberRow, PeerReport, ViewMember } from '@turmerichoist/coordination';
import type { MemberId, Millis, Revision } from '@turmerichoist/core';
import type { RolloutRow, RolloutStatus } from '../api/index.js';

/** A member that was heard of longer ago than this is shown as unknown. */
const KNOWN_MS: Millis = 5_000;

interface Heard {
  readonly revision: Revision;
  readonly at: Millis;
}

/** Tracks which revision each entry has in force. */
export class RolloutTracker {
  readonly #heard = new Map<MemberId, Heard>();
  #view: readonly ViewMember[] = [];

  viewChanged(members: readonly ViewMember[]): void {
    this.#view = members;
  }

  reported({ member, status, datedAt }: PeerReport): void {
    if (status.revision !== undefined) {
      this.#hear(member, status.revision, datedAt);
    }
  }

  /** Member rows that were read; they show what each member had in force when it last renewed. */
  rowsRead(rows: readonly MemberRow[], sentAt: Millis, live: readonly MemberId[]): void {
    for (const { member, appliedRevision } of rows) {
      if (live.includes(member)) {
        this.#hear(member, appliedRevision, sentAt);
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
    const heard = this.#heard.get(member);
    const revision = heard?.revision ?? 0;
    if (heard === undefined || now - heard.at > KNOWN_MS) {
      return { member, zone, revision, state: 'unknown' };
    }
    return { member, zone, revision, state: revision >= head ? 'in-force' : 'behind' };
  }

  #hear(member: MemberId, revision: Revision, at: Millis): void {
    const known = this.#heard.get(member);
    if (known === undefined || at >= known.at || revision > known.revision) {
      this.#heard.set(member, { revision, at: Math.max(at, known?.at ?? at) });
    }
  }
}
