import { JobDecider, type Clock, type LeaseBounds, type Millis } from '@turmerichoist/core';
import type { LeaderTerm } from '@turmerichoist/coordination';
import type { Bulletin } from './bulletin.js';

/** Covers calls of an earlier owner that are under way when its successor's term begins. */
const RECOVERY_MARGIN_MS: Millis = 400;
/** Attempt numbers reserved for each owner; the next owner starts with the next block. */
const ATTEMPTS_PER_TERM = 1_000;
/** Ended jobs are retained so that late reports find them. */
const ENDED_JOB_RETENTION_MS: Millis = 60_000;

export interface OwnerDeciderOptions {
  readonly term: LeaderTerm;
  readonly clock: Clock;
  /** Last bulletin of the previous leader. */
  readonly inheritedBulletin: Bulletin;
  /** Monotonic time from which no order of a former owner conflicts, whatever it concerns. */
  readonly ordersAllowedAt: Millis;
  readonly leases: LeaseBounds;
}

/** Creates the decider of an owner whose term begins now. */
export function createOwnerDecider(options: OwnerDeciderOptions): JobDecider {
  const { term, clock, inheritedBulletin, ordersAllowedAt, leases } = options;
  const { generation } = term;
  const now = clock.now();
  const sizes = Object.entries(inheritedBulletin.poolSizes);
  return new JobDecider({
    clock,
    firstAttempt: generation * ATTEMPTS_PER_TERM + 1,
    recoveryEndsAt: generation === 0 ? now : now + leases.longestMs + RECOVERY_MARGIN_MS,
    leases,
    inheritedExecutors: inheritedBulletin.executors,
    ...(sizes.length === 0 ? {} : { poolSizes: new Map(sizes) }),
    ordersAllowedAt,
    endedJobRetentionMs: ENDED_JOB_RETENTION_MS,
  });
}
