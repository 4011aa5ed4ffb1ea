import { describe, expect, test } from '@jest/globals';
import {
  CERTAINTY_FACTOR,
  ExpectedStarts,
  decideAdmission,
  type ExpectedStart,
  type JobSpec,
  type QueuePolicy,
  type WorkAheadLane,
} from '../src/index.js';
import { Job } from '../src/jobs/job.js';
import { latenessOf } from '../src/jobs/ordering.js';
import { job, POLICY, step } from './support/job-fixtures.js';

// Each test is named after the failure that it guards against.

/** Objective of `SPEC`: 2 * 300 ms + 600 ms. */
const OBJECTIVE_MS = 1_200;
const PATH_MS = 300;
const LIMIT_MS = CERTAINTY_FACTOR * 3 * OBJECTIVE_MS;
const SPEC = job('a', [step()]).spec;

function startAt(lateMs: number, over: Partial<ExpectedStart> = {}): ExpectedStart {
  return { inTimeMs: lateMs, lateMs, ageMs: 500, ...over };
}

function decide(
  expected: ExpectedStart | undefined,
  spec: Partial<JobSpec> = {},
  policy: Partial<QueuePolicy> = {},
) {
  return decideAdmission({ ...SPEC, ...spec }, { ...POLICY, ...policy }, expected, 0).type;
}

describe('admission', () => {
  test('a job is accepted that would end after its value, or refused that would not', () => {
    expect(decide(startAt(LIMIT_MS - PATH_MS))).toBe('accept');
    expect(decide(startAt(LIMIT_MS - PATH_MS + 1))).toBe('refuse');
  });

  test('the end of the value differs from that in the order of jobs', () => {
    const waiting = new Job(job('a', [step()]), { acceptedAt: 0, firstDueAt: 0 }, 1);
    const endOfValue = LIMIT_MS / CERTAINTY_FACTOR;
    expect(latenessOf(waiting, endOfValue)).toBe('late');
    expect(latenessOf(waiting, endOfValue + 1)).toBe('worthless');
  });

  test('a job is refused as late jobs wait, which are served after it', () => {
    expect(decide(startAt(60_000, { inTimeMs: OBJECTIVE_MS }))).toBe('accept');
    expect(decide(startAt(60_000, { inTimeMs: OBJECTIVE_MS + 1 }))).toBe('refuse');
  });

  test('a job is refused by figures that are old, or without any', () => {
    expect(decide(startAt(60_000, { ageMs: 3_500 }))).toBe('refuse');
    expect(decide(startAt(60_000, { ageMs: 3_501 }))).toBe('accept');
    expect(decide(undefined)).toBe('accept');
  });

  test('a service, a job for later or of several times, or one without objective is refused', () => {
    const late = startAt(60_000);
    const lasting = [step(), step({ lasting: true })];
    expect(decide(late, { steps: lasting })).toBe('accept');
    expect(decide(late, { firstAtWallMs: 1 })).toBe('accept');
    expect(decide(late, { occurrences: 2 })).toBe('accept');
    expect(decide(late, {}, { slackFactor: 0, targetLatencyMs: 0 })).toBe('accept');
  });

  test('callers are told to retry before there is capacity, or all at the same time', () => {
    const retryAfterMs = (startMs: number, jitter: number) => {
      const decision = decideAdmission(SPEC, POLICY, startAt(startMs), jitter);
      return decision.type === 'refuse' ? decision.retryAfterMs : undefined;
    };
    expect(retryAfterMs(8_000, 0)).toBe(8_000);
    expect(retryAfterMs(8_000, 0.999)).toBeCloseTo(10_000, -1);
    expect(retryAfterMs(500_000, 0)).toBe(30_000);
    const impatient = { ...POLICY, slackFactor: 0.1, targetLatencyMs: 10 };
    expect(decideAdmission(SPEC, impatient, startAt(200), 0)).toMatchObject({
      retryAfterMs: 1_000,
    });
  });
});

describe('the expected start on a member', () => {
  const LANE: WorkAheadLane = {
    queue: 'q1',
    processors: 10,
    workPercent: 200,
    // Of at least 0.5 and 2 processor-seconds.
    teams: {
      t1: [
        [500, 20, 60],
        [2_000, 40, 80],
      ],
    },
  };

  function informed(): ExpectedStarts {
    const starts = new ExpectedStarts();
    starts.apply([LANE], 1_000);
    return starts;
  }

  /** A job with this many processor-milliseconds as declared, of which it is expected to need twice as many. */
  function ofWork(estimateMs: number): JobSpec {
    return { ...SPEC, steps: [step({ estimateMs })] };
  }

  test('of a small job is that of large ones, which yield to it', () => {
    const startOf = (work: number) => informed().startOf('q1', 't1', ofWork(work), 1_000);
    expect(startOf(249)).toBeUndefined();
    expect(startOf(250)).toMatchObject({ inTimeMs: 2_000, lateMs: 6_000 });
    expect(startOf(999)).toMatchObject({ inTimeMs: 2_000, lateMs: 6_000 });
    expect(startOf(1_000)).toMatchObject({ inTimeMs: 4_000, lateMs: 8_000 });
  });

  test('leaves out what has been served since the read', () => {
    const expected = { inTimeMs: 3_000, lateMs: 7_000, ageMs: 1_000 };
    expect(informed().startOf('q1', 't1', ofWork(1_000), 2_000)).toEqual(expected);
  });

  test('of a team or queue with little work is that of others', () => {
    expect(informed().startOf('q1', 't2', ofWork(1_000), 2_000)).toBeUndefined();
    expect(informed().startOf('q2', 't1', ofWork(1_000), 2_000)).toBeUndefined();
  });

  test('leaves out jobs up to its size that the member has accepted since, or counts them twice', () => {
    const starts = informed();
    const startOf = (work: number, now: number) => starts.startOf('q1', 't1', ofWork(work), now);
    // 50 processor-seconds, so 100 for 10 processors.
    starts.recordAccepted('q1', 't1', ofWork(50_000), 2_000);
    expect(startOf(50_000, 2_000)).toMatchObject({ inTimeMs: 13_000, lateMs: 17_000 });
    expect(startOf(49_999, 2_000)).toMatchObject({ inTimeMs: 3_000, lateMs: 7_000 });
    starts.apply([LANE], 1_999);
    expect(startOf(50_000, 1_999)).toMatchObject({ lateMs: 18_000 });
    starts.apply([LANE], 2_001);
    expect(startOf(50_000, 2_001)).toMatchObject({ lateMs: 8_000 });
  });

  test('outlives the leader whose figures it is based on', () => {
    const starts = informed();
    starts.clear();
    expect(starts.startOf('q1', 't1', ofWork(1_000), 1_000)).toBeUndefined();
  });
});
