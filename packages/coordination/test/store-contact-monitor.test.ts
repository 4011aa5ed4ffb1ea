import { afterEach, beforeEach, expect, test } from '@jest/globals';
import {
  StoreContact,
  StoreContactMonitor,
  StoreTransport,
  type ContactState,
} from '@turmerichoist/coordination';
import { SeededRandom, type Millis } from '@turmerichoist/core';
import { SystemClock, every, silentLogger } from '@turmerichoist/runtime';
import { startTableService } from '@turmerichoist/stand-ins';

// Each test is named after the failure that it guards against.

const LOOPBACK = { host: '127.0.0.1', port: 0 };
const PROBE_TIMEOUT_MS: Millis = 200;
const POLL_MS: Millis = 50;
const WAIT_MS: Millis = 5_000;

let controller: AbortController;
let service: Awaited<ReturnType<typeof startTableService>>;
let states: ContactState[];
let probes: number;
let underWay: number;
let maxProbes: number;

beforeEach(async () => {
  controller = new AbortController();
  service = await startTableService(LOOPBACK);
  states = [];
  probes = 0;
  underWay = 0;
  maxProbes = 0;
});

afterEach(async () => {
  controller.abort();
  await service.close();
});

/** Starts a monitor whose store is called at a steady rate, as by the polls of an election. */
function start(): void {
  const clock = new SystemClock();
  const contact = new StoreContact();
  const { signal } = controller;
  const open = (callTimeoutMs: Millis) =>
    new StoreTransport({
      url: service.url,
      clock,
      random: new SeededRandom(1),
      signal,
      contact,
      callTimeoutMs,
      backoffCapMs: POLL_MS,
    });
  const call = { kind: 'read', method: 'GET', path: '/v1/range?prefix=a/' } as const;
  const [polls, probe] = [open(2_000), open(PROBE_TIMEOUT_MS)];
  every(POLL_MS, signal, () => void polls.call(call, signal));
  const monitor = new StoreContactMonitor(
    {
      contact,
      clock,
      probe: async (probed) => {
        probes += 1;
        maxProbes = Math.max(maxProbes, (underWay += 1));
        await probe.call(call, probed);
        underWay -= 1;
      },
      listener: {
        post: ({ state }) => {
          states.push(state);
          return true;
        },
      },
    },
    { log: silentLogger, signal },
  );
  monitor.start();
}

async function eventually(check: () => boolean): Promise<void> {
  for (let waited = 0; waited < WAIT_MS && !check(); waited += 10) {
    await pause(10);
  }
  expect(check()).toBe(true);
}

function pause(ms: Millis): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

test('an entry never learns that the store is silent, or that it is back', async () => {
  start();
  await pause(500);
  expect(states).toEqual([]);
  service.faults.set({ slowMs: 60_000 });
  await eventually(() => states.at(-1) === 'lost');
  expect(states).toEqual(['silent', 'lost']);
  service.faults.set({ slowMs: 0 });
  await eventually(() => states.at(-1) === 'in-touch');
});

test('a store that is away is called by many probes at once', async () => {
  start();
  await pause(200);
  service.faults.set({ slowMs: 60_000 });
  await eventually(() => states.at(-1) === 'lost');
  expect(probes).toBeGreaterThan(1);
  expect(maxProbes).toBe(1);
});

test('a store that refuses calls counts as one that does not answer', async () => {
  start();
  await pause(200);
  service.faults.set({ down: true });
  await pause(1_500);
  expect(states).toEqual([]);
  expect(probes).toBe(0);
});
