import type { Incarnation, MemberId, Millis } from '@turmerichoist/core';
import { ABSENT_EXPIRY_MS, RECLAIM_AFTER_MS } from './constants.js';
import type { Grant } from './rows.js';

type HolderKey = `${MemberId}/${Incarnation}`;

const keyOf = (member: MemberId, incarnation: Incarnation): HolderKey => `${member}/${incarnation}`;

/** Knows which holders are gone, and when no work can run any more under their grants. */
export class Holders {
  #present: ReadonlySet<HolderKey> = new Set();
  readonly #reclaimAt = new Map<HolderKey, Millis>();
  readonly #expired = new Set<HolderKey>();
  #informed = false;

  /** Replaces the list of sessions that have a member row. */
  onMembers(rows: readonly Omit<Grant, 'units'>[], now: Millis): void {
    const present = new Set(rows.map(({ member, incarnation }) => keyOf(member, incarnation)));
    for (const key of this.#present) {
      if (!present.has(key)) {
        this.#gone(key, now + ABSENT_EXPIRY_MS);
      }
    }
    for (const key of present) {
      if (!this.#expired.has(key)) {
        this.#reclaimAt.delete(key);
      }
    }
    this.#present = present;
    this.#informed = true;
  }

  /** The session of that incarnation was observed as expired at `at`. */
  onExpired(member: MemberId, incarnation: Incarnation, at: Millis): void {
    const key = keyOf(member, incarnation);
    this.#expired.add(key);
    this.#gone(key, at);
  }

  /** Notes the holders of a row, since some may never have been seen as members. */
  onGrants(grants: readonly Grant[], now: Millis): void {
    for (const { member, incarnation } of grants) {
      const key = keyOf(member, incarnation);
      if (this.#informed && !this.#present.has(key)) {
        this.#gone(key, now + ABSENT_EXPIRY_MS);
      }
    }
  }

  /** True when no work can run under the holder's grants any more. */
  isReclaimable({ member, incarnation }: Grant, now: Millis): boolean {
    const at = this.#reclaimAt.get(keyOf(member, incarnation));
    return at !== undefined && now >= at;
  }

  #gone(key: HolderKey, expiredAt: Millis): void {
    const at = expiredAt + RECLAIM_AFTER_MS;
    this.#reclaimAt.set(key, Math.min(at, this.#reclaimAt.get(key) ?? at));
  }
}
