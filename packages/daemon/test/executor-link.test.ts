import { afterEach, beforeEach, expect, test } from '@jest/globals';
import { ManualClock, type Clock, type EndedRun, type JobEvent } from '@turmerichoist/core';
import { silentLogger, SystemClock } from '@turmerichoist/runtime';
import { CallLoss } from '../src/jobs/call-loss.js';
import { ExecutorLink } from '../src/jobs/executor-link.js';
import type { ExecutorClient, PollResponse, PollRequest } from '../src/jobs/ports.js';

// Each test is named after the failure that it guards against.

const REPORT: PollResponse = { type: 'report', startedWallMs: 1, running: [], ended: [] };
const LEASE_MS = 4_500;
const MAX_LEASE_MS = 6_000;

/** An executor that records polls, which the test answers. */
class ScriptedExecutor {
  readonly polls: {
    readonly req: PollRequest;
    readonly atMs: number;
    readonly answer: (answer: PollResponse) => void;
  }[] = [];

  readonly client: ExecutorClient = {
    process: 0,
    poll: (req) =>
      new Promise((resolve) => {
        this.polls.push({ req, atMs: performance.now(), answer: resolve });
      }),
    start: () => Promise.resolve('started'),
    stop: () => Promise.resolve(true),
    pace: () => Promise.resolve(true),
  };

  /** Waits for the poll with this number, from 1, and returns the function that answers it. */
  async waitForPoll(number: number): Promise<(answer: PollResponse) => void> {
    for (let tries = 0; tries < 200 && this.polls.length < number; tries += 1) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    return this.polls[number - 1]?.answer ?? (() => undefined);
  }
}

let controller: AbortController;
let events: JobEvent[];

beforeEach(() => {
  controller = new AbortController();
  leading = true;
  lossy = false;
  events = [];
});

afterEach(() => {
  controller.abort();
});

/** Whether calls to other executors are being lost. */
let lossy: boolean;

function lossyCalls(clock: Clock): CallLoss {
  const loss = new CallLoss(clock);
  for (let call = 0; call < 1_000; call += 1) {
    loss.record(call % 18 > 0);
    loss.recordTime(3);
  }
  return loss;
}

/** Whether the owner holds its leader lease. */
let leading: boolean;

function openLink(
  executor: ScriptedExecutor,
  clock: Clock = new SystemClock(),
  client: ExecutorClient = executor.client,
  onEvent: (event: JobEvent) => void = () => undefined,
): ExecutorLink {
  const link = new ExecutorLink(
    {
      info: {
        id: 'e1',
        startedWallMs: 1,
        address: '',
        pool: 'p1',
        zone: 'z1',
        rack: 'r1',
        labels: [],
        capacity: { processors: 1, memoryMb: 1, accelerators: 0 },
        draining: false,
      },
      client,
      clock,
      leaseMs: LEASE_MS,
      maxLeaseMs: MAX_LEASE_MS,
      mayAct: () => leading,
      loss: lossy ? lossyCalls(clock) : new CallLoss(clock),
      owner: {
        post: (event) => {
          events.push(event);
          onEvent(event);
          return true;
        },
      },
    },
    { log: silentLogger, signal: controller.signal },
  );
  link.start();
  return link;
}

const TASK = { jobId: 'a', occurrence: 0, step: 0, index: 0 };
const ENDED: EndedRun = { seq: 7, task: TASK, attempt: 1, reason: 'done', checkpoint: '' };
const REPORT_OF_AN_END: PollResponse = { ...REPORT, ended: [ENDED] };

const elapse = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

