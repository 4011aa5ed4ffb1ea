import { z } from 'zod';
import type { Incarnation, MemberId, Millis } from '@turmerichoist/core';
import type { Row, RowVersion } from '../store/types.js';
import { isClearlyLarger } from './leader-capacity.js';
import { decodeLeaderValue, type LeaderValue } from './leader-lease.js';

/** Time for which a member has seen a smaller leader before it asks for the leadership. */
export const CANDIDATE_AFTER_MS: Millis = 3_000;
/** Interval between writes of the candidate row while the leadership is asked for. */
const CANDIDATE_REFRESH_MS: Millis = 1_000;
/** Time after which a candidate row that is not written again has no effect. */
const CANDIDATE_TTL_MS: Millis = 2_500;
/** Least time between two handovers, since each new leader has to take over all running tasks. */
export const HANDOVER_INTERVAL_MS: Millis = 10_000;

const candidateSchema = z.object({
  member: z.string(),
  incarnation: z.string(),
  capacity: z.number().min(0),
});
export type CandidateValue = Readonly<z.infer<typeof candidateSchema>>;

/** A candidate row to be written if it still has `version`. */
export interface CandidateRequest {
  readonly version: RowVersion;
  readonly value: CandidateValue;
}

/** The owner and candidate rows of a cell, as returned by one read, and what goes with them. */
export interface CandidateRows {
  readonly owner: Row | undefined;
  readonly candidate: Row | undefined;
  /** Whether the leader published with its lease that it cannot keep up. */
  readonly leaderOverloaded: boolean;
  /** Whether this member is busy itself. */
  readonly busy: boolean;
  /** Monotonic time of this member. */
  readonly now: Millis;
}

/** A version of a row, and the monotonic time of this member at which it was first read. */
interface Sighting {
  readonly version: RowVersion;
  readonly at: Millis;
  /** Whether an earlier version was read before, so that this one was written lately. */
  readonly changed: boolean;
}

function decodeCandidate(row: Row | undefined): CandidateValue | undefined {
  const parsed = candidateSchema.safeParse(row?.value);
  return parsed.success ? parsed.data : undefined;
}

function sight(row: Row | undefined, before: Sighting | undefined, now: Millis): Sighting {
  const version = row?.version ?? 0;
  return before?.version === version
    ? before
    : { version, at: now, changed: before !== undefined && version !== 0 };
}

/**
 * Decides when a member asks a smaller leader for the leadership, and when the leader hands it
 * over. Decides nothing about who may lead: that is up to `LeaderLease`.
 */
export class LeaderCandidacy {
  readonly #self: CandidateValue;
  #owner: Sighting | undefined;
  #candidate: Sighting | undefined;
  #requestedAt: Millis = -Infinity;

  constructor(member: MemberId, incarnation: Incarnation, capacity: number) {
    this.#self = { member, incarnation, capacity };
  }

  /** Records one read. Called for each read, before `request` and `successor`. */
  observe({ owner, candidate, now }: CandidateRows): void {
    this.#owner = sight(owner, this.#owner, now);
    this.#candidate = sight(candidate, this.#candidate, now);
  }

  /** Returns the row with which this member asks for the leadership, when it should. */
  request(rows: CandidateRows): CandidateRequest | undefined {
    const { now } = rows;
    const owner = decodeLeaderValue(rows.owner);
    if (owner === undefined || !this.#canReplace(owner, rows) || this.#hasRival(rows)) {
      return undefined;
    }
    if (now - this.#requestedAt < CANDIDATE_REFRESH_MS) {
      return undefined;
    }
    this.#requestedAt = now;
    return { version: rows.candidate?.version ?? 0, value: this.#self };
  }

  /** Returns the member to which this leader hands the cell over, if any. */
  successor(rows: CandidateRows): MemberId | undefined {
    const owner = decodeLeaderValue(rows.owner);
    const candidate = decodeCandidate(rows.candidate);
    const changed = this.#candidate?.changed === true;
    if (owner === undefined || candidate === undefined || !changed) {
      return undefined;
    }
    const accepted =
      candidate.member !== this.#self.member &&
      this.#isCandidateFresh(rows.now) &&
      this.#isBetter(candidate.capacity, owner, rows);
    return accepted ? candidate.member : undefined;
  }

  /** A capacity of 0 belongs to a version that hands nothing over. */
  #canReplace(owner: LeaderValue, rows: CandidateRows): boolean {
    return (
      !rows.busy &&
      !owner.released &&
      owner.member !== this.#self.member &&
      owner.capacity > 0 &&
      this.#leaderSeenFor(rows.now) >= CANDIDATE_AFTER_MS &&
      this.#isBetter(this.#self.capacity, owner, rows)
    );
  }

  /**
   * Whether a member of `capacity` should lead in place of the owner. An overloaded leader is left
   * alone for a while, too, since taking over is a load of its own.
   */
  #isBetter(capacity: number, owner: LeaderValue, rows: CandidateRows): boolean {
    const settled = this.#leaderSeenFor(rows.now) >= HANDOVER_INTERVAL_MS;
    return isClearlyLarger(capacity, owner.capacity)
      ? settled || !owner.handedOver
      : settled && rows.leaderOverloaded && capacity >= owner.capacity;
  }

  #leaderSeenFor(now: Millis): Millis {
    return now - (this.#owner?.at ?? now);
  }

  #hasRival({ candidate, now }: CandidateRows): boolean {
    const rival = decodeCandidate(candidate);
    return (
      rival !== undefined &&
      rival.member !== this.#self.member &&
      rival.capacity >= this.#self.capacity &&
      this.#isCandidateFresh(now)
    );
  }

  #isCandidateFresh(now: Millis): boolean {
    return this.#candidate !== undefined && now - this.#candidate.at < CANDIDATE_TTL_MS;
  }
}
