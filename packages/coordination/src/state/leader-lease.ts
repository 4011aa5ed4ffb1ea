import { z } from 'zod';
import type { Incarnation, MemberId, Millis } from '@turmerichoist/core';
import type { Row, RowVersion } from '../store/types.js';
import { AMPLE_CAPACITY, claimDelayMs } from './leader-capacity.js';

/** Lifetime of a leader lease, measured from the time its last renewal was sent. */
export const LEADER_TTL_MS: Millis = 1_500;
/** Added to the lifetime by observers, for clock drift and the duration of a read. */
export const LEADER_MARGIN_MS: Millis = 250;
/** Time for which other members leave a released cell to the successor named in it. */
export const SUCCESSOR_GRACE_MS: Millis = 600;
/** Interval between reads of the rows. */
const READ_INTERVAL_MS: Millis = 250;
/**
 * The same for a member that would leave a free cell to larger ones, while the leader renews its lease.
 * Most members of a large cell are of this kind, and their reads were two fifths of all calls.
 */
const RELAXED_READ_INTERVAL_MS: Millis = 500;
/** Reads further apart than this do not prove that the lease was not renewed in between. */
const MAX_READ_GAP_MS: Millis = 1_000;

const leaderSchema = z.object({
  member: z.string(),
  incarnation: z.string(),
  /** Number of earlier leaders of the cell. */
  generation: z.int().min(0),
  released: z.boolean(),
  /** Capacity of the leader; 0 in rows of versions that did not publish it. */
  capacity: z.number().min(0).default(0),
  /** Member to which a released cell is left for a while; empty if there is none. */
  successor: z.string().default(''),
  /** Whether the leader got the cell from a leader that named a successor. */
  handedOver: z.boolean().default(false),
});
export type LeaderValue = Readonly<z.infer<typeof leaderSchema>>;

/** The owner and lease rows of a cell, as returned by one read. */
export interface LeaderRows {
  readonly owner: Row | undefined;
  readonly lease: Row | undefined;
  readonly sentAt: Millis;
  readonly receivedAt: Millis;
}

/**
 * A claim to be written if the owner row still has `version` and the lease row `leaseVersion`. A
 * renewal changes only the lease row, so one that is carried out before the claim prevents it.
 */
export interface LeaderClaim {
  readonly version: RowVersion;
  readonly leaseVersion: RowVersion;
  readonly value: LeaderValue;
  /** Whether the former leader was an earlier process of this member, which has ended. */
  readonly succeedsSelf: boolean;
}

/** The end of a term, to be written if the owner row still has `version`. */
export interface LeaderRelease {
  readonly version: RowVersion;
  readonly value: LeaderValue;
}

/** A leadership term. `epoch` increases with each leader and serves as the fencing token. */
export interface LeaderTerm {
  readonly epoch: RowVersion;
  readonly generation: number;
  /** Whether the former leader is known to have been an earlier process of this member. */
  readonly succeedsSelf: boolean;
}

/**
 * Monotonic and wall-clock time of one moment. The monotonic clock stops while an instance is
 * suspended.
 */
export interface ClockReadings {
  readonly now: Millis;
  readonly wall: Millis;
}

export function decodeLeaderValue(row: Row | undefined): LeaderValue | undefined {
  const parsed = leaderSchema.safeParse(row?.value);
  return parsed.success ? parsed.data : undefined;
}

interface ObservedRows {
  readonly version: string;
  /** Monotonic time of this member since which the rows have not changed. */
  readonly since: Millis;
  readonly lastReadAt: Millis;
}

/** A state of the rows in which this member may claim the cell. */
interface ClaimableRows {
  readonly version: string;
  /** Time at which the first read that found this state was sent. */
  readonly since: Millis;
}

function versionsOf({ owner, lease }: LeaderRows): string {
  return `${owner?.version ?? 0}/${lease?.version ?? 0}`;
}

/**
 * Decides when this member may lead a cell. The owner row changes only with the leader, so its
 * version serves as the epoch; the lease row is written with each renewal.
 */
export class LeaderLease {
  readonly #member: MemberId;
  readonly #incarnation: Incarnation;
  readonly #capacity: number;
  #term: LeaderTerm | undefined;
  #renewedAt: ClockReadings | undefined;
  #observed: ObservedRows | undefined;
  #claimable: ClaimableRows | undefined;
  /** Epoch of the last term that this member released; the release may be carried out late. */
  #releasedEpoch: RowVersion | undefined;

  constructor(member: MemberId, incarnation: Incarnation, capacity = AMPLE_CAPACITY) {
    this.#member = member;
    this.#incarnation = incarnation;
    this.#capacity = capacity;
  }

  get term(): LeaderTerm | undefined {
    return this.#term;
  }

  /** Whether this member may act as leader. Checked immediately before each operation. */
  isValid({ now, wall }: ClockReadings): boolean {
    const lastRenewal = this.#renewedAt;
    return (
      this.#term !== undefined &&
      lastRenewal !== undefined &&
      now - lastRenewal.now < LEADER_TTL_MS &&
      wall - lastRenewal.wall < LEADER_TTL_MS
    );
  }

