import { describe, expect, test } from '@jest/globals';
import fc from 'fast-check';
import {
  CANDIDATE_AFTER_MS,
  HANDOVER_INTERVAL_MS,
  LeaderCandidacy,
  type CandidateRows,
} from '../src/state/leader-candidacy.js';
import { LeaderLease, SUCCESSOR_GRACE_MS } from '../src/state/leader-lease.js';
import { LeaderWorld } from './leader-world.js';
import { RUNS, SEED } from './support/runs.js';

const SMALL = 0.1;
const LARGE = 1.35;
const LEADER = {
  member: 's',
  incarnation: 's1',
  generation: 3,
  released: false,
  capacity: SMALL,
  handedOver: false,
};

function read(
  now: number,
  owner: object,
  candidate?: object,
  version = 1,
  load = { leaderOverloaded: false, busy: false },
): CandidateRows {
  return {
    owner: { key: 'cell/owner', version: 5, value: { ...owner } },
    candidate: candidate && { key: 'cell/candidate', version, value: { ...candidate } },
    ...load,
    now,
  };
}

/** Reads every 250 ms; returns the time of the first request. */
function firstRequest(
  capacity: number,
  owner: object,
  candidate?: object,
  load?: { readonly leaderOverloaded: boolean; readonly busy: boolean },
): number | undefined {
  const candidacy = new LeaderCandidacy('l', 'l1', capacity);
  for (let now = 0; now < 30_000; now += 250) {
    const rows = read(now, owner, candidate, now, load);
    candidacy.observe(rows);
    if (candidacy.request(rows) !== undefined) {
      return now;
    }
  }
  return undefined;
}

// A small leader that a large member does not relieve stays behind until the demand ends.
describe('a small leader keeps the cell', () => {
  test('as no larger member asks for it', () => {
    expect(firstRequest(LARGE, LEADER)).toBe(CANDIDATE_AFTER_MS);
  });

  test('although a larger member asks for it', () => {
    const candidacy = new LeaderCandidacy('s', 's1', SMALL);
    const rows = read(250, LEADER, { member: 'l', incarnation: 'l1', capacity: LARGE });
    candidacy.observe(read(0, LEADER));
    candidacy.observe(rows);
    expect(candidacy.successor(rows)).toBe('l');
  });
});

describe('an overloaded leader', () => {
  const equal = { ...LEADER, capacity: LARGE };

  test('keeps the cell although a member of the same capacity is not busy', () => {
    const load = { leaderOverloaded: true, busy: false };
    expect(firstRequest(LARGE, equal, undefined, load)).toBe(HANDOVER_INTERVAL_MS);
  });

  test('is replaced by a smaller member, or by one that is busy, too', () => {
    const load = { leaderOverloaded: true, busy: false };
    expect(firstRequest(SMALL, equal, undefined, load)).toBeUndefined();
    expect(firstRequest(LARGE, equal, undefined, { ...load, busy: true })).toBeUndefined();
    expect(firstRequest(LARGE, LEADER, undefined, { ...load, busy: true })).toBeUndefined();
  });
});

describe('leadership moves without need', () => {
  test('to a member that is hardly larger', () => {
    expect(firstRequest(LARGE, { ...LEADER, capacity: LARGE / 1.4 })).toBeUndefined();
  });

  test('from a version that hands nothing over', () => {
    expect(firstRequest(LARGE, { ...LEADER, capacity: 0 })).toBeUndefined();
  });

  test('soon after the last handover', () => {
    expect(firstRequest(LARGE, { ...LEADER, handedOver: true })).toBe(HANDOVER_INTERVAL_MS);
  });

  test('as a second candidate asks besides another one', () => {
    const rival = { member: 'm', incarnation: 'm1', capacity: LARGE };
    expect(firstRequest(LARGE, LEADER, rival)).toBeUndefined();
  });

  test('to a candidate that has died, whose row is still there', () => {
    const candidacy = new LeaderCandidacy('s', 's1', SMALL);
    const dead = { member: 'l', incarnation: 'l1', capacity: LARGE };
    for (let now = 0; now < 20_000; now += 250) {
      const rows = read(now, LEADER, dead);
      candidacy.observe(rows);
      expect(candidacy.successor(rows)).toBeUndefined();
    }
  });
});

describe('a released cell', () => {
  function firstClaim(member: string, capacity: number): number | undefined {
    const lease = new LeaderLease(member, `${member}1`, capacity);
    const value = { ...LEADER, released: true, successor: 'l' };
    for (let now = 0; now < 5_000; now += 50) {
      const owner = { key: 'cell/owner', version: 6, value };
      if (lease.observe({ owner, lease: undefined, sentAt: now, receivedAt: now }) !== undefined) {
        return now;
      }
    }
    return undefined;
  }

  test('is claimed by others before the named successor, or never if that has died', () => {
    expect(firstClaim('l', LARGE)).toBe(0);
    expect(firstClaim('m', LARGE)).toBe(SUCCESSOR_GRACE_MS);
    expect(firstClaim('s', SMALL)).toBeGreaterThan(SUCCESSOR_GRACE_MS);
  });

  // The release would be carried out while the resumed term is renewed, and both members act.
  test('is led on in the released term, as the release is carried out late', () => {
    const lease = new LeaderLease('s', 's1', 1);
    const owner = { key: 'cell/owner', version: 5, value: LEADER };
    const rows = { owner, lease: undefined, sentAt: 0, receivedAt: 0 };
    lease.observe(rows);
    expect(lease.release('l')).toMatchObject({ version: 5, value: { successor: 'l' } });
    expect(lease.observe(rows)).toMatchObject({ version: 5, value: { generation: 4 } });
    expect(lease.term).toBeUndefined();
  });
});

test('two members lead at once during handovers, whatever is carried out late', () => {
  let handovers = 0;
  let claims = 0;
  fc.assert(
    fc.property(fc.integer({ min: 0, max: 2 ** 31 - 1 }), (seed) => {
      const world = new LeaderWorld(seed, [SMALL, SMALL, LARGE, 3 * LARGE]);
      world.run(25_000);
      handovers += world.handovers;
      claims += world.claims;
      expect(world.conflicts).toBe(0);
    }),
    { numRuns: RUNS, seed: SEED },
  );
  expect(handovers).toBeGreaterThan(RUNS / 4);
  expect(claims).toBeGreaterThan(RUNS);
});
