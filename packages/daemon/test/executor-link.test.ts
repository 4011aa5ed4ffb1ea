import { expect, test } from '@jest/globals';
import { ManualClock, type JobEvent } from '@turmerichoist/core';
import { silentLogger } from '@turmerichoist/runtime';
import { ExecutorLink } from '../src/jobs/executor-link.js';
import type { ExecutorCalls, HoldAnswer, HoldRequest } from '../src/jobs/ports.js';

const REPORT: HoldAnswer = { type: 'report', startedWallMs: 1, running: [], ended: [] };
const LEASE_MS = 4_500;

/** Looks that arrive at an executor, each answered by the test. */
class ScriptedExecutor {
  readonly looks: {
    readonly req: HoldRequest;
    readonly answer: (answer: HoldAnswer) => void;
  }[] = [];

  readonly calls: ExecutorCalls = {
    hold: (req) =>
      new Promise((resolve) => {
        this.looks.push({ req, answer: resolve });
      }),
    start: () => Promise.resolve('started'),
    stop: () => Promise.resolve(true),
    pace: () => Promise.resolve(true),
  };

  async look(number: number): Promise<(answer: HoldAnswer) => void> {
    for (let tries = 0; tries < 200 && this.looks.length < number; tries += 1) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    return this.looks[number - 1]?.answer ?? (() => undefined);
  }
}

test('a lease ends for the owner while a look that has extended it is on its way', async () => {
  const ending = new AbortController();
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
      calls: executor.calls,
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
    { log: silentLogger, signal: ending.signal },
  );
  link.start();
  (await executor.look(1))(REPORT);
  clock.advance(1_700);
  (await executor.look(2))({ type: 'unanswered' });
  // Looks after an unanswered one do not extend the lease until one has been answered.
  clock.advance(3_000);
  (await executor.look(3))(REPORT);
  await executor.look(4);
  expect(executor.looks.map(({ req }) => req.leaseMs)).toEqual([
    LEASE_MS,
    LEASE_MS,
    undefined,
    LEASE_MS,
  ]);
  const last = events.at(-1);
  expect(last).toMatchObject({ type: 'lease', executor: 'e1' });
  expect(last?.type === 'lease' && last.leaseEndsAt >= clock.now() + LEASE_MS).toBe(true);
  ending.abort();
});
