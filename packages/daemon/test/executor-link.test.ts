import { expect, test } from '@jest/globals';
import { ManualClock, type JobEvent } from '@turmerichoist/core';
import { silentLogger } from '@turmerichoist/runtime';
import { ExecutorLink } from '../src/jobs/executor-link.js';
import type { ExecutorClient, PollResponse, PollRequest } from '../src/jobs/ports.js';

// The test is named after the failure that it guards against.

const REPORT: PollResponse = { type: 'report', startedWallMs: 1, running: [], ended: [] };
const LEASE_MS = 4_500;

/** An executor that records polls, which the test answers. */
class ScriptedExecutor {
  readonly polls: {
    readonly req: PollRequest;
    readonly answer: (answer: PollResponse) => void;
  }[] = [];

  readonly client: ExecutorClient = {
    poll: (req) =>
      new Promise((resolve) => {
        this.polls.push({ req, answer: resolve });
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

test('a lease ends for the owner while a poll that extends it is in flight', async () => {
  const controller = new AbortController();
  const clock = new ManualClock(10_000);
  const executor = new ScriptedExecutor();
  const events: JobEvent[] = [];
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
      client: executor.client,
      clock,
      leaseMs: LEASE_MS,
      mayAct: () => true,
      owner: {
        post: (event) => {
          events.push(event);
          return true;
        },
      },
    },
    { log: silentLogger, signal: controller.signal },
  );
  link.start();
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
  controller.abort();
});
