import { afterEach, expect, test } from '@jest/globals';
import type { Millis } from '@turmerichoist/core';
import { TestFleet, waitUntil, type FleetEntry } from './test-fleet.js';
import { pause } from './support.js';

/** Documented limit for a change to be in force at every entry. */
const IN_FORCE_TARGET_MS = 10_000;

let fleet: TestFleet | undefined;

afterEach(async () => {
  await fleet?.close();
  fleet = undefined;
});

async function startFleet(
  entries: number,
  limit = 64,
  workMs = 5,
): Promise<[TestFleet, FleetEntry[]]> {
  fleet = await TestFleet.start(entries, 2, workMs);
  const [first] = fleet.entries;
  if (first === undefined) {
    throw new Error('the fleet has no entry');
  }
  expect(await fleet.apply(first, fleet.documents(limit))).toMatchObject({ status: 200 });
  await fleet.waitUntilServed();
  await fleet.waitUntilConfigInForce();
  return [fleet, fleet.entries];
}

function pairOf(entries: readonly FleetEntry[]): readonly [FleetEntry, FleetEntry] {
  return entries as unknown as readonly [FleetEntry, FleetEntry];
}

/** Calls an entry until it refuses, which must happen in time. */
async function callUntilRefused(
  system: TestFleet,
  at: FleetEntry,
): Promise<{ readonly status: number; readonly outcome: string }> {
  let last = { status: 0, outcome: '' };
  await waitUntil('a refusal', IN_FORCE_TARGET_MS, async () => {
    last = await system.call(at);
    return last.status !== 200;
  });
  return last;
}

/** The distinct status codes of the answers of the entries, which are called in turn. */
async function statusesDuring(
  ms: Millis,
  system: TestFleet,
  entries: readonly FleetEntry[],
): Promise<readonly number[]> {
  const end = performance.now() + ms;
  const statuses = new Set<number>();
  while (performance.now() < end) {
    for (const at of entries) {
      statuses.add((await system.call(at)).status);
    }
    await pause(100);
  }
  return [...statuses];
}

test('a withdrawn key is refused at every entry within 10 s', async () => {
  const [system, entries] = await startFleet(2);
  const [a, b] = pairOf(entries);
  await system.apply(a, system.documents(64, true));
  for (const at of [a, b]) {
    await waitUntil(
      'a refusal',
      IN_FORCE_TARGET_MS,
      async () => (await system.call(at)).status === 403,
    );
  }
}, 60_000);

test('a withdrawn key is refused at an entry that cannot read the store while its peer can', async () => {
  const [system, entries] = await startFleet(2);
  const [a, b] = pairOf(entries);
  b.table.faults.set({ down: true });
  await system.apply(a, system.documents(64, true));
  const refusal = await callUntilRefused(system, b);
  expect([503, 504]).toContain(refusal.status);
  expect(refusal.outcome).toBe('not-run');
}, 60_000);

test('while no entry reaches the store, requests are served and changes are refused', async () => {
  const [system, entries] = await startFleet(2);
  const [a, b] = pairOf(entries);
  // Quota grants follow demand, so an idle team would have none left during the outage.
  await system.waitUntilServed();
  for (const { table } of entries) {
    table.faults.set({ down: true });
  }
  const statuses = await statusesDuring(14_000, system, [a, b]);
  const change = await system.apply(a, system.documents(32));
  expect(statuses).toEqual([200]);
  expect(change.status).toBe(503);
  for (const { table } of entries) {
    table.faults.clear();
  }
  await waitUntil('an accepted change', 15_000, async () => {
    return (await system.apply(a, system.documents(32))).status === 200;
  });
}, 90_000);

test('a member that dies during an outage and is unlisted does not stop the others', async () => {
  const [system, entries] = await startFleet(3);
  const [a, b, c] = entries as [FleetEntry, FleetEntry, FleetEntry];
  await system.waitUntilServed();
  for (const { table } of entries) {
    table.faults.set({ down: true });
  }
  await pause(3_000);
  await c.entry.abort();
  system.removeFromInstanceList(c.name);
  const statuses = await statusesDuring(12_000, system, [a, b]);
  expect(statuses).toEqual([200]);
}, 90_000);

test('an entry without the store and without peers refuses requests with a key as not run', async () => {
  const [system, entries] = await startFleet(2);
  const [a, b] = pairOf(entries);
  b.table.faults.set({ down: true });
  await a.entry.abort();
  const refusal = await callUntilRefused(system, b);
  // Quota grants can expire before the configuration does. A request that arrives in between waits
  // until its deadline (504), a later one is refused at once (503). Neither may run.
  expect([503, 504]).toContain(refusal.status);
  expect(refusal.outcome).toBe('not-run');
  expect(b.entry.ready).toBe(false);
}, 60_000);

test('a team never exceeds its limit summed over all entries and upstreams', async () => {
  const limit = 5;
  const [system, entries] = await startFleet(3, limit, 30);
  const end = performance.now() + 4_000;
  let answered = 0;
  const caller = async (at: FleetEntry): Promise<void> => {
    while (performance.now() < end) {
      answered += (await system.call(at)).status === 200 ? 1 : 0;
    }
  };
  let peak = 0;
  const sampler = setInterval(() => {
    const running = system.upstreams.reduce((sum, upstream) => sum + upstream.running, 0);
    peak = Math.max(peak, running);
  }, 1);
  await Promise.all(entries.flatMap((at) => Array.from({ length: 6 }, () => caller(at))));
  clearInterval(sampler);
  expect(peak).toBeLessThanOrEqual(limit);
  expect(answered).toBeGreaterThan(0);
}, 60_000);

test('an upstream that is listed as leaving gets no new requests after 3 s', async () => {
  const [system, entries] = await startFleet(1);
  const [at] = entries;
  const [leaving] = system.upstreams;
  if (at === undefined || leaving === undefined) {
    throw new Error('the fleet has no entry or no upstream');
  }
  system.addToInstanceList('up-0', leaving.address, 'leaving');
  await pause(3_000);
  const before = leaving.handledRequests.length;
  for (let i = 0; i < 30; i += 1) {
    expect((await system.call(at)).status).toBe(200);
  }
  expect(leaving.handledRequests.length).toBe(before);
}, 60_000);

test('the pools of a crashed entry have a new owner within 15 s', async () => {
  const [system, entries] = await startFleet(3);
  await waitUntil('an owner', 10_000, () =>
    Promise.resolve(entries.some(({ entry }) => entry.owns('web'))),
  );
  const owner = entries.find(({ entry }) => entry.owns('web'));
  const survivor = entries.find((at) => at !== owner);
  expect(owner).toBeDefined();
  await owner?.entry.abort();
  await waitUntil('a new owner', 15_000, () =>
    Promise.resolve(entries.some((at) => at !== owner && at.entry.owns('web'))),
  );
  expect(survivor === undefined ? 0 : (await system.call(survivor)).status).toBe(200);
}, 60_000);
