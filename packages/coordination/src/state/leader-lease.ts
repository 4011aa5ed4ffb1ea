import { z } from 'zod';
import type { Incarnation, MemberId, Millis } from '@turmerichoist/core';
import type { Row, RowVersion } from '../store/types.js';

/** Term of a leader, counted from the moment at which its last renewal was sent. */
export const LEADER_TTL_MS: Millis = 1_500;
/** Added to the term by others, for drift between clocks and the time that a read takes. */
export const LEADER_MARGIN_MS: Millis = 250;
/** Reads further apart than this do not prove that the leader was silent in between. */
const MAX_READ_GAP_MS: Millis = 1_000;

const ownerSchema = z.object({
  member: z.string(),
  incarnation: z.string(),
  /** Counts the leaders that the cell has had, from 0. */
  generation: z.int().min(0),
  released: z.boolean(),
});
export type LeaderValue = Readonly<z.infer<typeof ownerSchema>>;

/** The rows of a cell as one read shows them. */
export interface LeaderRows {
  readonly owner: Row | undefined;
  readonly lease: Row | undefined;
  readonly sentAt: Millis;
  readonly receivedAt: Millis;
}

/** A claim to make: the owner row must still have `version`. */
export interface LeaderClaim {
  readonly version: RowVersion;
  readonly value: LeaderValue;
  /** The former leader was an earlier process of this member, which has ended. */
  readonly succeedsSelf: boolean;
}

/** A term of leadership. `epoch` rises with each leader and serves as the fencing token. */
export interface LeaderTerm {
  readonly epoch: RowVersion;
  readonly generation: number;
  /** The former leader is known to have been an earlier process of this member. */
  readonly succeedsSelf: boolean;
}

/** Two readings of one moment, since a suspended instance's monotonic clock stands still. */
export interface GuardedTime {
  readonly now: Millis;
  readonly wall: Millis;
}

export function leaderValue(row: Row | undefined): LeaderValue | undefined {
  const parsed = ownerSchema.safeParse(row?.value);
  return parsed.success ? parsed.data : undefined;
}

interface Observed {
  readonly version: string;
  /** Own clock since which the rows have not changed. */
  readonly since: Millis;
  readonly lastReadAt: Millis;
}

/**
 * Decides when this member may lead a cell. The owner row changes only when the leader does, so its
 * version is the epoch; the lease row is written with each renewal.
 */
export class LeaderLease {
  readonly #member: MemberId;
  readonly #incarnation: Incarnation;
  #term: LeaderTerm | undefined;
  #renewedAt: GuardedTime | undefined;
  #observed: Observed | undefined;

  constructor(member: MemberId, incarnation: Incarnation) {
    this.#member = member;
    this.#incarnation = incarnation;
  }

  get term(): LeaderTerm | undefined {
    return this.#term;
  }

  /** Whether this member may act as leader. Checked right before each act. */
  valid({ now, wall }: GuardedTime): boolean {
    const renewed = this.#renewedAt;
    return (
      this.#term !== undefined &&
      renewed !== undefined &&
      now - renewed.now < LEADER_TTL_MS &&
      wall - renewed.wall < LEADER_TTL_MS
    );
  }

  /** Looks at the rows; returns a claim when the cell has no leader any more. */
  observe(rows: LeaderRows): LeaderClaim | undefined {
    const owner = leaderValue(rows.owner);
    if (owner?.incarnation === this.#incarnation && !owner.released) {
      this.#adopt(rows.owner?.version ?? 0, owner.generation);
      return undefined;
    }
    this.#term = undefined;
    // Two processes of one member never run at once, so the one that led before has ended.
    const restarted = owner?.member === this.#member;
    const free = owner === undefined || owner.released || restarted;
    return free || this.#isSilent(rows) ? this.#claim(rows.owner, owner) : undefined;
  }

  /** A claim or renewal that was sent at `sentAt` took effect. */
  renewed(sentAt: GuardedTime): void {
    this.#renewedAt = sentAt;
  }

  claimed(claim: LeaderClaim, version: RowVersion, sentAt: GuardedTime): void {
    const { succeedsSelf, value } = claim;
    this.#term = { epoch: version, generation: value.generation, succeedsSelf };
    this.#renewedAt = sentAt;
  }

  /** Another member leads, or this one has released the cell. */
  lost(): void {
    this.#term = undefined;
    this.#renewedAt = undefined;
    this.#observed = undefined;
  }

  /** Finds the own claim in the rows, whose answer was lost. It was not renewed since. */
  #adopt(version: RowVersion, generation: number): void {
    if (this.#term?.epoch !== version) {
      this.#term = { epoch: version, generation, succeedsSelf: false };
    }
  }

  #isSilent({ owner, lease, sentAt, receivedAt }: LeaderRows): boolean {
    const version = `${owner?.version ?? 0}/${lease?.version ?? 0}`;
    const before = this.#observed;
    const unbroken = before?.version === version && sentAt - before.lastReadAt <= MAX_READ_GAP_MS;
    const since = unbroken ? before.since : receivedAt;
    this.#observed = { version, since, lastReadAt: receivedAt };
    return sentAt - since >= LEADER_TTL_MS + LEADER_MARGIN_MS;
  }

  #claim(row: Row | undefined, owner: LeaderValue | undefined): LeaderClaim {
    return {
      version: row?.version ?? 0,
      value: {
        member: this.#member,
        incarnation: this.#incarnation,
        generation: owner === undefined ? 0 : owner.generation + 1,
        released: false,
      },
      succeedsSelf: owner?.member === this.#member,
    };
  }
}
