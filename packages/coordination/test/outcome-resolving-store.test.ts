import { expect, test } from '@jest/globals';
import fc from 'fast-check';
import { OutcomeResolvingStore, TableState } from '@turmerichoist/coordination';
import { DelayingStore, type StoreFault } from './support/delaying-store.js';
import { RUNS, SEED } from './support/runs.js';

const { signal } = new AbortController();
/** Makes every random backoff zero, so that retries are immediate. */
const random = { next: () => 0, nextInt: () => 0 };

const fault = fc.constantFrom<StoreFault>(
  'none',
  'down',
  'lost-answer',
  'lost-request',
  'late',
  'doubled',
);

test('a transaction reported as committed took effect once, and any other never does', async () => {
  const step = fc.record({
    process: fc.nat({ max: 1 }),
    faults: fc.array(fault, { maxLength: 4 }),
    deliverAfter: fc.boolean(),
  });
  await fc.assert(
    fc.asyncProperty(fc.array(step, { maxLength: 8 }), async (steps) => {
      const state = new TableState();
      const store = new DelayingStore(state);
      // Two processes of the same member: the second is a restart of the first.
      const processes = [0, 1].map(
        () => new OutcomeResolvingStore({ store, memberId: 'm', random, logs: 1 }),
      );
      const reports: string[] = [];
      for (const [index, { process, faults, deliverAfter }] of steps.entries()) {
        store.injectFaults(faults);
        const txn = {
          txnId: `t${index}`,
          conditions: [],
          writes: [{ key: `row/${index}`, value: index }],
        };
        const result = await processes[process]?.commit(txn, signal);
        reports.push(result?.isOk() === true ? 'ok' : (result?.unwrapErr().kind ?? ''));
        store.clearFaults();
        if (deliverAfter) {
          store.deliverDelayed();
        }
      }
      store.deliverDelayed();
      const versions = steps.map((_, index) => state.read([`row/${index}`])[0]?.version ?? 0);
      expect(versions).toEqual(reports.map((report) => (report === 'ok' ? 1 : 0)));
      expect(reports).not.toContain('outcome-unknown');
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

test('a resolved commit does not report the version of a row that was overwritten since', async () => {
  const state = new TableState();
  const store = new DelayingStore(state);
  const writer = new OutcomeResolvingStore({ store, memberId: 'm', random });
  store.injectFaults(['none', 'lost-answer', 'down']);
  const outcome = writer.commit(
    { txnId: 't', conditions: [], writes: [{ key: 'owner/p', value: 'm' }] },
    signal,
  );
  await Promise.resolve();
  while (state.read(['owner/p']).length === 0) {
    await Promise.resolve();
  }
  state.commit({ txnId: 'u', conditions: [], writes: [{ key: 'owner/p', value: 'n' }] });
  expect((await outcome).unwrap()).toEqual({ committed: true, versions: {} });
});

test('an unknown outcome is reported as unknown while the store stays down', async () => {
  const store = new DelayingStore(new TableState());
  const writer = new OutcomeResolvingStore({ store, memberId: 'm', random, resolveTimeoutMs: 30 });
  store.injectFaults(['none', 'lost-answer', ...Array<StoreFault>(1_000_000).fill('down')]);
  const result = await writer.commit(
    { txnId: 't', conditions: [], writes: [{ key: 'a', value: 1 }] },
    signal,
  );
  expect(result.unwrapErr().kind).toBe('outcome-unknown');
});
