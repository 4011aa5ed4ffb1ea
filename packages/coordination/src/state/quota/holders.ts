import { NEVER, type Incarnation, type MemberId, type Millis } from '@turmerichoist/core';
import { ABSENT_EXPIRY_MS, MAX_MEMBER_READ_GAP_MS, RECLAIM_AFTER_MS } from './constants.js';
import type { Grant } from './rows.js';

type Session = Omit<Grant, 'units'>;

/** Information about one session that holds or held grants. */
interface HolderRecord extends Session {
  readonly firstSeenAt: Millis;
  /** When the session was observed as expired. */
  readonly expiredAt?: Millis;
  /** When another incarnation was first seen in the member row. */
  readonly supersededAt?: Millis;
  /** Since when the member has had no row, without a gap between reads. */
  readonly absentSince?: Millis;
}

interface CurrentSession {
  readonly incarnation: Incarnation;
  readonly firstSeen: Millis;
}

/** Records are removed this long after their creation; a holder seen again gets a new one. */
const RECORD_RETENTION_MS: Millis = 600_000;

/** Tracks the holders of grants and decides when the grants of ended sessions can be reclaimed. */
export class GrantHolders {
  #current: ReadonlyMap<MemberId, CurrentSession> = new Map();
  readonly #records = new Map<string, HolderRecord>();
  #lastReadAt: Millis = NEVER;

  /** Replaces the list of sessions that have a member row, from a read sent at `readAt`. */
  onMembers(rows: readonly Session[], readAt: Millis, now: Millis): void {
    const current = new Map<MemberId, CurrentSession>();
    for (const { member, incarnation } of rows) {
      const before = this.#current.get(member);
      const firstSeen = before?.incarnation === incarnation ? before.firstSeen : now;
      current.set(member, { incarnation, firstSeen });
    }
    const gap = readAt - this.#lastReadAt > MAX_MEMBER_READ_GAP_MS;
    this.#current = current;
    this.#lastReadAt = readAt;
    for (const [key, record] of this.#records) {
      if (now - record.firstSeenAt < RECORD_RETENTION_MS) {
        this.#records.set(key, this.#withMemberRead(record, gap, now));
      } else {
        this.#records.delete(key);
      }
    }
  }

  /** Records that the session of `incarnation` was observed as expired at `at`. */
  onExpired(member: MemberId, incarnation: Incarnation, at: Millis): void {
    const record = this.#record({ member, incarnation }, at);
    this.#store({ ...record, expiredAt: Math.min(at, record.expiredAt ?? at) });
  }

  /** Records the holders of the grants in a row. */
  onGrants(grants: readonly Grant[], now: Millis): void {
    for (const { member, incarnation } of grants) {
      this.#store(this.#record({ member, incarnation }, now));
    }
  }

  /** Whether no work can run under the holder's grants any more. */
  isReclaimable(holder: Session, now: Millis): boolean {
    const record = this.#records.get(this.#key(holder));
    if (record === undefined) {
      return false;
    }
    const { expiredAt, supersededAt } = record;
    // A row is known to be absent only while the member rows can be read.
    const readable = now - this.#lastReadAt <= MAX_MEMBER_READ_GAP_MS;
    const departedAt = supersededAt ?? (readable ? record.absentSince : undefined);
    const ends = [expiredAt, departedAt === undefined ? undefined : departedAt + ABSENT_EXPIRY_MS];
    return ends.some((end) => end !== undefined && now >= end + RECLAIM_AFTER_MS);
  }

  #key({ member, incarnation }: Session): string {
    return `${member}/${incarnation}`;
  }

  #record(session: Session, now: Millis): HolderRecord {
    return this.#records.get(this.#key(session)) ?? { ...session, firstSeenAt: now };
  }

  #store(record: HolderRecord): void {
    this.#records.set(this.#key(record), record);
  }

  #withMemberRead(record: HolderRecord, gap: boolean, now: Millis): HolderRecord {
    const { absentSince, ...rest } = record;
    const current = this.#current.get(record.member);
    if (current === undefined) {
      return { ...rest, absentSince: gap ? now : (absentSince ?? now) };
    }
    // A read that was sent before the holder was first seen may predate the holder's session. In a
    // later read, another incarnation in the row is newer, so the holder's session ended before it.
    const isNewer =
      current.incarnation !== record.incarnation && this.#lastReadAt >= rest.firstSeenAt;
    return isNewer ? { ...rest, supersededAt: rest.supersededAt ?? current.firstSeen } : rest;
  }
}
