import { afterEach, expect, test } from '@jest/globals';
import { SeededRandom, type Millis } from '@turmerichoist/core';
import {
  CallLimiter,
  HttpObjectStore,
  HttpTableStore,
  READ_BUDGET_PER_S,
  READ_BURST,
  SettlingStore,
} from '@turmerichoist/coordination';
import { SystemClock } from '@turmerichoist/runtime';
import { startObjectStore, startTableService } from '@turmerichoist/stand-ins';

const LOOPBACK = { host: '127.0.0.1', port: 0 };
const CALL_TIMEOUT_MS = 300;
const clock = new SystemClock();
const cleanups: (() => Promise<void>)[] = [];

afterEach(async () => {
  await Promise.all(cleanups.splice(0).map((cleanup) => cleanup()));
});

async function table() {
  const service = await startTableService(LOOPBACK);
  const controller = new AbortController();
  cleanups.push(async () => {
    controller.abort();
    await service.close();
  });
  const random = new SeededRandom(1);
  const { signal } = controller;
  const options = { url: service.url, clock, random, signal, callTimeoutMs: CALL_TIMEOUT_MS };
  const store = new HttpTableStore(options);
  return { service, store, random, signal };
}

function put(txnId: string, key: string) {
  return { txnId, conditions: [], writes: [{ key, value: txnId }] };
}

test('a change whose answer was lost is settled by reading, not sent twice', async () => {
  const { service, store, random, signal } = await table();
  const settling = new SettlingStore({ store, memberId: 'm', random });
  await settling.commit(put('t1', 'a'), signal);
  service.faults.set({ loseAnswers: 1 });
  const outcome = await settling.commit(put('t2', 'b'), signal);
  expect(outcome.unwrap()).toEqual({ committed: true, versions: { b: 1 } });
  expect(service.state.read(['b'])[0]?.version).toBe(1);
});

test('a change that is handled twice is reported as committed', async () => {
  const { service, store, random, signal } = await table();
  const settling = new SettlingStore({ store, memberId: 'm', random });
  service.faults.set({ repeatRequests: 1 });
  const txn = { ...put('t1', 'a'), conditions: [{ key: 'a', version: 0 }] };
  expect((await settling.commit(txn, signal)).unwrap().committed).toBe(true);
});

test('after one time-out, no call waits on another connection that went silent too', async () => {
  const { service, store, signal } = await table();
  const readTogether = () =>
    Promise.all(Array.from({ length: 8 }, () => store.read(['a'], signal)));
  service.faults.set({ slowMs: 50 });
  await readTogether();
  service.faults.set({ slowMs: 0 });
  service.silenceConnections();
  await expectSoon(async () => (await store.read(['a'], signal)).isErr());
  expect(store.generation).toBe(2);
  await expectSoon(async () => (await store.read(['a'], signal)).isOk());
  expect((await readTogether()).filter((read) => read.isErr())).toEqual([]);
});

test('a refused connection counts as not run, a cut one as unknown', async () => {
  const { service, store, signal } = await table();
  service.faults.set({ loseAnswers: 1 });
  const cut = await store.commit(put('t1', 'a'), signal);
  await service.close();
  await expectSoon(async () => {
    const refused = await store.commit(put('t2', 'b'), signal);
    return refused.isErr() && refused.error.kind === 'store-unavailable';
  });
  expect(cut.unwrapErr().kind).toBe('outcome-unknown');
});

test('a call that the service refuses for its rate is not repeated at once', async () => {
  const { service, store, signal } = await table();
  service.faults.set({ readsPerSecond: 1 });
  await store.read(['a'], signal);
  await Promise.all(Array.from({ length: 50 }, () => store.read(['a'], signal)));
  expect(service.faults.total.read).toBeLessThan(20);
});

test('a missing object is told apart from a failing store', async () => {
  const service = await startObjectStore(LOOPBACK);
  const controller = new AbortController();
  cleanups.push(async () => {
    controller.abort();
    await service.close();
  });
  const { signal } = controller;
  const store = new HttpObjectStore({
    url: service.url,
    clock,
    random: new SeededRandom(1),
    signal,
  });
  await store.put('snapshot/1', Buffer.from('x'), signal);
  expect(Buffer.from((await store.get('snapshot/1', signal)).unwrap()).toString()).toBe('x');
  expect((await store.list('snapshot/', signal)).unwrap()).toEqual(['snapshot/1']);
  expect((await store.get('snapshot/2', signal)).unwrapErr().kind).toBe('not-found');
  service.faults.set({ down: true });
  expect((await store.get('snapshot/1', signal)).unwrapErr().kind).toBe('store-unavailable');
});

test('clients do not hit a service together when it returns after an hour', () => {
  const ENTRIES = 8;
  const HOUR_MS = 3_600_000;
  const STEP_MS = 100;
  const CALLERS_PER_STEP = 40;
  const settings = {
    budgetPerS: READ_BUDGET_PER_S,
    burst: READ_BURST,
    maxWaitMs: 2_000,
    backoffBaseMs: 50,
    backoffCapMs: 5_000,
  };
  const gates = Array.from(
    { length: ENTRIES },
    (_, seed) => new CallLimiter(settings, new SeededRandom(seed)),
  );
  let duringOutage = 0;
  const arrivals: Millis[] = [];
  for (let now = 0; now < HOUR_MS + 10_000; now += STEP_MS) {
    const down = now < HOUR_MS;
    for (const gate of gates) {
      for (let caller = 0; caller < CALLERS_PER_STEP; caller++) {
        const admission = gate.admit(now);
        if (admission.type === 'go') {
          duringOutage += down ? 1 : 0;
          arrivals.push(now + admission.delayMs);
          if (down) {
            gate.failed(now, now);
          } else {
            gate.succeeded();
          }
        }
      }
    }
  }
  const back = arrivals.filter((at) => at >= HOUR_MS);
  const buckets = new Map<number, number>();
  back.forEach((at) =>
    buckets.set(Math.floor(at / 1_000), (buckets.get(Math.floor(at / 1_000)) ?? 0) + 1),
  );
  // The service takes 2,000 reads a second.
  expect(Math.max(...buckets.values())).toBeLessThanOrEqual(2_000);
  // One probe per entry and 2.5 s on average, with the time until the cap is reached on top.
  expect(duringOutage).toBeLessThan((ENTRIES * HOUR_MS) / 2_000);
});

async function expectSoon(check: () => Promise<boolean>): Promise<void> {
  const until = performance.now() + 5_000;
  while (performance.now() < until) {
    if (await check()) {
      return;
    }
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  throw new Error('the condition did not come true within 5 s');
}
