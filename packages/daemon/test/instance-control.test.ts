import { afterEach, beforeEach, expect, test } from '@jest/globals';
import {
  ManualClock,
  Ok,
  type InstanceOrder,
  type InstanceOrderOutcome,
  type JobEvent,
} from '@turmerichoist/core';
import { silentLogger } from '@turmerichoist/runtime';
import { InstanceControl, MAX_ORDERS_IN_FLIGHT } from '../src/jobs/instance-control.js';
import type { InstanceFleet } from '../src/jobs/ports.js';

// Each test is named after the failure that it guards against.

const ORDERS = 20;

let controller: AbortController;
let clock: ManualClock;
let leading: boolean;
let answers: ((outcome: InstanceOrderOutcome) => void)[];
let events: JobEvent[];

beforeEach(() => {
  controller = new AbortController();
  clock = new ManualClock();
  leading = true;
  answers = [];
  events = [];
});

afterEach(() => {
  controller.abort();
});

/** Answers each order when the test says so, like a platform that is slow. */
const fleet: InstanceFleet = {
  list: () => Promise.resolve(Ok([])),
  order: () =>
    new Promise((resolve) => {
      answers.push(resolve);
    }),
};

function moveOf(n: number): InstanceOrder {
  return { type: 'move', instance: `m${n}`, pool: 'p2' };
}

/** Orders 20 moves at once. */
function orderMoves(): InstanceControl {
  const owner = { post: (event: JobEvent) => events.push(event) > 0 };
  const control = new InstanceControl(
    { fleet, epoch: 1, mayAct: () => leading, clock, owner },
    { log: silentLogger, signal: controller.signal },
  );
  for (let n = 0; n < ORDERS; n += 1) {
    void control.order(moveOf(n));
  }
  return control;
}

async function answerAll(): Promise<void> {
  answers.forEach((answer) => {
    answer('done');
  });
  await new Promise((resolve) => setTimeout(resolve, 10));
}

/** Outcomes as the owner learnt them, by the number of orders. */
function outcomes(): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const event of events) {
    if (event.type === 'order-answer') {
      counts[event.outcome] = (counts[event.outcome] ?? 0) + 1;
    }
  }
  return counts;
}

test('orders behind a slow platform are sent after the leader lease has lapsed', async () => {
  orderMoves();
  leading = false;
  await answerAll();
  expect(answers.length).toBe(MAX_ORDERS_IN_FLIGHT);
  expect(outcomes()).toEqual({ done: MAX_ORDERS_IN_FLIGHT, busy: ORDERS - MAX_ORDERS_IN_FLIGHT });
});

test('orders behind a slow platform are sent after the term has ended', async () => {
  orderMoves();
  controller.abort();
  await answerAll();
  expect(answers.length).toBe(MAX_ORDERS_IN_FLIGHT);
});

test('an instance is moved long after it was found idle', async () => {
  orderMoves();
  clock.advance(501);
  await answerAll();
  expect(answers.length).toBe(MAX_ORDERS_IN_FLIGHT);
  expect(outcomes()).toEqual({ done: MAX_ORDERS_IN_FLIGHT, busy: ORDERS - MAX_ORDERS_IN_FLIGHT });
});

test('an order that waited for others is never sent', async () => {
  orderMoves();
  for (let answered = 0; answered < ORDERS; answered += MAX_ORDERS_IN_FLIGHT) {
    await answerAll();
  }
  expect(outcomes()).toEqual({ done: ORDERS });
});