  /**
   * Processes one read of the rows; returns a claim when the cell has no leader and members of
   * larger capacity have had time to claim it.
   */
  observe(rows: LeaderRows): LeaderClaim | undefined {
    const owner = decodeLeaderValue(rows.owner);
    const own = owner?.incarnation === this.#incarnation && !owner.released;
    // A term whose release may still be carried out is not resumed: the cell is claimed anew.
    if (own && rows.owner?.version !== this.#releasedEpoch) {
      this.#adoptOwnClaim(rows.owner?.version ?? 0, owner.generation);
      return undefined;
    }
    this.#term = undefined;
    // Two processes of one member never run at once, so the former leader process has ended.
    const restarted = owner?.member === this.#member;
    const free = owner === undefined || owner.released || restarted;
    if (!free && !this.#hasExpired(rows)) {
      this.#claimable = undefined;
      return undefined;
    }
    return this.#claimableFor(rows) >= this.#claimDelay(owner)
      ? this.#buildClaim(rows, owner)
      : undefined;
  }

  /**
   * Monotonic time at which the rows are to be read again after a read sent at `sentAt`. A lease that
   * runs out meanwhile is read at its end, so that longer intervals do not make takeovers later.
   */
  nextReadAt(sentAt: Millis): Millis {
    const expiresAt = (this.#observed?.since ?? -Infinity) + LEADER_TTL_MS + LEADER_MARGIN_MS;
    const watched = this.#term === undefined && this.#claimable === undefined;
    if (!watched || claimDelayMs(this.#capacity, false) === 0 || sentAt >= expiresAt) {
      return sentAt + READ_INTERVAL_MS;
    }
    return Math.min(sentAt + RELAXED_READ_INTERVAL_MS, expiresAt);
  }

  /**
   * Ends the term at once and returns the row that frees the cell, for `successor` first if it is
   * not empty.
   */
  release(successor: MemberId): LeaderRelease | undefined {
    const term = this.#term;
    if (term === undefined) {
      return undefined;
    }
    this.lost();
    this.#releasedEpoch = term.epoch;
    const value = { ...this.#ownValue(term.generation), released: true, successor };
    return { version: term.epoch, value };
  }

  /** Records that a renewal sent at `sentAt` took effect. Answers may come in any order. */
  recordRenewal(sentAt: ClockReadings): void {
    if (this.#renewedAt === undefined || sentAt.now >= this.#renewedAt.now) {
      this.#renewedAt = sentAt;
    }
  }

  /** Records that a claim sent at `sentAt` was committed and gave the owner row `version`. */
  recordClaim(claim: LeaderClaim, version: RowVersion, sentAt: ClockReadings): void {
    const { succeedsSelf, value } = claim;
    this.#term = { epoch: version, generation: value.generation, succeedsSelf };
    this.#renewedAt = sentAt;
  }

  /** Ends the term: another member leads, or this one has released the cell. */
  lost(): void {
    this.#term = undefined;
    this.#renewedAt = undefined;
    this.#observed = undefined;
  }

  /** Adopts an own claim whose response was lost. The lease is not valid before a renewal. */
  #adoptOwnClaim(version: RowVersion, generation: number): void {
    if (this.#term?.epoch !== version) {
      this.#renewedAt = undefined;
      this.#term = { epoch: version, generation, succeedsSelf: false };
    }
  }

  #hasExpired(rows: LeaderRows): boolean {
    const { sentAt, receivedAt } = rows;
    const version = versionsOf(rows);
    const before = this.#observed;
    const unchanged = before?.version === version && sentAt - before.lastReadAt <= MAX_READ_GAP_MS;
    const since = unchanged ? before.since : receivedAt;
    this.#observed = { version, since, lastReadAt: receivedAt };
    return sentAt - since >= LEADER_TTL_MS + LEADER_MARGIN_MS;
  }

  /** Time for which this member has known that the cell may be claimed. */
  #claimableFor(rows: LeaderRows): Millis {
    const version = versionsOf(rows);
    if (this.#claimable?.version !== version) {
      this.#claimable = { version, since: rows.sentAt };
    }
    return rows.sentAt - this.#claimable.since;
  }

  #claimDelay(owner: LeaderValue | undefined): Millis {
    const delayMs = claimDelayMs(this.#capacity, owner === undefined);
    if (owner?.released !== true || owner.successor === '') {
      return delayMs;
    }
    return owner.successor === this.#member ? 0 : SUCCESSOR_GRACE_MS + delayMs;
  }

  #ownValue(generation: number): LeaderValue {
    return {
      member: this.#member,
      incarnation: this.#incarnation,
      generation,
      released: false,
      capacity: this.#capacity,
      successor: '',
      handedOver: false,
    };
  }

  #buildClaim(rows: LeaderRows, owner: LeaderValue | undefined): LeaderClaim {
    return {
      version: rows.owner?.version ?? 0,
      leaseVersion: rows.lease?.version ?? 0,
      value: {
        ...this.#ownValue(owner === undefined ? 0 : owner.generation + 1),
        handedOver: owner?.released === true && owner.successor !== '',
      },
      succeedsSelf: owner?.member === this.#member,
    };
  }
}
