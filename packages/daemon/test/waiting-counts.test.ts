import { describe, expect, test } from '@jest/globals';
import { JobDirectory, ManualClock, type JobConfig } from '@turmerichoist/core';
import fc from 'fast-check';
import { CountInputs } from '../src/jobs/count-inputs.js';
import { MAX_COUNT_AGE_MS, WaitingCounts, type CountsRead } from '../src/jobs/waiting-counts.js';

// Each test is named after the failure that it guards against.

const POLL_MS = 250;

function directory(revision: number, queues: readonly string[]): JobDirectory {
  const config: JobConfig = {
    revision,
    callers: {
      routes: queues.map((queue) => ({ queue, host: queue, pathPrefix: '/', open: true })),
      teamsByKey: new Map(),
    },
    scheduling: { queues: new Map(), pools: new Map(), teams: new Map() },
  };
  return new JobDirectory(config);
}

interface Member {
  readonly clock: ManualClock;
  readonly counts: WaitingCounts;
  /** Reads the lease row now. */
  readonly read: (row: Partial<CountsRead>) => void;
}

function member(): Member {
  const clock = new ManualClock(1_000);
  const counts = new WaitingCounts(clock);
  counts.setDirectory(directory(1, ['print', 'scan']));
  const read = (row: Partial<CountsRead>): void => {
    const waiting = { byQueue: { print: 4 }, ageMs: 100, revision: 1 };
    counts.observe({ epoch: 7, beat: 1, waiting, sentAt: clock.now(), ...row });
  };
  return { clock, counts, read };
}

/** A member that has read two publications; the age of the second is 100 ms + 250 ms. */
function informed(row: Partial<CountsRead> = {}): Member {
  const reader = member();
  reader.read({});
  reader.clock.advance(POLL_MS);
  reader.read({ beat: 2, ...row });
  return reader;
}

describe('the count of waiting jobs', () => {
  test('a member that can not read the row answers with counts of any age', () => {
    const { clock, counts } = informed();
    clock.advance(MAX_COUNT_AGE_MS - 100 - POLL_MS);
    expect(counts.count('print')).toMatchObject({ type: 'count', count: 4 });
    clock.advance(1);
    expect(counts.count('print')).toMatchObject({ reason: 'outdated', ageMs: 3_501 });
  });

  test('counts of a leader that has not read the jobs for long look new with each renewal', () => {
    const waiting = { byQueue: {}, ageMs: 3_400, revision: 1 };
    expect(informed({ waiting }).counts.count('print')).toMatchObject({ reason: 'outdated' });
  });

  test('counts that are not renewed look new with each read', () => {
    const { clock, counts, read } = informed();
    for (let passed = 0; passed <= MAX_COUNT_AGE_MS; passed += POLL_MS) {
      clock.advance(POLL_MS);
      read({ beat: 2 });
    }
    expect(counts.count('print')).toMatchObject({ reason: 'outdated' });
  });

  test('a row of unknown age is taken for new by a member that has just started', () => {
    const { counts, read } = member();
    expect(counts.count('print')).toMatchObject({ reason: 'unpublished', ageMs: undefined });
    read({});
    expect(counts.count('print')).toMatchObject({ reason: 'unpublished', ageMs: undefined });
  });

  test('a queue without waiting jobs is refused', () => {
    expect(informed().counts.count('scan')).toMatchObject({ type: 'count', count: 0 });
  });

  test('a queue that the leader does not know yet is answered as empty', () => {
    const { counts } = informed();
    counts.setDirectory(directory(2, ['print', 'fax']));
    expect(counts.count('fax')).toMatchObject({ reason: 'queue-unknown', ageMs: 350 });
    expect(counts.count('print')).toMatchObject({ type: 'count', count: 4 });
  });

  test('a queue stays refused after the leader has applied its configuration', () => {
    const { clock, counts, read } = informed();
    counts.setDirectory(directory(2, ['print', 'fax']));
    clock.advance(POLL_MS);
    read({ beat: 3, waiting: { byQueue: {}, ageMs: 0, revision: 2 } });
    expect(counts.count('fax')).toMatchObject({ type: 'count', count: 0 });
  });

  test('a new leader that has not loaded the jobs empties the counts', () => {
    const { clock, counts, read } = informed();
    clock.advance(POLL_MS);
    read({ epoch: 9, beat: 1, waiting: undefined });
    expect(counts.count('print')).toMatchObject({ type: 'count', count: 4, ageMs: 600 });
  });

  test('a renewal that the store carries out late replaces newer counts', () => {
    const { clock, counts, read } = informed({ beat: 5 });
    clock.advance(POLL_MS);
    read({ beat: 4, waiting: { byQueue: {}, ageMs: 0, revision: 1 } });
    expect(counts.count('print')).toMatchObject({ type: 'count', count: 4 });
  });

  test('jobs that the member has just accepted are missing', () => {
    const { clock, counts, read } = informed();
    counts.recordAccepted('print');
    counts.recordAccepted('scan');
    expect(counts.count('print')).toMatchObject({ count: 5 });
    expect(counts.count('scan')).toMatchObject({ count: 1 });
    clock.advance(POLL_MS);
    read({ beat: 3 });
    expect(counts.count('print')).toMatchObject({ count: 5 });
    clock.advance(POLL_MS);
    read({ beat: 4 });
    clock.advance(POLL_MS);
    read({ beat: 5 });
    expect(counts.count('print')).toMatchObject({ count: 4 });
  });

  test('a queue named like a property of objects has a count that is no number', () => {
    const { counts } = informed();
    counts.setDirectory(directory(1, ['constructor']));
    expect(counts.count('constructor')).toMatchObject({ type: 'count', count: 0 });
  });
});

