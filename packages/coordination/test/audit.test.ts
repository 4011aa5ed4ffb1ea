import { expect, test } from '@jest/globals';
import { ManualClock } from '@turmerichoist/core';
import {
  AuditExporter,
  EXPORTED_KEY,
  LOG_PREFIX,
  MemoryTableStore,
  REFUSED_PREFIX,
  RefusalRecorder,
  SNAPSHOT_INTERVAL_REVISIONS,
  queryAudit,
  type Holding,
  type JsonValue,
  type ObjectStore,
  type TableStore,
  type Transaction,
} from '@turmerichoist/coordination';
import { silentLogger } from '@turmerichoist/runtime';
import { createConfigActors, team } from './support/config-actors.js';
import { MemoryObjectStore } from './support/memory-object-store.js';

const { signal } = new AbortController();
const context = { log: silentLogger, signal };
const ROLE_KEY = 'owner/audit';

/** Simulates a crash: after `remainingCommits` transactions no further one arrives. */
class CrashingStore extends MemoryTableStore {
  remainingCommits = Infinity;

  override commit(txn: Transaction, callSignal: AbortSignal) {
    this.remainingCommits -= 1;
    this.setFaults({ down: this.remainingCommits < 0 });
    const outcome = super.commit(txn, callSignal);
    this.setFaults({ down: false });
    return outcome;
  }
}

function setUp() {
  const store = new CrashingStore();
  const objects = new MemoryObjectStore();
  const clock = new ManualClock();
  const entry = createConfigActors('m', store, objects, clock, signal);
  let ids = 0;
  const newId = (): string => `x-${(ids += 1)}`;
  const write = (key: string, value: JsonValue): void => {
    store.state.commit({ txnId: 't', conditions: [], writes: [{ key, value }] });
  };
  write(ROLE_KEY, { member: 'm', incarnation: 'i', epoch: 1, released: false });
  const holding: Holding = { role: 'audit', epoch: 1, version: 1 };
  const exporter = (tableStore: TableStore = store, objectStore: ObjectStore = objects) =>
    new AuditExporter(
      {
        store: tableStore,
        objects: objectStore,
        newId,
        refresh: () => entry.replica.refresh(),
        holding: () => holding,
      },
      context,
    );
  const recorder = new RefusalRecorder({ memberId: 'm', store, newId }, context);
  return { store, objects, clock, entry, exporter, recorder, write };
}

async function run(exporter: AuditExporter): Promise<void> {
  exporter.post({ type: 'tick' });
  await exporter.idle();
}

/** Ten accepted changes by ann and one refused one by bob. */
async function fill(world: ReturnType<typeof setUp>): Promise<void> {
  for (let requests = 1; requests <= 10; requests++) {
    world.clock.advance(1_000);
    const name = requests % 2 === 0 ? 'even' : 'odd';
    await world.entry.writer.apply([team(name, requests)], 'ann', false, signal);
  }
  await world.entry.writer.apply([team('odd', 99, 1)], 'bob', false, signal);
  world.entry.refused.forEach((record) => world.recorder.post({ type: 'refused', record }));
  world.recorder.post({ type: 'flush' });
  await world.recorder.idle();
}

test('a crash at any point between export and trim loses no record', async () => {
  for (let steps = 0; steps <= 4; steps++) {
    const world = setUp();
    await fill(world);
    world.store.remainingCommits = steps;
    await run(world.exporter());
    const found = await queryAudit(world.store, world.objects, {}, signal);
    expect(found.unwrap()).toHaveLength(11);
    world.store.remainingCommits = Infinity;
    await run(world.exporter());
    const after = await queryAudit(world.store, world.objects, {}, signal);
    expect(after.unwrap()).toEqual(found.unwrap());
    expect(world.store.state.range(LOG_PREFIX, '', 99)).toEqual([]);
    expect(world.store.state.range(REFUSED_PREFIX, '', 99)).toEqual([]);
  }
});

test('a truncated upload is not followed by a trim', async () => {
  const world = setUp();
  await fill(world);
  const { objects } = world;
  const cutting: ObjectStore = {
    put: (name, bytes) => objects.put(name, bytes.subarray(0, bytes.length >>> 1)),
    get: (name) => objects.get(name),
    remove: (name) => objects.remove(name),
    list: (prefix) => objects.list(prefix),
  };
  await run(world.exporter(world.store, cutting));
  expect(world.store.state.range(LOG_PREFIX, '', 99)).toHaveLength(10);
  expect(world.store.state.read([EXPORTED_KEY])).toEqual([]);
});

test('refusals stay in the table when their upload was truncated', async () => {
  const world = setUp();
  await fill(world);
  const { objects } = world;
  const cutting: ObjectStore = {
    put: (name, bytes) =>
      objects.put(name, name.includes('refused') ? bytes.subarray(0, 5) : bytes),
    get: (name) => objects.get(name),
    remove: (name) => objects.remove(name),
    list: (prefix) => objects.list(prefix),
  };
  await run(world.exporter(world.store, cutting));
  expect(world.store.state.range(REFUSED_PREFIX, '', 99)).toHaveLength(1);
});

test('log rows newer than the newest readable snapshot are kept', async () => {
  const world = setUp();
  await fill(world);
  await run(world.exporter());
  await world.entry.writer.apply([team('late', 1)], 'ann', false, signal);
  await run(world.exporter());
  expect(SNAPSHOT_INTERVAL_REVISIONS).toBeGreaterThan(1);
  expect(world.store.state.range(LOG_PREFIX, '', 99)).toHaveLength(1);
  const late = createConfigActors('n', world.store, world.objects, world.clock, signal);
  await late.replica.refresh();
  expect(late.replica.cfg.all()).toEqual(world.entry.replica.cfg.all());
});

test('an exporter that lost its role while paused deletes nothing', async () => {
  const world = setUp();
  await fill(world);
  world.write(ROLE_KEY, { member: 'n', incarnation: 'j', epoch: 2, released: false });
  await run(world.exporter());
  expect(world.store.state.range(LOG_PREFIX, '', 99)).toHaveLength(10);
});

test('audit records can be queried by actor, team, resource and time, refusals with their reason', async () => {
  const world = setUp();
  await fill(world);
  await run(world.exporter());
  const find = async (query: Parameters<typeof queryAudit>[2]) =>
    (await queryAudit(world.store, world.objects, query, signal)).unwrap();
  const [refusal] = await find({ actor: 'bob' });
  expect([refusal?.outcome, refusal?.reason]).toEqual([
    'refused',
    'version-conflict: team/odd has version 9',
  ]);
  expect(await find({ team: 'even' })).toHaveLength(5);
  expect(await find({ resource: { kind: 'team', name: 'odd' } })).toHaveLength(6);
  expect(await find({ fromMs: 2_000, toMs: 4_000 })).toHaveLength(3);
});
