import { afterEach, expect, test } from '@jest/globals';
import { SmallFleet, until, type FleetEntry } from './small-fleet.js';
import { pause } from './support.js';

/** Stated target for a change to be in force everywhere. */
const IN_FORCE_MS = 10_000;

let fleet: SmallFleet | undefined;

afterEach(async () => {
  await fleet?.close();
  fleet = undefined;
});

async function start(entries: number, limit = 64, workMs = 5): Promise<[SmallFleet, FleetEntry[]]> {
  fleet = await SmallFleet.start(entries, 2, workMs);
  const [first] = fleet.entries;
  if (first === undefined) {
    throw new Error('no entry');
  }
  expect(await fleet.apply(first, fleet.documents(limit))).toMatchObject({ status: 200 });
  await fleet.served();
  await fleet.settled();
  return [fleet, fleet.entries];
}

function second(entries: readonly FleetEntry[]): readonly [FleetEntry, FleetEntry] {
  return entries as unknown as readonly [FleetEntry, FleetEntry];
}

test('a withdrawn key stops working at every entry within seconds', async () => {
  const [system, entries] = await start(2);
  const [a, b] = second(entries);
  await system.apply(a, system.documents(64, true));
  for (const at of [a, b]) {
    await until('refusal', IN_FORCE_MS, async () => (await system.call(at)).status === 403);
  }
}, 60_000);

test('a withdrawn key stops at an entry that cannot read the store, while its peer can', async () => {
  const [system, entries] = await start(2);
  const [a, b] = second(entries);
  b.table.faults.set({ down: true });
  await system.apply(a, system.documents(64, true));
  let last = { status: 0, outcome: '' };
  await until('refusal', IN_FORCE_MS, async () => {
    last = await system.call(b);
    return last.status !== 200;
  });
  expect([503, 504]).toContain(last.status);
  expect(last.outcome).toBe('not-run');
}, 60_000);

test('with the store down for everyone, requests go on and changes are refused', async () => {
  const [system, entries] = await start(2);
  const [a, b] = second(entries);
  // Units follow demand, so an idle team has none to go on with.
  await system.served();
  for (const { table } of entries) {
    table.faults.set({ down: true });
  }
  const end = performance.now() + 14_000;
  const statuses = new Set<number>();
  while (performance.now() < end) {
    for (const at of [a, b]) {
      statuses.add((await system.call(at)).status);
    }
    await pause(100);
  }
  const change = await system.apply(a, system.documents(32));
  expect([...statuses]).toEqual([200]);
  expect(change.status).toBe(503);
  for (const { table } of entries) {
    table.faults.clear();
  }
  await until('change', 15_000, async () => {
    return (await system.apply(a, system.documents(32))).status === 200;
  });
}, 90_000);

test('a member that dies in an outage and leaves the list does not stop the others', async () => {
  const [system, entries] = await start(3);
  const [a, b, c] = entries as [FleetEntry, FleetEntry, FleetEntry];
  await system.served();
  for (const { table } of entries) {
    table.faults.set({ down: true });
  }
  await pause(3_000);
  await c.entry.abort();
  system.unlist(c.name);
  const end = performance.now() + 12_000;
  const statuses = new Set<number>();
  while (performance.now() < end) {
    for (const at of [a, b]) {
      statuses.add((await system.call(at)).status);
    }
    await pause(100);
  }
  expect([...statuses]).toEqual([200]);
}, 90_000);

test('an entry cut off from the store and from its peers refuses keyed work as not run', async () => {
  const [system, entries] = await start(2);
  const [a, b] = second(entries);
  b.table.faults.set({ down: true });
  await a.entry.abort();
  let last = { status: 0, outcome: '' };
  await until('refusal', IN_FORCE_MS, async () => {
    last = await system.call(b);
    return last.status !== 200;
  });
  // Work that arrives while the units have lapsed and the configuration has not waits until its
  // deadline; both refusals promise that it did not run.
  expect([503, 504]).toContain(last.status);
  expect(last.outcome).toBe('not-run');
  expect(b.entry.ready).toBe(false);
}, 60_000);

test('a team never runs more than its limit over all entries and upstreams', async () => {
  const limit = 5;
  const [system, entries] = await start(3, limit, 30);
  const end = performance.now() + 4_000;
  let answered = 0;
  const caller = async (at: FleetEntry): Promise<void> => {
    while (performance.now() < end) {
      answered += (await system.call(at)).status === 200 ? 1 : 0;
    }
  };
  let peak = 0;
  const watch = setInterval(() => {
    const running = system.upstreams.reduce((sum, upstream) => sum + upstream.running, 0);
    peak = Math.max(peak, running);
  }, 1);
  await Promise.all(entries.flatMap((at) => Array.from({ length: 6 }, () => caller(at))));
  clearInterval(watch);
  expect(peak).toBeLessThanOrEqual(limit);
  expect(answered).toBeGreaterThan(0);
}, 60_000);

test('an upstream that the platform lists as leaving gets no new work after a few seconds', async () => {
  const [system, entries] = await start(1);
  const [at] = entries;
  const [leaving] = system.upstreams;
  if (at === undefined || leaving === undefined) {
    throw new Error('no entry or upstream');
  }
  system.list('up-0', leaving.address, 'leaving');
  await pause(3_000);
  const before = leaving.runs.length;
  for (let i = 0; i < 30; i += 1) {
    expect((await system.call(at)).status).toBe(200);
  }
  expect(leaving.runs.length).toBe(before);
}, 60_000);

test('after the death of an entry the others own its pools within 15 s', async () => {
  const [system, entries] = await start(3);
  await until('owner', 10_000, () =>
    Promise.resolve(entries.some(({ entry }) => entry.owns('web'))),
  );
  const owner = entries.find(({ entry }) => entry.owns('web'));
  const survivor = entries.find((at) => at !== owner);
  expect(owner).toBeDefined();
  await owner?.entry.abort();
  await until('next owner', 15_000, () =>
    Promise.resolve(entries.some((at) => at !== owner && at.entry.owns('web'))),
  );
  expect(survivor === undefined ? 0 : (await system.call(survivor)).status).toBe(200);
}, 60_000);
