import { afterEach, beforeEach, expect, test } from '@jest/globals';
import { ManualClock, type JobEvent, type StartOutcome } from '@turmerichoist/core';
import { silentLogger } from '@turmerichoist/runtime';
import { CallLoss } from '../src/jobs/call-loss.js';
import { ExecutorOrders, MAX_ORDERS_IN_FLIGHT } from '../src/jobs/executor-orders.js';

// Each test is named after the failure that it guards against.

const WAITING = 4;

let controller: AbortController;
let clock: ManualClock;
let outcomes: StartOutcome[];
/** Answers the starts that were sent, in their order. */
let sent: ((outcome: StartOutcome) => void)[];

const settle = () => new Promise((resolve) => setTimeout(resolve, 5));

beforeEach(() => {
  controller = new AbortController();
  clock = new ManualClock(10_000);
  outcomes = [];
  sent = [];
});

afterEach(() => {
  controller.abort();
});

/** Orders to an executor with `WAITING` more starts than are sent at once, none of which is answered. */
async function openBusy(): Promise<ExecutorOrders> {
  const orders = new ExecutorOrders(
    {
      executor: 'e1',
      client: {
        process: 0,
        poll: () => new Promise(() => undefined),
        start: () => new Promise((resolve) => sent.push(resolve)),
        stop: () => Promise.resolve(true),
        pace: () => Promise.resolve(true),
      },
      clock,
      mayAct: () => true,
      loss: new CallLoss(clock),
      owner: {
        post: (event: JobEvent) => {
          if (event.type === 'start-answer') {
            outcomes.push(event.outcome);
          }
          return true;
        },
      },
      observer: {
        beforeStart: () => undefined,
        onCallEnded: () => undefined,
        onStartUnanswered: () => undefined,
        requestPoll: () => undefined,
      },
    },
    { log: silentLogger, signal: controller.signal },
  );
  for (let index = 0; index < MAX_ORDERS_IN_FLIGHT + WAITING; index += 1) {
    const task = { jobId: 'a', occurrence: 0, step: 0, index };
    orders.start({ task, attempt: 1, payload: '', checkpoint: '' });
  }
  await settle();
  clock.advance(10);
  return orders;
}

test('starts that wait are given up though only one before them was lost', async () => {
  await openBusy();
  sent[1]?.('started');
  await settle();
  sent[0]?.('unknown');
  await settle();
  expect(outcomes).toEqual(['started', 'unknown']);
  expect(sent).toHaveLength(MAX_ORDERS_IN_FLIGHT + 2);
});

test('starts that wait for a silent executor hold their tasks until each has timed out', async () => {
  await openBusy();
  sent[0]?.('unknown');
  await settle();
  const withdrawn = Array.from({ length: WAITING }, () => 'withdrawn');
  expect(outcomes).toEqual(['unknown', ...withdrawn]);
  expect(sent).toHaveLength(MAX_ORDERS_IN_FLIGHT);
});

test('a start that has waited for too long is sent', async () => {
  await openBusy();
  clock.advance(1_000);
  sent[0]?.('started');
  await settle();
  expect(outcomes).toEqual(['started', ...Array.from({ length: WAITING }, () => 'not-sent')]);
  expect(sent).toHaveLength(MAX_ORDERS_IN_FLIGHT);
});

test('a stop waits behind the starts that it could make room for', async () => {
  const orders = await openBusy();
  const task = { jobId: 'b', occurrence: 0, step: 0, index: 0 };
  orders.stop({ task, attempt: 1 });
  sent[0]?.('started');
  await settle();
  // The stop was answered at once, so that one start has followed it.
  expect(sent).toHaveLength(MAX_ORDERS_IN_FLIGHT + 1);
});
