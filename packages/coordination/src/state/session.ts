import { z } from 'zod';
import type { Incarnation, MemberId, Millis } from '@turmerichoist/core';
import type { JsonValue, RowVersion } from '../store/types.js';

/** Period of the renewals of a session. */
export const SESSION_RENEW_MS = 2_000;
/** Term of a session, counted from the moment at which its last successful renewal was sent. */
export const SESSION_TTL_MS = 8_000;
/** Largest relative difference assumed between the rates of two monotonic clocks. */
export const CLOCK_DRIFT_RATIO = 0.01;
/** Added to the observed term, for the time between a renewal's sending and its effect. */
export const OBSERVE_MARGIN_MS = 1_000;
/** Time for which a row must be seen unchanged before its session counts as expired. */
export const OBSERVE_MS = SESSION_TTL_MS * (1 + CLOCK_DRIFT_RATIO) + OBSERVE_MARGIN_MS;

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

/** Value of a `member/<id>` row. */
export type MemberValue = Readonly<z.output<typeof memberSchema>>;

/** Decodes the value of a member row; undefined when it has another form. */
export function memberValue(value: JsonValue): MemberValue | undefined {
  return memberSchema.safeParse(value).data;
}

/**
 * The lease of this process. A holder asks it right before each act.
 * Under the unanimous-outage rule the lease is bridged: requests go on, all else stops, and the
 * incarnation survives if the store returns before the bridge ends.
 */
export class SessionLease {
  readonly incarnation: Incarnation;
  #validUntil: Millis = -Infinity;
  #bridgedUntil: Millis = -Infinity;
  #started = false;
  #ended = false;

  constructor(incarnation: Incarnation) {
    this.incarnation = incarnation;
  }

  /** Whether the lease was ever valid. */
  get started(): boolean {
    return this.#started;
  }

  /** Clock reading at which the lease lapses unless it is renewed. */
  get validUntil(): Millis {
    return this.#ended ? -Infinity : this.#validUntil;
  }

  /** Clock reading until which requests may start under grants that are held. */
  get requestsUntil(): Millis {
    return this.#ended ? -Infinity : Math.max(this.#validUntil, this.#bridgedUntil);
  }

  isValid(now: Millis): boolean {
    return now < this.validUntil;
  }

  /**
   * Records a renewal that was sent at `sentAt` and took effect. Returns false when the lease had
   * lapsed meanwhile: observers may have acted on that, so only a new incarnation may go on.
   */
  renewed(sentAt: Millis, now: Millis): boolean {
    if (this.hasLapsed(now)) {
      this.end();
      return false;
    }
    this.#started = true;
    this.#validUntil = Math.max(this.#validUntil, sentAt + SESSION_TTL_MS);
    return true;
  }

  /** Records that the unanimous-outage rule holds until `until`. Too late once the lease lapsed. */
  bridge(until: Millis, now: Millis): void {
    if (this.#started && !this.hasLapsed(now)) {
      this.#bridgedUntil = Math.max(this.#bridgedUntil, until);
    }
  }

  /** Whether the lease was valid once and neither it nor a bridge holds any longer. */
  hasLapsed(now: Millis): boolean {
    return this.#ended || (this.#started && now >= this.requestsUntil);
  }

  /** Ends the lease for good. */
  end(): void {
    this.#ended = true;
  }
}

/** What an observer sees of a member's row. */
export interface ObservedRow {
  readonly memberId: MemberId;
  readonly version: RowVersion;
  readonly incarnation: Incarnation;
}

interface Observation {
  readonly row: ObservedRow;
  /** Receipt of the first read that showed this version, without a gap since. */
  readonly since: Millis;
  /** Receipt of the first read that showed this incarnation. */
  readonly incarnationSince: Millis;
}

export interface ReadTimes {
  readonly sentAt: Millis;
  readonly receivedAt: Millis;
}

/**
 * Decides when other members' sessions have expired. The time counts from the receipt of the read
 * that first showed a version to the sending of the latest that still shows it, and starts again
 * after a gap between successful reads, so that nobody expires merely because the store was away.
 */
export class SessionObserver {
  #observations: ReadonlyMap<MemberId, Observation> = new Map();
  #lastReadAt: Millis = -Infinity;

  /** Takes the rows of all members from one successful read. A missing row ends its session. */
  observe(rows: readonly ObservedRow[], { sentAt, receivedAt }: ReadTimes): void {
    if (sentAt < this.#lastReadAt) {
      // An older read that was answered late shows nothing new.
      return;
    }
    const gap = sentAt - this.#lastReadAt > SESSION_RENEW_MS;
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
    this.#lastReadAt = sentAt;
  }

  /**
   * Whether a session has expired, as of the latest read. A session whose member has a newer
   * incarnation may still be valid on its own clock; it can't be renewed any more, so it counts
   * as expired once the newer one has been seen for the full time.
   */
  hasExpired(memberId: MemberId, incarnation: Incarnation): boolean {
    const seen = this.#observations.get(memberId);
    if (seen === undefined) {
      return this.#lastReadAt !== -Infinity;
    }
    const since = seen.row.incarnation === incarnation ? seen.since : seen.incarnationSince;
    return this.#lastReadAt - since >= OBSERVE_MS;
  }

  /** Members whose session has not expired, as of the latest read, in ascending order. */
  live(): readonly ObservedRow[] {
    return [...this.#observations.values()]
      .filter(({ since }) => this.#lastReadAt - since < OBSERVE_MS)
      .map(({ row }) => row)
      .sort((a, b) => (a.memberId < b.memberId ? -1 : 1));
  }
}
