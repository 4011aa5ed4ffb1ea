import { describe, expect, test } from '@jest/globals';
import { ManualClock } from '@turmerichoist/core';
import { CallLoss } from '../src/jobs/call-loss.js';

// Each test is named after the failure that it guards against.

const LONGEST_MS = 450;
const SHORTEST_MS = 100;

function record(loss: CallLoss, calls: number, lost: number): void {
  for (let call = 0; call < calls; call += 1) {
    loss.record(call >= lost);
  }
}

function answered(answerMs: number, times = 100): CallLoss {
  const loss = new CallLoss(new ManualClock(10_000));
  for (let sample = 0; sample < times; sample += 1) {
    loss.recordTime(answerMs);
  }
  return loss;
}

describe('calls to executors', () => {
  test('count as lost because one executor has ended', () => {
    const loss = new CallLoss(new ManualClock(10_000));
    record(loss, 20, 2);
    expect(loss.elevated).toBe(false);
  });

  test('are lost, one in eighteen, without being noticed', () => {
    const loss = new CallLoss(new ManualClock(10_000));
    record(loss, 180, 10);
    expect(loss.elevated).toBe(true);
  });

  test('count as lost long after the last loss', () => {
    const clock = new ManualClock(10_000);
    const loss = new CallLoss(clock);
    record(loss, 180, 10);
    clock.advance(2_000);
    record(loss, 180, 0);
    expect(loss.elevated).toBe(false);
  });

  test('count as lost, so that even shorter time-outs follow, when this process is cut off', () => {
    const loss = answered(3);
    record(loss, 100, 60);
    expect(loss.elevated).toBe(false);
    expect(loss.answerTimeoutMs).toBe(LONGEST_MS);
  });

  test('time out sooner although none are lost', () => {
    const loss = answered(3);
    record(loss, 180, 0);
    expect(loss.answerTimeoutMs).toBe(LONGEST_MS);
  });

  test('wait for answers as long as without losses', () => {
    const loss = answered(3);
    record(loss, 180, 10);
    expect(loss.answerTimeoutMs).toBe(SHORTEST_MS);
  });

  test('time out before slow executors can answer', () => {
    const loss = answered(200);
    record(loss, 180, 10);
    expect(loss.answerTimeoutMs).toBeGreaterThan(200);
  });
});