test('a lease ends for the owner while a poll that extends it is in flight', async () => {
  const clock = new ManualClock(10_000);
  const executor = new ScriptedExecutor();
  openLink(executor, clock);
  (await executor.waitForPoll(1))(REPORT);
  clock.advance(1_700);
  (await executor.waitForPoll(2))({ type: 'unanswered' });
  // After an unanswered poll, the lease is not extended until a poll has been answered.
  clock.advance(3_000);
  (await executor.waitForPoll(3))(REPORT);
  await executor.waitForPoll(4);
  expect(executor.polls.map(({ req }) => req.leaseMs)).toEqual([
    LEASE_MS,
    LEASE_MS,
    undefined,
    LEASE_MS,
  ]);
  const last = events.at(-1);
  expect(last).toMatchObject({ type: 'lease', executor: 'e1' });
  expect(last?.type === 'lease' && last.leaseEndsAt >= clock.now() + LEASE_MS).toBe(true);
});

// The lease end of the second poll was a time on the clock of the former process.
test('a restarted executor is taken to run nothing while it may have the longest lease', async () => {
  const clock = new ManualClock(10_000);
  const executor = new ScriptedExecutor();
  openLink(executor, clock);
  (await executor.waitForPoll(1))(REPORT);
  (await executor.waitForPoll(2))({ ...REPORT, startedWallMs: 2 });
  await executor.waitForPoll(3);
  const reports = events.filter((event) => event.type === 'report');
  expect(reports.at(-1)?.leaseEndsAt).toBeGreaterThanOrEqual(clock.now() + MAX_LEASE_MS);
});

/** An instance that was lent to a queue at its peak has just arrived. */
test('a start decided from the first report is not sent, as the executor has no lease yet', async () => {
  const executor = new ScriptedExecutor();
  // The first poll reads the clock of the executor, so the second one is the first with a lease.
  const leased = (): boolean => executor.polls.length >= 2;
  const client: ExecutorClient = {
    ...executor.client,
    start: () => Promise.resolve(leased() ? 'started' : 'not-sent'),
  };
  const order = { task: TASK, attempt: 1, payload: '', checkpoint: '' };
  const link = openLink(executor, new SystemClock(), client, (event) => {
    if (event.type === 'report') {
      // An idle owner handles an event in the next microtask.
      queueMicrotask(() => {
        link.post({ type: 'start', order });
      });
    }
  });
  (await executor.waitForPoll(1))(REPORT);
  await executor.waitForPoll(2);
  await elapse(10);
  expect(events).toContainEqual(
    expect.objectContaining({ type: 'start-answer', outcome: 'started' }),
  );
});

test('a restarted executor forgets an end that an acknowledgement to its former process covers', async () => {
  const executor = new ScriptedExecutor();
  const link = openLink(executor);
  (await executor.waitForPoll(1))(REPORT_OF_AN_END);
  link.post({ type: 'acknowledged', startedWallMs: 1, through: 7 });
  (await executor.waitForPoll(2))(REPORT);
  (await executor.waitForPoll(3))({ type: 'unanswered' });
  // The new process may have ended its first run already.
  const ended = [{ ...ENDED, seq: 1 }];
  (await executor.waitForPoll(4))({ ...REPORT, startedWallMs: 2, ended });
  await executor.waitForPoll(5);
  const acknowledged = executor.polls.map(({ req }) => req.acknowledgedThrough);
  expect(acknowledged.slice(2)).toEqual([7, 0, 0]);
});

// Nothing had gone unanswered: the process was gone for less than the pause between two polls.
test('a restarted executor that confirms a start forgets its end before it has listed it', async () => {
  const executor = new ScriptedExecutor();
  const client = { ...executor.client, process: 0 };
  client.start = () => {
    client.process = 1;
    return Promise.resolve('started');
  };
  const link = openLink(executor, new SystemClock(), client);
  (await executor.waitForPoll(1))(REPORT_OF_AN_END);
  link.post({ type: 'acknowledged', startedWallMs: 1, through: 7 });
  await executor.waitForPoll(2);
  link.post({ type: 'start', order: { task: TASK, attempt: 2, payload: '', checkpoint: '' } });
  await executor.waitForPoll(3);
  expect(executor.polls.map(({ req }) => req.acknowledgedThrough)).toEqual([0, 7, 0]);
});

