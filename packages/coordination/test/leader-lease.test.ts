import { describe, expect, test } from '@jest/globals';
import fc from 'fast-check';
import {
  LEADER_MARGIN_MS,
  LEADER_TTL_MS,
  LeaderLease,
  type LeaderRows,
} from '../src/state/leader-lease.js';

const SILENCE_MS = LEADER_TTL_MS + LEADER_MARGIN_MS;

function rows(sentAt: number, owner?: object, beat = 1): LeaderRows {
  return {
    owner: owner === undefined ? undefined : { key: 'cell/owner', version: 5, value: { ...owner } },
    lease: { key: 'cell/lease', version: 100 + beat, value: { beat } },
    sentAt,
    receivedAt: sentAt + 5,
  };
}

const OTHER = { member: 'b', incarnation: 'b1', generation: 3, released: false };

/** Reads the rows every 400 ms and returns the time of the first claim, if any. */
function firstClaim(lease: LeaderLease, untilMs: number, beatAt: (now: number) => number) {
  for (let now = 0; now <= untilMs; now += 400) {
    const claim = lease.observe(rows(now, OTHER, beatAt(now)));
    if (claim !== undefined) {
      return { now, claim };
    }
  }
  return undefined;
}

describe('claims', () => {
  test('a cell without a leader is claimed', () => {
    expect(new LeaderLease('a', 'a1').observe(rows(0))).toMatchObject({
      version: 0,
      value: { member: 'a', generation: 0, released: false },
    });
  });

  test('a released cell is claimed without waiting for the lease to end', () => {
    const released = { ...OTHER, released: true };
    expect(new LeaderLease('a', 'a1').observe(rows(0, released))?.value.generation).toBe(4);
  });

  test('a restarted member claims at once, without waiting for the lease of its former process', () => {
    const claim = new LeaderLease('b', 'b2').observe(rows(0, OTHER));
    expect(claim).toMatchObject({ version: 5, value: { generation: 4 }, succeedsSelf: true });
  });

  test('a leader that renews its lease is not replaced', () => {
    const claimed = firstClaim(new LeaderLease('a', 'a1'), 20_000, (now) => Math.floor(now / 500));
    expect(claimed).toBeUndefined();
  });

  test('a silent leader is replaced after its lease has ended, and within a second', () => {
    const claimed = firstClaim(new LeaderLease('a', 'a1'), 20_000, () => 1);
    expect(claimed?.now).toBeGreaterThanOrEqual(SILENCE_MS);
    expect(claimed?.now).toBeLessThan(SILENCE_MS + 1_000);
  });

  test('a leader is not replaced merely because the store could not be read for a while', () => {
    const lease = new LeaderLease('a', 'a1');
    expect(lease.observe(rows(0, OTHER))).toBeUndefined();
    expect(lease.observe(rows(SILENCE_MS + 5_000, OTHER))).toBeUndefined();
  });
});

describe('reads', () => {
  const SMALL = 0.1;

  /** Follows a leader that renews its lease until `silentFromMs`, at the times the lease asks for. */
  function follow(lease: LeaderLease, silentFromMs: number, phaseMs: number) {
    let now = phaseMs;
    let reads = 0;
    for (;;) {
      const beat = Math.floor(Math.min(now, silentFromMs) / 350);
      const claimable = lease.observe({ ...rows(now, OTHER, beat), receivedAt: now }) !== undefined;
      reads += 1;
      const since = Math.floor(silentFromMs / 350) * 350;
      if (claimable || now > silentFromMs + 10_000) {
        return { reads, afterMs: now - since };
      }
      now = lease.nextReadAt(now);
    }
  }

  test('members that leave the cell to larger ones read the rows as often as these', () => {
    const large = follow(new LeaderLease('a', 'a1', 1), 60_000, 0);
    const small = follow(new LeaderLease('a', 'a1', SMALL), 60_000, 0);
    expect(large.reads).toBeGreaterThan(235);
    expect(small.reads).toBeLessThan(135);
  });

  // Claims of small members are delayed by up to 500 ms; reads each 250 ms add up to 500 ms to that.
  test('a takeover is later because the rows are read less often', () => {
    const phases = Array.from({ length: 50 }, (_, index) => index * 10);
    const times = phases.map((phase) => follow(new LeaderLease('a', 'a1', SMALL), 9_870, phase));
    const latest = Math.max(...times.map(({ afterMs }) => afterMs));
    expect(latest).toBeLessThanOrEqual(SILENCE_MS + 500 + 500);
  });

  test('a free cell or the own lease is read at the longer interval', () => {
    const lease = new LeaderLease('a', 'a1', SMALL);
    const released = { ...OTHER, released: true };
    expect(lease.observe(rows(0, released))).toBeUndefined();
    expect(lease.nextReadAt(0)).toBe(250);
  });
});

