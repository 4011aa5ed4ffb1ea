import { createHash } from 'node:crypto';
import type { MemberId, Millis } from '../types/index.js';
import { IDEMPOTENCY_WINDOW_MS } from './idempotency-table.js';

/**
 * The member that keeps an idempotency key, by rendezvous hashing: a change of the members moves
 * only the keys of the member that left or joined. `undefined` without members.
 */
export function homeOf(key: string, members: readonly MemberId[]): MemberId | undefined {
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

interface MemberList {
  readonly members: readonly MemberId[];
  readonly from: Millis;
}

/**
 * Tells the home of an idempotency key whether its table covers the whole window. It does not if the
 * home joined within the window, or if the key had another home then which has left since.
 */
export class HomeHistory {
  readonly #self: MemberId;
  #lists: readonly MemberList[] = [];

  constructor(self: MemberId) {
    this.#self = self;
  }

  membersChanged(members: readonly MemberId[], now: Millis): void {
    const started = this.#lists.findLastIndex((list) => list.from <= now - IDEMPOTENCY_WINDOW_MS);
    const inWindow = this.#lists.slice(Math.max(0, started));
    this.#lists = [...inWindow, { members, from: now }];
  }

  /** Whether this entry has been the home of the key for the whole window. */
  covers(key: string, now: Millis): boolean {
    const since = now - IDEMPOTENCY_WINDOW_MS;
    const oldest = this.#lists[0];
    if (oldest === undefined || oldest.from > since) {
      return false;
    }
    const inForce = this.#lists.filter((_, at) => (this.#lists[at + 1]?.from ?? now) > since);
    return inForce.every((list) => homeOf(key, list.members) === this.#self);
  }
}
