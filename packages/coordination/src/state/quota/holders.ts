import type { Incarnation, MemberId, Millis } from '@turmerichoist/core';
import { ABSENT_EXPIRY_MS, MEMBERS_GAP_MS, RECLAIM_AFTER_MS } from './constants.js';
import type { Grant } from './rows.js';

type Session = Omit<Grant, 'units'>;

/** What is known of one session that holds or held grants. */
interface HolderRecord extends Session {
  readonly noticedAt: Millis;
  /** When its session was observed as expired. */
  readonly expiredAt?: Millis;
  /** When another incarnation of the member had taken its row. */
  readonly supersededAt?: Millis;
  /** Since when the member has had no row, without a gap in the reads. */
  readonly absentSince?: Millis;
}

interface CurrentSession {
  readonly incarnation: Incarnation;
  readonly firstSeen: Millis;
}

/** A record is made anew when its holder is noticed again after this time. */
const FORGET_MS: Millis = 600_000;

/** Knows which holders are gone, and when no work can run any more under their grants. */
export class Holders {
  #current: ReadonlyMap<MemberId, CurrentSession> = new Map();
  readonly #records = new Map<string, HolderRecord>();
  #lastReadAt: Millis = Number.NEGATIVE_INFINITY;

  /** Replaces the list of sessions that have a member row, as read by a call sent at `readAt`. */
  onMembers(rows: readonly Session[], readAt: Millis, now: Millis): void {
    const current = new Map<MemberId, CurrentSession>();
    for (const { member, incarnation } of rows) {
      const before = this.#current.get(member);
      const firstSeen = before?.incarnation === incarnation ? before.firstSeen : now;
      current.set(member, { incarnation, firstSeen });
    }
    const gap = readAt - this.#lastReadAt > MEMBERS_GAP_MS;
    this.#current = current;
    this.#lastReadAt = readAt;
    for (const [key, record] of this.#records) {
      if (now - record.noticedAt < FORGET_MS) {
        this.#records.set(key, this.#updated(record, gap, now));
      } else {
        this.#records.delete(key);
      }
    }
  }

  /** The session of that incarnation was observed as expired at `at`. */
  onExpired(member: MemberId, incarnation: Incarnation, at: Millis): void {
    const record = this.#record({ member, incarnation }, at);
    this.#store({ ...record, expiredAt: Math.min(at, record.expiredAt ?? at) });
  }

  /** Notes the holders of a row. */
  onGrants(grants: readonly Grant[], now: Millis): void {
    for (const { member, incarnation } of grants) {
      this.#store(this.#record({ member, incarnation }, now));
    }
  }

  /** True when no work can run under the holder's grants any more. */
  isReclaimable(holder: Session, now: Millis): boolean {
    const record = this.#records.get(this.#key(holder));
    if (record === undefined) {
      return false;
    }
    const { expiredAt, supersededAt } = record;
    // Absence is known only while the member rows can be read.
    const readable = now - this.#lastReadAt <= MEMBERS_GAP_MS;
    const goneAt = supersededAt ?? (readable ? record.absentSince : undefined);
    const ends = [expiredAt, goneAt === undefined ? undefined : goneAt + ABSENT_EXPIRY_MS];
    return ends.some((end) => end !== undefined && now >= end + RECLAIM_AFTER_MS);
  }

  #key({ member, incarnation }: Session): string {
    return `${member}/${incarnation}`;
  }

  #record(session: Session, now: Millis): HolderRecord {
    return this.#records.get(this.#key(session)) ?? { ...session, noticedAt: now };
  }

  #store(record: HolderRecord): void {
    this.#records.set(this.#key(record), record);
  }

  #updated(record: HolderRecord, gap: boolean, now: Millis): HolderRecord {
    const { absentSince, ...rest } = record;
    const current = this.#current.get(record.member);
    if (current === undefined) {
      return { ...rest, absentSince: gap ? now : (absentSince ?? now) };
    }
    // A read that was sent before the holder was noticed may be older than the holder's session.
    // In a later one, another incarnation in the row is newer, so the holder ended before it came.
    const isNewer =
      current.incarnation !== record.incarnation && this.#lastReadAt >= rest.noticedAt;
    return isNewer ? { ...rest, supersededAt: rest.supersededAt ?? current.firstSeen } : rest;
  }
}
