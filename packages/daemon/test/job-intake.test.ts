import { afterEach, beforeEach, expect, test } from '@jest/globals';
import {
  MemoryTableStore,
  mergeSnapshots,
  type TableStore,
  type Write,
} from '@turmerichoist/coordination';
import { Ok, SeededRandom, fail } from '@turmerichoist/core';
import { SystemClock, silentLogger } from '@turmerichoist/runtime';
import { INTAKE_PARTS, INTAKE_PART_NAMES, JobIntake, intakePartOf } from '../src/jobs/intake.js';

// Each test is named after the failure that it guards against.

let controller: AbortController;
const clock = new SystemClock();

beforeEach(() => {
  controller = new AbortController();
});

afterEach(() => {
  controller.abort();
});

function jobId(n: number): string {
  return n.toString(16).padStart(16, '0');
}

function createIntake(openIntake: (part: string) => TableStore): JobIntake {
  let ids = 0;
  const newId = (): string => {
    ids += 1;
    return `txn-${ids}`;
  };
  return new JobIntake(
    { tables: { openIntake }, clock, random: new SeededRandom(1), newId },
    { log: silentLogger, signal: controller.signal },
  );
}

/** Accepts 800 jobs, so that each part gets some, while one part does not write. Returns the kinds of error by part. */
async function acceptWithBadPart(commit: TableStore['commit']): Promise<readonly Set<string>[]> {
  const bad = INTAKE_PART_NAMES[3];
  const intake = createIntake((part) => {
    const store = new MemoryTableStore();
    return {
      commit: (txn, signal) => (part === bad ? commit(txn, signal) : store.commit(txn, signal)),
      read: (keys, signal) => store.read(keys, signal),
      range: (prefix, after, limit, signal) => store.range(prefix, after, limit, signal),
    };
  });
  const outcomes = INTAKE_PART_NAMES.map(() => new Set<string>());
  const deadline = clock.now() + 300;
  await Promise.all(
    Array.from({ length: 800 }, async (_, n) => {
      const done = await intake.accept('jobs', jobId(n), { n }, deadline);
      outcomes[intakePartOf(jobId(n))]?.add(done.isOk() ? 'accepted' : done.error.kind);
    }),
  );
  return outcomes;
}

test('jobs of other parts fail because one part refuses writes', async () => {
  const outcomes = await acceptWithBadPart(() =>
    Promise.resolve(fail('store-unavailable', 'status 429')),
  );
  outcomes.forEach((kinds, part) => {
    expect([...kinds]).toEqual([part === 3 ? 'store-unavailable' : 'accepted']);
  });
});

test('jobs of other parts wait because one part does not answer', async () => {
  const outcomes = await acceptWithBadPart(() => new Promise<never>(() => undefined));
  outcomes.forEach((kinds, part) => {
    expect([...kinds]).toEqual([part === 3 ? 'outcome-unknown' : 'accepted']);
  });
});

test('most jobs fall into a few parts', () => {
  const counts = INTAKE_PART_NAMES.map(() => 0);
  const jobs = 8_000;
  for (let n = 0; n < jobs; n += 1) {
    const part = intakePartOf(jobId(n));
    counts[part] = (counts[part] ?? 0) + 1;
  }
  const fairShare = jobs / INTAKE_PARTS;
  expect(Math.max(...counts)).toBeLessThan(fairShare * 1.15);
  expect(Math.min(...counts)).toBeGreaterThan(fairShare * 0.85);
});

test('the part of a job differs between versions of the program', () => {
  // These rows are stored; another hash or number of parts would not find them.
  expect([0, 1, 2, 3].map((n) => intakePartOf(jobId(n)))).toEqual([2, 8, 10, 2]);
});

test('a job that the previous version has stored is unknown', async () => {
  const stores = new Map<string, MemoryTableStore>();
  const intake = createIntake((part) => {
    const store = new MemoryTableStore();
    stores.set(part, store);
    return store;
  });
  const key = `jobs/${jobId(1)}`;
  const write = { txnId: 't', conditions: [], writes: [{ key, value: 1 }] };
  await stores.get(INTAKE_PART_NAMES[0] ?? '')?.commit(write, controller.signal);
  const read = await intake.read('jobs', jobId(1), controller.signal);
  expect(read.isOk() && read.value.length).toBe(1);
});

test('a change made between the snapshots of two parts is missed', () => {
  const row = (key: string) => ({ key, version: 1, value: 1 });
  const merged = mergeSnapshots([
    { rows: [row('jobs/a')], position: 9 },
    { rows: [row('jobs/b')], position: 7 },
    { rows: [], position: 8 },
  ]);
  expect(merged).toEqual({ rows: [row('jobs/a'), row('jobs/b')], position: 7 });
});

test('a job that is too large for a row fails others that are handed in with it', async () => {
  const intake = createIntake(() => {
    const store = new MemoryTableStore();
    const isTooLarge = ({ value }: Write): boolean => JSON.stringify(value).length > 65_536;
    return {
      commit: (txn, signal) =>
        txn.writes.some(isTooLarge)
          ? Promise.resolve(fail('store-rejected', 'status 400'))
          : store.commit(txn, signal),
      read: (keys, signal) => store.read(keys, signal),
      range: (prefix, after, limit, signal) => store.range(prefix, after, limit, signal),
    };
  });
  const deadline = clock.now() + 300;
  const large = intake.accept('cancels', jobId(1), { payload: 'x'.repeat(65_536) }, deadline);
  const small = intake.accept('jobs', jobId(1), { payload: 'x' }, deadline);
  expect(await small).toEqual(Ok(undefined));
  expect((await large).unwrapErr().kind).toBe('body-too-large');
});
