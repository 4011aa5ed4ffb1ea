import { afterEach, expect, test } from '@jest/globals';
import { SeededRandom, type Millis } from '@turmerichoist/core';
import {
  CallLimiter,
  HttpObjectStore,
  HttpTableStore,
  READ_BUDGET_PER_S,
  READ_BURST,
  OutcomeResolvingStore,
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

async function startTable() {
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

test('a transaction whose response was lost is resolved by reading and not sent twice', async () => {
  const { service, store, random, signal } = await startTable();
  const resolvingStore = new OutcomeResolvingStore({ store, memberId: 'm', random });
  // The first call opens a connection; on a busy machine it may take longer than its time-out.
  await expectSoon(async () => (await resolvingStore.commit(put('t1', 'a'), signal)).isOk());
  service.faults.set({ loseAnswers: 1 });
  const outcome = await resolvingStore.commit(put('t2', 'b'), signal);
  expect(outcome.unwrap()).toEqual({ committed: true, versions: { b: 1 } });
  expect(service.state.read(['b'])[0]?.version).toBe(1);
});

test('a transaction that the service handles twice is reported as committed', async () => {
  const { service, store, random, signal } = await startTable();
  const resolvingStore = new OutcomeResolvingStore({ store, memberId: 'm', random });
  service.faults.set({ repeatRequests: 1 });
  const txn = { ...put('t1', 'a'), conditions: [{ key: 'a', version: 0 }] };
  expect((await resolvingStore.commit(txn, signal)).unwrap().committed).toBe(true);
});

test('after one time-out, no call uses another old connection that went silent too', async () => {
  const { service, store, signal } = await startTable();
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

test('a refused connection means not committed, a broken one an unknown outcome', async () => {
  const { service, store, signal } = await startTable();
  service.faults.set({ loseAnswers: 1 });
  const cut = await store.commit(put('t1', 'a'), signal);
  await service.close();
  await expectSoon(async () => {
    const refused = await store.commit(put('t2', 'b'), signal);
    return refused.isErr() && refused.error.kind === 'store-unavailable';
  });
  expect(cut.unwrapErr().kind).toBe('outcome-unknown');
});

test('calls back off after the service rejects one for exceeding its rate', async () => {
  const { service, store, signal } = await startTable();
  service.faults.set({ readsPerSecond: 1 });
  await store.read(['a'], signal);
  await Promise.all(Array.from({ length: 50 }, () => store.read(['a'], signal)));
  expect(service.faults.total.read).toBeLessThan(20);
});

test('a missing object is distinguished from an unavailable store', async () => {
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

test('clients do not overload a service that recovers after an hour of outage', () => {
  const MEMBERS = 8;
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
  const limiters = Array.from(
    { length: MEMBERS },
    (_, seed) => new CallLimiter(settings, new SeededRandom(seed)),
  );
  let duringOutage = 0;
  const arrivals: Millis[] = [];
  for (let now = 0; now < HOUR_MS + 10_000; now += STEP_MS) {
    const down = now < HOUR_MS;
    for (const limiter of limiters) {
      for (let caller = 0; caller < CALLERS_PER_STEP; caller++) {
        const admission = limiter.admit(now);
        if (admission.type === 'go') {
          duringOutage += down ? 1 : 0;
          arrivals.push(now + admission.delayMs);
          if (down) {
            limiter.failed(now, now);
          } else {
            limiter.succeeded();
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
  // The service handles 2,000 reads per second.
  expect(Math.max(...buckets.values())).toBeLessThanOrEqual(2_000);
  // On average one probe per member every 2.5 s; 2 s allows for the shorter backoffs at first.
  expect(duringOutage).toBeLessThan((MEMBERS * HOUR_MS) / 2_000);
});

async function expectSoon(check: () => Promise<boolean>): Promise<void> {
  const until = performance.now() + 5_000;
  while (performance.now() < until) {
    if (await check()) {
      return;
    }
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  throw new Error('condition not met within 5 s');
}
