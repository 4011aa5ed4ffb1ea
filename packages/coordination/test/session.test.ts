import { expect, test } from '@jest/globals';
import fc from 'fast-check';
import { ManualClock } from '@turmerichoist/core';
import {
  MemoryTableStore,
  SessionManager,
  SessionLease,
  SessionObserver,
  type SessionEvent,
} from '@turmerichoist/coordination';
import { silentLogger } from '@turmerichoist/runtime';
import { RUNS, SEED } from './support/runs.js';

/** Clocks run at these rates; the fastest is 1% faster than the slowest. */
const rate = fc.constantFrom(1, 1.005, 1.01);
const INCARNATION = 'i';

interface Pending {
  readonly at: number;
  readonly run: () => void;
}

const NEVER: Pending = { at: Infinity, run: () => undefined };

test('no session is declared expired while its holder still considers it valid', () => {
  const step = fc.record({
    waitMs: fc.oneof(fc.integer({ min: 0, max: 4_000 }), fc.integer({ min: 0, max: 12_000 })),
    requestMs: fc.constantFrom(0, 0, 5, 900, 4_000),
    answerMs: fc.constantFrom(0, 0, 5, 900, 4_000, 9_000, Infinity),
  });
  const readMs = fc.constantFrom(0, 5, 900);
  const pollMs = fc.constantFrom(40, 990);
  fc.assert(
    fc.property(fc.array(step, { maxLength: 8 }), rate, rate, pollMs, readMs, (...drawn) => {
      const [steps, holderRate, seenRate, period, delay] = drawn;
      let now = 0;
      let version = 0;
      let pending: readonly Pending[] = [];
      const lease = new SessionLease(INCARNATION);
      const observer = new SessionObserver();
      const later = (ms: number, run: () => void): void => {
        pending = [...pending, { at: now + ms, run }];
      };
      const check = (): void => {
        if (lease.isValid(now * holderRate) && observer.hasExpired('m', INCARNATION)) {
          throw new Error(`expired at ${now}, valid until ${lease.validUntil / holderRate}`);
        }
      };
      const advance = (ms: number): void => {
        const until = now + ms;
        for (;;) {
          const next = pending.reduce((a, b) => (b.at < a.at ? b : a), NEVER);
          if (next.at > until) {
            break;
          }
          pending = pending.filter((entry) => entry !== next);
          now = next.at;
          next.run();
          check();
        }
        now = until;
        check();
      };
      const renew = (requestMs: number, answerMs: number): void => {
        const sentAt = now * holderRate;
        later(requestMs, () => {
          version += 1;
          later(answerMs, () => lease.recordRenewal(sentAt, now * holderRate));
        });
      };
      const poll = (): void => {
        const sentAt = now * seenRate;
        later(delay, () => {
          const rows = [{ memberId: 'm', version, incarnation: INCARNATION }];
          later(delay, () => {
            observer.observe(rows, { sentAt, receivedAt: now * seenRate });
          });
        });
        later(period, poll);
      };
      renew(0, 0);
      advance(0);
      poll();
      for (const { waitMs, requestMs, answerMs } of steps) {
        advance(waitMs);
        renew(requestMs, answerMs);
      }
      advance(20_000);
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

test('no session is declared expired because of a store outage that affects all members', () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 100, max: 60_000 }),
      fc.integer({ min: 0, max: 1_999 }),
      fc.integer({ min: 0, max: 999 }),
      (outageMs, renewPhase, readPhase) => {
        const observer = new SessionObserver();
        const until = 10_000 + outageMs;
        const isDown = (now: number): boolean => now >= 10_000 && now < until;
        let version = 1;
        for (let now = 0; now < until + 20_000; now += 1) {
          if (!isDown(now) && now % 2_000 === renewPhase) {
            version += 1;
          }
          if (!isDown(now) && now % 1_000 === readPhase) {
            const row = { memberId: 'm', version, incarnation: INCARNATION };
            observer.observe([row], { sentAt: now, receivedAt: now });
            if (observer.live().length === 0) {
              throw new Error(`declared expired at ${now}`);
            }
          }
        }
      },
    ),
    { seed: SEED, numRuns: RUNS },
  );
});

test('the session of a replaced process expires only after the full expiry time', () => {
  const observer = new SessionObserver();
  const see = (at: number, version: number, incarnation: string): void => {
    observer.observe([{ memberId: 'm', version, incarnation }], { sentAt: at, receivedAt: at });
  };
  see(0, 1, 'old');
  see(1_000, 2, 'new');
  expect(observer.hasExpired('m', 'old')).toBe(false);
  for (let at = 2_000; at <= 11_000; at += 1_000) {
    see(at, at, 'new');
  }
  expect([observer.hasExpired('m', 'old'), observer.hasExpired('m', 'new')]).toEqual([true, false]);
});

test('a lease is measured from sending its renewal, and is never valid again after a lapse', () => {
  const lease = new SessionLease(INCARNATION);
  lease.recordRenewal(1_000, 4_000);
  expect([lease.isValid(8_999), lease.isValid(9_000)]).toEqual([true, false]);
  expect(lease.recordRenewal(8_500, 9_001)).toBe(false);
  expect(lease.isValid(9_002)).toBe(false);
});

test('a lease in its grace period allows requests only, and can still be renewed', () => {
  const lease = new SessionLease(INCARNATION);
  lease.recordRenewal(0, 0);
  lease.extendGracePeriod(12_000, 7_000);
  expect([lease.isValid(9_000), lease.requestsUntil]).toEqual([false, 12_000]);
  expect(lease.recordRenewal(11_000, 11_500)).toBe(true);
  lease.extendGracePeriod(40_000, 30_000);
  expect(lease.requestsUntil).toBe(19_000);
});

class Collector {
  events: readonly SessionEvent[] = [];
  post(event: SessionEvent): boolean {
    this.events = [...this.events, event];
    return true;
  }
}

function createManager(store: MemoryTableStore, clock: ManualClock) {
  const collector = new Collector();
  const { signal } = new AbortController();
  let ids = 0;
  const actor = new SessionManager(
    {
      memberId: 'm',
      address: '127.0.0.1:1',
      zone: 'z',
      store,
      clock,
      listeners: [collector],
      newId: () => `id-${(ids += 1)}`,
    },
    { log: silentLogger, signal },
  );
  const tick = async (ms: number): Promise<void> => {
    clock.advance(ms);
    actor.post({ type: 'tick' });
    await settle();
    await actor.idle();
  };
  return { actor, collector, tick };
}

async function settle(): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve));
}

test('a paused member rejoins as a new incarnation and reports both', async () => {
  const store = new MemoryTableStore();
  const { collector, tick } = createManager(store, new ManualClock());
  await tick(0);
  await tick(20_000);
  await tick(250);
  expect(collector.events.map(({ type, incarnation }) => [type, incarnation])).toEqual([
    ['session', 'id-1'],
    ['session-ended', 'id-1'],
    ['session', 'id-3'],
  ]);
});

test('a renewal with unknown outcome does not end an incarnation that still owns the row', async () => {
  const store = new MemoryTableStore();
  const { collector, tick } = createManager(store, new ManualClock());
  await tick(0);
  store.setFaults({ loseAnswers: 1 });
  await tick(2_000);
  await tick(250);
  expect(collector.events.map(({ type }) => type)).toEqual(['session', 'session']);
});

test('a stopped member leaves no row behind', async () => {
  const store = new MemoryTableStore();
  const { actor, tick } = createManager(store, new ManualClock());
  await tick(0);
  actor.post({ type: 'stop' });
  await actor.idle();
  expect(store.state.size).toBe(0);
});
