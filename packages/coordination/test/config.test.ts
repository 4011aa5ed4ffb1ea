import { expect, test } from '@jest/globals';
import fc from 'fast-check';
import { Configuration, ManualClock } from '@turmerichoist/core';
import {
  LOG_PREFIX,
  MemoryTableStore,
  ReplicaState,
  TableState,
  decodeLogEntry,
  decodeSnapshot,
  encodeSnapshot,
  snapshotName,
  type LogEntry,
} from '@turmerichoist/coordination';
import { createConfigActors, team } from './support/config-actors.js';
import { DelayingStore, type StoreFault } from './support/delaying-store.js';
import { MemoryObjectStore } from './support/memory-object-store.js';
import { RUNS, SEED } from './support/runs.js';

const { signal } = new AbortController();
const clock = new ManualClock();
const fault = fc.constantFrom<StoreFault>('none', 'none', 'down', 'lost-answer', 'late', 'doubled');

function logOf(state: TableState): readonly LogEntry[] {
  return state.range(LOG_PREFIX, '', 10_000).map((row) => decodeLogEntry(row).unwrap());
}

test('accepted changes form a log without gaps, refused ones are not in it, replicas never go back', async () => {
  const change = fc.record({
    entry: fc.nat({ max: 2 }),
    name: fc.constantFrom('a', 'b'),
    requests: fc.nat({ max: 3 }),
    version: fc.option(fc.nat({ max: 3 }), { nil: undefined }),
  });
  const step = fc.record({
    together: fc.array(change, { minLength: 1, maxLength: 3 }),
    faults: fc.array(fault, { maxLength: 12 }),
    deliver: fc.boolean(),
  });
  await fc.assert(
    fc.asyncProperty(fc.array(step, { maxLength: 5 }), async (steps) => {
      const state = new TableState();
      const stores = [0, 1, 2].map(() => new DelayingStore(state));
      const entries = stores.map((store, index) =>
        createConfigActors(`m${index}`, store, new MemoryObjectStore(), clock, signal),
      );
      const accepted: number[] = [];
      for (const { together, faults, deliver } of steps) {
        stores.forEach((store, index) => {
          store.injectFaults(faults.slice(index * 4, index * 4 + 4));
        });
        const results = await Promise.all(
          together.flatMap(({ entry, name, requests, version }) => {
            const writer = entries[entry]?.writer;
            const documents = [team(name, requests, version)];
            return writer === undefined ? [] : [writer.apply(documents, 'op', false, signal)];
          }),
        );
        results.forEach((result) => {
          if (result.isOk() && result.value.changes.length > 0) {
            accepted.push(result.value.revision);
          }
        });
        stores.forEach((store) => {
          store.clearFaults();
          if (deliver) {
            store.deliverDelayed();
          }
        });
      }
      stores.forEach((store) => {
        store.deliverDelayed();
      });
      const log = logOf(state);
      expect(log.map(({ revision }) => revision)).toEqual(log.map((_, index) => index + 1));
      expect(accepted.toSorted((a, b) => a - b)).toEqual(log.map(({ revision }) => revision));
      for (const { replica, revisions } of entries) {
        await replica.refresh();
        expect(replica.cfg.revision).toBe(log.length);
        expect(revisions).toEqual(revisions.toSorted((a, b) => a - b));
        const replayed = log.reduce(
          (cfg, e) => cfg.with(e.revision, e.changes),
          Configuration.empty,
        );
        expect(replica.cfg.all()).toEqual(replayed.all());
      }
      expect(accepted.every((revision) => expectedVersionHeld(log, revision))).toBe(true);
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

/** Whether the `from` specs in an entry's audit record match the entries before it. */
function expectedVersionHeld(log: readonly LogEntry[], revision: number): boolean {
  const before = log
    .filter((entry) => entry.revision < revision)
    .reduce((cfg, entry) => cfg.with(entry.revision, entry.changes), Configuration.empty);
  const entry = log.find((candidate) => candidate.revision === revision);
  return (entry?.audit.differences ?? []).every(
    ({ name, from }) => JSON.stringify(before.spec('team', name) ?? null) === JSON.stringify(from),
  );
}

test('a change that expects an outdated version is refused, and the refusal is recorded', async () => {
  const store = new MemoryTableStore();
  const { writer, refused } = createConfigActors(
    'm',
    store,
    new MemoryObjectStore(),
    clock,
    signal,
  );
  await writer.apply([team('a', 1, 0)], 'ann', false, signal);
  const late = await writer.apply([team('a', 2, 0)], 'bob', false, signal);
  expect(late.unwrapErr().kind).toBe('version-conflict');
  expect(refused.map(({ actor, outcome, reason }) => [actor, outcome, reason])).toEqual([
    ['bob', 'refused', 'version-conflict: team/a has version 1'],
  ]);
});

test('a change with a dangling reference is refused as a whole', async () => {
  const store = new MemoryTableStore();
  const { writer } = createConfigActors('m', store, new MemoryObjectStore(), clock, signal);
  const queue = { kind: 'queue', name: 'q', spec: { pool: 'absent' } };
  const result = await writer.apply([team('a', 1), queue], 'ann', false, signal);
  expect([result.unwrapErr().kind, store.state.size]).toEqual(['bad-document', 0]);
});

test('a dry run and a change without effect write nothing', async () => {
  const store = new MemoryTableStore();
  const { writer } = createConfigActors('m', store, new MemoryObjectStore(), clock, signal);
  const dry = await writer.apply([team('a', 1)], 'ann', true, signal);
  expect([dry.unwrap().revision, store.state.size]).toEqual([1, 0]);
  await writer.apply([team('a', 1)], 'ann', false, signal);
  const again = await writer.apply([team('a', 1)], 'ann', false, signal);
  expect(again.unwrap()).toEqual({ revision: 1, changes: [], dryRun: false });
});

test('a member without a valid session accepts no change', async () => {
  const store = new MemoryTableStore();
  const { writer } = createConfigActors('m', store, new MemoryObjectStore(), clock, signal);
  writer.post({ type: 'session-ended', incarnation: 'i' });
  const result = await writer.apply([team('a', 1)], 'ann', false, signal);
  expect([result.unwrapErr().kind, store.state.size]).toEqual(['session-lapsed', 0]);
});

test('a watcher that is older than the retained changes gets revision-gone', () => {
  const replica = new ReplicaState();
  replica.load(Configuration.of(7, []));
  expect(replica.changesAfter(6).unwrapErr().kind).toBe('revision-gone');
  expect(replica.changesAfter(7).unwrap()).toEqual([]);
});

test('a replica keeps polling after its first poll', async () => {
  const store = new MemoryTableStore();
  const { writer } = createConfigActors('m', store, new MemoryObjectStore(), clock, signal);
  const other = createConfigActors('n', store, new MemoryObjectStore(), clock, signal);
  for (let requests = 1; requests <= 3; requests++) {
    await writer.apply([team('a', requests)], 'ann', false, signal);
    other.replica.poll();
    await other.replica.idle();
  }
  expect(other.revisions).toEqual([1, 2, 3]);
});

test('a lower revision is never loaded', () => {
  const replica = new ReplicaState();
  replica.load(Configuration.of(7, []));
  expect([replica.load(Configuration.of(6, [])), replica.revision]).toEqual([false, 7]);
});

test('a new member skips corrupt snapshots, and reads the rows if none is readable', async () => {
  const store = new MemoryTableStore();
  const objects = new MemoryObjectStore();
  const { writer, replica } = createConfigActors('m', store, objects, clock, signal);
  for (let requests = 1; requests <= 4; requests++) {
    await writer.apply([team('a', requests)], 'ann', false, signal);
    objects.objects.set(snapshotName(requests), encodeSnapshot(replica.cfg));
  }
  const keys = logOf(store.state)
    .slice(0, 3)
    .map((e) => `${LOG_PREFIX}00000000000${e.revision}`);
  const writes = keys.map((key) => ({ key, value: null }));
  store.state.commit({ txnId: 'trim', conditions: [], writes });
  const damaged = Buffer.from(encodeSnapshot(replica.cfg))
    .toString()
    .replace('"requests":4', '"requests":9');
  objects.objects.set(snapshotName(4), Buffer.from(damaged));
  objects.objects.set(snapshotName(5), encodeSnapshot(replica.cfg).subarray(0, 20));
  const first = createConfigActors('n', store, objects, clock, signal);
  await first.replica.refresh();
  expect([first.revisions, first.replica.cfg.all()]).toEqual([[3, 4], replica.cfg.all()]);
  objects.down = true;
  const second = createConfigActors('o', store, objects, clock, signal);
  await second.replica.refresh();
  expect([second.revisions, second.replica.cfg.all()]).toEqual([[4], replica.cfg.all()]);
});

test('a snapshot can be decoded, and the checksum detects a changed byte', () => {
  const resource = { kind: 'zone', name: 'z', spec: { region: 'r', state: 'in' }, version: 3 };
  const cfg = Configuration.of(3, [resource as never]);
  const bytes = encodeSnapshot(cfg);
  expect(decodeSnapshot(bytes).unwrap().all()).toEqual(cfg.all());
  fc.assert(
    fc.property(fc.nat({ max: bytes.length - 1 }), fc.integer({ min: 1, max: 127 }), (at, mask) => {
      const flipped = bytes.map((byte, index) => (index === at ? byte ^ mask : byte));
      const decoded = decodeSnapshot(flipped);
      expect(decoded.isErr() || decoded.value.all()).toEqual(decoded.isErr() || cfg.all());
    }),
    { seed: SEED, numRuns: RUNS },
  );
});
