import { expect, test } from '@jest/globals';
import { ManualClock, SeededRandom } from '@turmerichoist/core';
import {
  ConfigReplica,
  MemoryTableStore,
  OutcomeResolvingStore,
} from '@turmerichoist/coordination';
import { silentLogger as log } from '@turmerichoist/runtime';
import { MemoryObjectStore } from './support/memory-object-store.js';

const clock = new ManualClock();
const random = new SeededRandom(1);
const objects = new MemoryObjectStore();

test('the README example runs as printed', async () => {
  const { signal } = new AbortController();
  const store = new OutcomeResolvingStore({
    store: new MemoryTableStore(),
    memberId: 'm1',
    random,
  });
  const replica = new ConfigReplica({ store, objects, clock, listeners: [] }, { log, signal });
  await replica.refresh();

  const txn = {
    txnId: 'change-1',
    conditions: [{ key: 'greeting', version: 0 }],
    writes: [{ key: 'greeting', value: 'hello' }],
  };
  const outcome = await store.commit(txn, signal);

  expect(replica.cfg.revision).toBe(0);
  expect(outcome.unwrap().committed).toBe(true);
});
