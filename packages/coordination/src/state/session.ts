import { z } from 'zod';
import type { Incarnation, MemberId, Millis } from '@turmerichoist/core';
import type { JsonValue, RowVersion } from '../store/types.js';

/** Interval between renewals of a session. */
export const SESSION_RENEW_MS = 2_000;
/** Lifetime of a session, measured from the time its last successful renewal was sent. */
export const SESSION_TTL_MS = 8_000;
/** Largest relative difference assumed between the rates of two monotonic clocks. */
export const CLOCK_DRIFT_RATIO = 0.01;
/** Added by observers, for the delay between sending a renewal and its effect. */
export const SESSION_EXPIRY_MARGIN_MS = 1_000;
/** Time for which a member row must be seen unchanged before its session is treated as expired. */
export const SESSION_EXPIRY_MS =
  SESSION_TTL_MS * (1 + CLOCK_DRIFT_RATIO) + SESSION_EXPIRY_MARGIN_MS;

export function memberKey(memberId: MemberId): string {
  return `member/${memberId}`;
}

const memberSchema = z.object({
  incarnation: z.string(),
  beat: z.int(),
  address: z.string(),
  zone: z.string(),
  appliedRevision: z.int(),
});

/** Decoded value of a `member/<id>` row. */
export type MemberValue = Readonly<z.output<typeof memberSchema>>;

/** Decodes the value of a member row; undefined when it does not match the schema. */
export function decodeMemberValue(value: JsonValue): MemberValue | undefined {
  return memberSchema.safeParse(value).data;
}

/**
 * The session lease of this process. Its holder checks it immediately before each operation. Under
 * the unanimous-outage rule the lease gets a grace period: requests may still start, everything
 * else stops, and the incarnation is kept if the store is reachable again before the period ends.
 */
export class SessionLease {
  readonly incarnation: Incarnation;
  #validUntil: Millis = -Infinity;
  #graceUntil: Millis = -Infinity;
  #started = false;
  #ended = false;

  constructor(incarnation: Incarnation) {
    this.incarnation = incarnation;
  }

  /** Whether the lease has ever been valid. */
  get started(): boolean {
    return this.#started;
  }

  /** Monotonic time at which the lease lapses unless it is renewed. */
  get validUntil(): Millis {
    return this.#ended ? -Infinity : this.#validUntil;
  }

  /** Monotonic time until which requests may start under the grants that are held. */
  get requestsUntil(): Millis {
    return this.#ended ? -Infinity : Math.max(this.#validUntil, this.#graceUntil);
  }

  isValid(now: Millis): boolean {
    return now < this.validUntil;
  }

  /**
   * Records a renewal that was sent at `sentAt` and took effect. Returns false when the lease had
   * already lapsed: observers may have acted on that, so a new incarnation is required.
   */
  recordRenewal(sentAt: Millis, now: Millis): boolean {
    if (this.hasLapsed(now)) {
      this.end();
      return false;
    }
    this.#started = true;
    this.#validUntil = Math.max(this.#validUntil, sentAt + SESSION_TTL_MS);
    return true;
  }

  /** Starts or extends the grace period of the outage rule. No effect once the lease has lapsed. */
  extendGracePeriod(until: Millis, now: Millis): void {
    if (this.#started && !this.hasLapsed(now)) {
      this.#graceUntil = Math.max(this.#graceUntil, until);
    }
  }

  /** Whether the lease was valid once, and both it and any grace period have ended. */
  hasLapsed(now: Millis): boolean {
    return this.#ended || (this.#started && now >= this.requestsUntil);
  }

  /** Ends the lease permanently. */
  end(): void {
    this.#ended = true;
  }
}

/** The fields of a member row that an observer needs. */
export interface ObservedRow {
  readonly memberId: MemberId;
  readonly version: RowVersion;
  readonly incarnation: Incarnation;
}

interface Observation {
  readonly row: ObservedRow;
  /** When the first read with this version was received; no gap between reads since then. */
  readonly since: Millis;
  /** When the first read with this incarnation was received. */
  readonly incarnationSince: Millis;
}

export interface ReadTimes {
  readonly sentAt: Millis;
  readonly receivedAt: Millis;
}

/**
 * Decides when other members' sessions have expired. The unchanged time is measured from receiving
 * the read that first showed a version to sending the latest read that still shows it. It restarts
 * after a gap between successful reads, so that a store outage alone does not expire any session.
 */
export class SessionObserver {
  #observations: ReadonlyMap<MemberId, Observation> = new Map();
  #lastReadSentAt: Millis = -Infinity;

  /** Processes the rows of all members from one successful read. A missing row ends its session. */
  observe(rows: readonly ObservedRow[], { sentAt, receivedAt }: ReadTimes): void {
    if (sentAt < this.#lastReadSentAt) {
      // A late response to an older read carries no new information.
      return;
    }
    const gap = sentAt - this.#lastReadSentAt > SESSION_RENEW_MS;
    const next = rows.map((row): readonly [MemberId, Observation] => {
      const before = this.#observations.get(row.memberId);
      const unchanged = !gap && before?.row.version === row.version;
      const same = before?.row.incarnation === row.incarnation;
      const since = unchanged ? before.since : receivedAt;
      return [
        row.memberId,
        { row, since, incarnationSince: same ? before.incarnationSince : receivedAt },
      ];
    });
    this.#observations = new Map(next);
    this.#lastReadSentAt = sentAt;
  }

  /**
   * Whether a session has expired, as of the latest read. A session whose member has a newer
   * incarnation can't be renewed but may still be valid on its own clock, so it counts as expired
   * only once the newer incarnation has been seen for `SESSION_EXPIRY_MS`.
   */
  hasExpired(memberId: MemberId, incarnation: Incarnation): boolean {
    const seen = this.#observations.get(memberId);
    if (seen === undefined) {
      return this.#lastReadSentAt !== -Infinity;
    }
    const since = seen.row.incarnation === incarnation ? seen.since : seen.incarnationSince;
    return this.#lastReadSentAt - since >= SESSION_EXPIRY_MS;
  }

  /** Members whose session has not expired, as of the latest read, in ascending order. */
  live(): readonly ObservedRow[] {
    return [...this.#observations.values()]
      .filter(({ since }) => this.#lastReadSentAt - since < SESSION_EXPIRY_MS)
      .map(({ row }) => row)
      .sort((a, b) => (a.memberId < b.memberId ? -1 : 1));
  }
}