describe('the term', () => {
  function leader(): LeaderLease {
    const lease = new LeaderLease('a', 'a1');
    const claim = lease.observe(rows(0));
    if (claim !== undefined) {
      lease.recordClaim(claim, 7, { now: 0, wall: 0 });
    }
    return lease;
  }

  test('is measured from sending a renewal, not from its response', () => {
    const lease = leader();
    lease.recordRenewal({ now: 500, wall: 500 });
    const wall = 0;
    expect(lease.isValid({ now: 500 + LEADER_TTL_MS - 1, wall })).toBe(true);
    expect(lease.isValid({ now: 500 + LEADER_TTL_MS, wall })).toBe(false);
  });

  test('ends early as an earlier renewal was answered after a later one', () => {
    const lease = leader();
    lease.recordRenewal({ now: 700, wall: 700 });
    lease.recordRenewal({ now: 350, wall: 350 });
    const last = 700 + LEADER_TTL_MS - 1;
    expect(lease.isValid({ now: last, wall: last })).toBe(true);
  });

  test('ends by wall-clock time for a suspended instance, whose monotonic clock stopped', () => {
    expect(leader().isValid({ now: 10, wall: 30_000 })).toBe(false);
  });

  test('ends when another member leads', () => {
    const lease = leader();
    lease.observe(rows(100, OTHER));
    expect(lease.isValid({ now: 101, wall: 101 })).toBe(false);
  });

  test('a claim whose response was lost starts a term that is not valid before a renewal', () => {
    const lease = new LeaderLease('a', 'a1');
    lease.observe(rows(0, { ...OTHER, member: 'a', incarnation: 'a1' }));
    expect(lease.term).toEqual({ epoch: 5, generation: 3, succeedsSelf: false });
    expect(lease.isValid({ now: 1, wall: 1 })).toBe(false);
  });
});

test('two members never lead at once, whatever the times of renewals and reads', () => {
  const gaps = fc.array(fc.integer({ min: 1, max: 3_000 }), { minLength: 1, maxLength: 40 });
  fc.assert(
    fc.property(gaps, gaps, (renewals, reads) => {
      const holder = new LeaderLease('a', 'a1');
      const claim = holder.observe(rows(0));
      if (claim === undefined) {
        return;
      }
      holder.recordClaim(claim, 5, { now: 0, wall: 0 });
      const times: number[] = [0];
      renewals.forEach((gap) => times.push((times.at(-1) ?? 0) + gap));
      const rival = new LeaderLease('b', 'b1');
      let now = 0;
      for (const gap of reads) {
        now += gap;
        const beats = times.filter((time) => time <= now);
        holder.recordRenewal({ now: beats.at(-1) ?? 0, wall: 0 });
        const held = { member: 'a', incarnation: 'a1', generation: 0, released: false };
        const claimed = rival.observe(rows(now, held, beats.length));
        expect(claimed !== undefined && holder.isValid({ now, wall: 0 })).toBe(false);
      }
    }),
    { numRuns: 1_000, seed: 20261204 },
  );
});