describe('the inputs of the leader', () => {
  const config = { type: 'config-applied', revision: 3 } as const;

  test('counts are published before the jobs are loaded', () => {
    const inputs = new CountInputs();
    inputs.apply(config);
    expect(inputs.publish(new Map(), 50)).toBeUndefined();
    inputs.apply({ type: 'jobs-applied', sentAt: 20 });
    expect(inputs.publish(new Map([['print', 2]]), 50)).toEqual({
      byQueue: { print: 2 },
      ageMs: 30,
      revision: 3,
    });
  });

  test('counts are published that leave out jobs which the leader could not take in', () => {
    const inputs = new CountInputs();
    inputs.apply(config);
    inputs.markIncomplete();
    inputs.apply({ type: 'jobs-applied', sentAt: 20 });
    expect(inputs.publish(new Map(), 50)).toBeUndefined();
  });
});

describe('with any delays of reads, renewals and polls', () => {
  /** The 5 s after which an accepted job must be in the count. */
  const VISIBLE_MS = 5_000;
  const MAX_RENEWAL_MS = 1_200;
  const delays = (max: number) => fc.array(fc.integer({ min: 1, max }), { minLength: 30 });

  /** Points of time with the given distances. */
  function times(distances: readonly number[]): readonly number[] {
    let at = 0;
    return distances.map((distance) => (at += distance));
  }

  function lastUpTo(points: readonly number[], at: number): number | undefined {
    return points.filter((point) => point <= at).at(-1);
  }

  test('a count leaves out a job that was accepted 5 s before', () => {
    fc.assert(
      fc.property(
        delays(900),
        delays(900),
        delays(900),
        delays(1_000),
        fc.array(fc.integer({ min: 1, max: MAX_RENEWAL_MS }), { minLength: 1, maxLength: 5 }),
        (jobs, leaderReads, renewals, polls, renewalMs) => {
          const accepted = times(jobs);
          const reads = times(leaderReads);
          let writtenAt = 0;
          const rows = renewals.flatMap((distance, i) => {
            const builtAt = writtenAt + distance;
            writtenAt = builtAt + (renewalMs[i % renewalMs.length] ?? 0);
            const readAt = lastUpTo(reads, builtAt);
            const print = accepted.filter((at) => at <= (readAt ?? -1)).length;
            const waiting = { byQueue: { print }, ageMs: builtAt - (readAt ?? 0), revision: 1 };
            return [
              { beat: i + 1, writtenAt, waiting: readAt === undefined ? undefined : waiting },
            ];
          });
          const { clock, counts, read } = member();
          const origin = clock.now();
          for (const at of times(polls)) {
            clock.advance(origin + at - clock.now());
            const row = rows.filter((other) => other.writtenAt <= at).at(-1);
            if (row !== undefined) {
              read({ beat: row.beat, waiting: row.waiting });
            }
            const answer = counts.count('print');
            if (answer.type === 'count') {
              const due = accepted.filter((job) => job < at - VISIBLE_MS).length;
              expect(answer.count).toBeGreaterThanOrEqual(due);
            }
          }
        },
      ),
    );
  });
});
