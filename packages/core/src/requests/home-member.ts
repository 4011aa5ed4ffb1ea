import { createHash } from 'node:crypto';
import type { MemberId, Millis } from '../types/index.js';
import { IDEMPOTENCY_WINDOW_MS } from './idempotency-table.js';

/**
 * Returns the home of an idempotency key, which is the member that stores it, by rendezvous
 * hashing: a membership change moves only the keys of the member that left or joined. `undefined`
 * if there are no members.
 */
export function homeMember(key: string, members: readonly MemberId[]): MemberId | undefined {
  let home: MemberId | undefined;
  let best = '';
  for (const member of members) {
    const score = createHash('sha256').update(`${member}\0${key}`).digest('hex');
    if (score > best) {
      home = member;
      best = score;
    }
  }
  return home;
}

interface MembershipInterval {
  readonly members: readonly MemberId[];
  readonly from: Millis;
}

/**
 * Membership during the idempotency window. The table of a home covers the window of a key unless
 * the home joined within it, or the key had another home within it that has left since.
 */
export class HomeMembershipHistory {
  readonly #self: MemberId;
  #memberships: readonly MembershipInterval[] = [];

  constructor(self: MemberId) {
    this.#self = self;
  }

  membersChanged(members: readonly MemberId[], now: Millis): void {
    const firstInWindow = this.#memberships.findLastIndex(
      (membership) => membership.from <= now - IDEMPOTENCY_WINDOW_MS,
    );
    const inWindow = this.#memberships.slice(Math.max(0, firstInWindow));
    this.#memberships = [...inWindow, { members, from: now }];
  }

  /** Whether this entry has been the home of the key throughout the window. */
  coversWindow(key: string, now: Millis): boolean {
    const since = now - IDEMPOTENCY_WINDOW_MS;
    const oldest = this.#memberships[0];
    if (oldest === undefined || oldest.from > since) {
      return false;
    }
    const inForce = this.#memberships.filter(
      (_, at) => (this.#memberships[at + 1]?.from ?? now) > since,
    );
    return inForce.every((membership) => homeMember(key, membership.members) === this.#self);
  }
}