test('an executor that restarts while it is not polled forgets an end before it has listed it', async () => {
  const executor = new ScriptedExecutor();
  const link = openLink(executor);
  (await executor.waitForPoll(1))(REPORT_OF_AN_END);
  link.post({ type: 'acknowledged', startedWallMs: 1, through: 7 });
  const answer = await executor.waitForPoll(2);
  leading = false;
  answer(REPORT);
  await elapse(20);
  leading = true;
  link.post({ type: 'resume' });
  const ended = [{ ...ENDED, seq: 1 }];
  (await executor.waitForPoll(3))({ ...REPORT, startedWallMs: 2, ended });
  await executor.waitForPoll(4);
  const acknowledged = executor.polls.map(({ req }) => req.acknowledgedThrough);
  expect(acknowledged.slice(1)).toEqual([7, 0, 0]);
});

test('a start that follows the first report at once finds no lease and is not sent', async () => {
  const executor = new ScriptedExecutor();
  const pollsAtStart: number[] = [];
  const start = (): Promise<'started'> => {
    pollsAtStart.push(executor.polls.length);
    return Promise.resolve('started');
  };
  const order = { task: TASK, attempt: 1, payload: '', checkpoint: '' };
  const link = openLink(executor, new SystemClock(), { ...executor.client, start }, (event) => {
    if (event.type === 'report' && pollsAtStart.length === 0) {
      link.post({ type: 'start', order });
    }
  });
  // The first poll reads the executor's clock; only the second one can extend the lease.
  (await executor.waitForPoll(1))(REPORT);
  await executor.waitForPoll(2);
  await elapse(20);
  expect(pollsAtStart).toEqual([2]);
});

test('an executor lists the same ended runs five times a second while the store is slow', async () => {
  const executor = new ScriptedExecutor();
  openLink(executor);
  for (let number = 1; number <= 6; number += 1) {
    (await executor.waitForPoll(number))(REPORT_OF_AN_END);
  }
  // Pauses of 60, 120, 240 and 480 ms; the first two polls follow each other at once.
  const [before, last] = executor.polls.slice(4).map(({ atMs }) => atMs);
  expect((last ?? 0) - (before ?? 0)).toBeGreaterThan(450);
  expect(executor.polls.every(({ req }) => req.waitMs === 0)).toBe(true);
});

test('an acknowledgement is passed on only after the pause of its executor', async () => {
  const executor = new ScriptedExecutor();
  const link = openLink(executor);
  for (let number = 1; number <= 6; number += 1) {
    (await executor.waitForPoll(number))(REPORT_OF_AN_END);
  }
  // The pause under way is of 960 ms.
  await elapse(20);
  const acknowledgedAt = performance.now();
  link.post({ type: 'acknowledged', startedWallMs: 1, through: 7 });
  const answer = await executor.waitForPoll(7);
  const [last] = executor.polls.slice(6);
  expect((last?.atMs ?? Infinity) - acknowledgedAt).toBeLessThan(500);
  expect(last?.req).toMatchObject({ acknowledgedThrough: 7, waitMs: 1_000 });
  // The next pause is short again.
  const answeredAt = performance.now();
  answer({ ...REPORT, ended: [{ ...ENDED, seq: 8 }] });
  await executor.waitForPoll(8);
  expect((executor.polls[7]?.atMs ?? Infinity) - answeredAt).toBeLessThan(500);
});

test('each of many stops on one executor makes a poll of its own', async () => {
  const executor = new ScriptedExecutor();
  const link = openLink(executor);
  (await executor.waitForPoll(1))(REPORT);
  await executor.waitForPoll(2);
  for (let attempt = 1; attempt <= 25; attempt += 1) {
    link.post({ type: 'stop', task: TASK, attempt });
  }
  await executor.waitForPoll(3);
  await elapse(50);
  expect(executor.polls.length).toBe(3);
  // The requests that came while it was under way share one poll.
  executor.polls[2]?.answer(REPORT);
  (await executor.waitForPoll(4))(REPORT);
  await elapse(50);
  expect(executor.polls.slice(2).map(({ req }) => req.waitMs)).toEqual([0, 0]);
  expect(events.filter(({ type }) => type === 'stop-answer').length).toBe(25);
});

