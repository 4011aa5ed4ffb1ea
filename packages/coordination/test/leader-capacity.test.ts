import { describe, expect, test } from '@jest/globals';
import {
  MAX_CLAIM_DELAY_MS,
  MAX_FIRST_CLAIM_DELAY_MS,
  claimDelayMs,
  leaderCapacity,
} from '../src/state/leader-capacity.js';
import { LEADER_MARGIN_MS, LEADER_TTL_MS, LeaderLease } from '../src/state/leader-lease.js';

const SILENCE_MS = LEADER_TTL_MS + LEADER_MARGIN_MS;
const POLL_MS = 250;
const SMALL = leaderCapacity({ cores: 0.324, linkMbps: 10 });
const LARGE = leaderCapacity({ cores: 1.35, linkMbps: 200 });
const SMALL_OWNER = {
  member: 's',
  incarnation: 's1',
  generation: 3,
  released: false,
  capacity: SMALL,
};

interface Claimed {
  readonly member: string;
  readonly at: number;
}

/** Polls the same rows with each member, starting at its offset; returns the first claim. */
function firstClaim(
  members: readonly { readonly lease: LeaderLease; readonly offset: number }[],
  owner?: object,
): Claimed | undefined {
  const polls = members
    .flatMap(({ lease, offset }) =>
      Array.from({ length: 40 }, (_, i) => ({ lease, now: offset + i * POLL_MS })),
    )
    .sort((a, b) => a.now - b.now);
  for (const { lease, now } of polls) {
    const claim = lease.observe({
      owner: owner && { key: 'cell/owner', version: 5, value: { ...owner } },
      lease: { key: 'cell/lease', version: 100, value: { beat: 1 } },
      sentAt: now,
      receivedAt: now + 5,
    });
    if (claim !== undefined) {
      return { member: claim.value.member, at: now };
    }
  }
  return undefined;
}

function small(offset = 0, member = 's', incarnation = 's2') {
  return { lease: new LeaderLease(member, incarnation, SMALL), offset };
}

function large(offset = 0) {
  return { lease: new LeaderLease('l', 'l1', LARGE), offset };
}

describe('capacity', () => {
  // A leader on a slow link cannot send its orders in time, whatever its processor.
  test('a member on a slow link counts as large because of its processor', () => {
    expect(leaderCapacity({ cores: 1.35, linkMbps: 10 })).toBeLessThan(
      leaderCapacity({ cores: 0.324, linkMbps: 200 }),
    );
  });

  test('a large member waits before it claims, or a small one beyond the bound', () => {
    expect(claimDelayMs(LARGE, false)).toBe(0);
    expect(claimDelayMs(LARGE, true)).toBe(0);
    expect(claimDelayMs(0, false)).toBe(MAX_CLAIM_DELAY_MS);
    expect(claimDelayMs(0, true)).toBe(MAX_FIRST_CLAIM_DELAY_MS);
  });
});

// A leader on an instance of the smallest kind falls behind and does not catch up.
describe('a small member leads although a large one lives', () => {
  test('as it polled the expired lease first', () => {
    const other = { ...SMALL_OWNER, member: 'x' };
    expect(firstClaim([small(0), large(POLL_MS - 1)], other)?.member).toBe('l');
  });

  test('as it polled the released cell first', () => {
    const released = { ...SMALL_OWNER, member: 'x', released: true };
    expect(firstClaim([small(0), large(POLL_MS - 1)], released)?.member).toBe('l');
  });

  test('as it started a second earlier', () => {
    expect(firstClaim([small(0), large(1_000)])?.member).toBe('l');
  });

  test('as it restarted while the lease of its former process ran out', () => {
    expect(firstClaim([small(0), large(-SILENCE_MS)], SMALL_OWNER)?.member).toBe('l');
  });
});

describe('a cell of small members only stays without a leader', () => {
  test('after its former process ended, until the lease of that expires', () => {
    const claimed = firstClaim([small(0)], SMALL_OWNER);
    expect(claimed?.at).toBeLessThanOrEqual(MAX_CLAIM_DELAY_MS);
  });

  test('after the lease expired', () => {
    const claimed = firstClaim([small(0)], { ...SMALL_OWNER, member: 'x' });
    expect(claimed?.member).toBe('s');
    expect(claimed?.at).toBeLessThanOrEqual(SILENCE_MS + MAX_CLAIM_DELAY_MS + 2 * POLL_MS);
  });

  test('at the first start', () => {
    const claimed = firstClaim([small(0), small(100, 't', 't1')]);
    expect(claimed?.at).toBeLessThanOrEqual(MAX_FIRST_CLAIM_DELAY_MS + POLL_MS);
  });
});

test('rows of a version that did not publish its capacity are not understood', () => {
  const old = { member: 'x', incarnation: 'x1', generation: 3, released: false };
  expect(firstClaim([large()], old)).toMatchObject({ member: 'l' });
});