test('a stop is followed only by a report that was asked for before the stop', async () => {
  const clock = new ManualClock(10_000);
  const executor = new ScriptedExecutor();
  const link = openLink(executor, clock);
  (await executor.waitForPoll(1))(REPORT);
  await executor.waitForPoll(2);
  link.post({ type: 'poll' });
  const first = await executor.waitForPoll(3);
  clock.advance(10);
  const requestedAt = clock.now();
  link.post({ type: 'stop', task: TASK, attempt: 1 });
  await elapse(20);
  clock.advance(10);
  first(REPORT);
  (await executor.waitForPoll(4))(REPORT);
  await elapse(20);
  const reports = events.flatMap((event) => (event.type === 'report' ? [event.report.sentAt] : []));
  expect(reports.at(-1)).toBeGreaterThanOrEqual(requestedAt);
  expect(executor.polls.length).toBe(4);
});

/** A link that has acknowledged an end and sent a third poll, while calls to other executors are lost. */
async function openLossyLink(executor: ScriptedExecutor): Promise<ExecutorLink> {
  lossy = true;
  const link = openLink(executor);
  (await executor.waitForPoll(1))(REPORT);
  (await executor.waitForPoll(2))(REPORT_OF_AN_END);
  link.post({ type: 'acknowledged', startedWallMs: 1, through: 7 });
  await executor.waitForPoll(3);
  return link;
}

test('a lost poll hides the ends of an executor until it times out', async () => {
  const executor = new ScriptedExecutor();
  await openLossyLink(executor);
  // The third poll is lost.
  (await executor.waitForPoll(4))({ ...REPORT, ended: [{ ...ENDED, seq: 8 }] });
  await executor.waitForPoll(5);
  const last = events.findLast((event) => event.type === 'report');
  expect(last?.type === 'report' && last.report.ended[0]?.seq).toBe(8);
});

test('a poll that follows a lost one acknowledges ends to a restarted executor', async () => {
  const executor = new ScriptedExecutor();
  await openLossyLink(executor);
  await executor.waitForPoll(4);
  expect(executor.polls[3]?.req).toMatchObject({ acknowledgedThrough: 0, leaseMs: undefined });
});

test('a silent executor is polled ever more often while its polls are under way', async () => {
  lossy = true;
  const executor = new ScriptedExecutor();
  openLink(executor);
  (await executor.waitForPoll(1))(REPORT);
  await executor.waitForPoll(4);
  await elapse(1_000);
  expect(executor.polls.length).toBe(4);
});

test('the lease of an executor that answers each poll a little late ends', async () => {
  lossy = true;
  const executor = new ScriptedExecutor();
  openLink(executor);
  (await executor.waitForPoll(1))(REPORT);
  for (let number = 2; number <= 9; number += 1) {
    const answer = await executor.waitForPoll(number);
    // The first long poll waits for a second; the others are overdue after 100 ms.
    setTimeout(() => {
      answer(REPORT);
    }, 150);
  }
  const extended = executor.polls.slice(3).filter(({ req }) => req.leaseMs === LEASE_MS);
  expect(extended.length).toBeGreaterThan(0);
});

test('ends are acknowledged to a restarted executor after a late answer during a pause', async () => {
  const executor = new ScriptedExecutor();
  const link = await openLossyLink(executor);
  const late = await executor.waitForPoll(3);
  await executor.waitForPoll(4);
  leading = false;
  late(REPORT);
  executor.polls[3]?.answer(REPORT);
  await elapse(50);
  leading = true;
  link.post({ type: 'resume' });
  await executor.waitForPoll(5);
  expect(executor.polls[4]?.req.acknowledgedThrough).toBe(0);
});
