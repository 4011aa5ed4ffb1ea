import { beforeEach, describe, expect, test } from '@jest/globals';
import {
  MemoryTableStore,
  type LogEntry,
  type ReplicaView,
  type Row,
} from '@turmerichoist/coordination';
import {
  Configuration,
  EMPTY_BUDGET_ROW,
  ManualClock,
  Ok,
  parseDocuments,
  type FleetTransaction,
} from '@turmerichoist/core';
import { FleetRows } from '@turmerichoist/daemon';

const { signal } = new AbortController();
const OWNER_KEY = 'owner/pool/a';
const OWNER = { key: OWNER_KEY, version: 1 };
const REVISION = 1;

function smallFleet(): Configuration {
  const address = '10.0.0.1:9000';
  const place = { pool: 'spare', zone: 'z1', rack: 'r1', address };
  const pool = { size: 1, budget: { maxUnavailable: 1 } };
  const documents = parseDocuments([
    { kind: 'zone', name: 'z1', spec: { region: 'region-1' } },
    { kind: 'pool', name: 'a', spec: pool },
    { kind: 'pool', name: 'spare', spec: { ...pool, spare: true } },
    { kind: 'instance', name: 'i1', spec: { ...place, processors: 4, memoryMb: 1_024 } },
  ]).unwrap();
  const resources = documents.map((document) => ({ ...document, version: REVISION }));
  return Configuration.of(REVISION, resources as Parameters<typeof Configuration.of>[1]);
}

const MOVE: FleetTransaction = {
  id: 1,
  fence: { role: 'a', epoch: 1 },
  conditions: [{ key: 'budget/a', version: 0 }],
  writes: [{ kind: 'budget', name: 'a', value: EMPTY_BUDGET_ROW }],
  poolChanges: [{ instance: 'i1', version: REVISION, from: 'spare', to: 'a' }],
};

describe('a move of an instance', () => {
  let store: MemoryTableStore;
  let rows: FleetRows;
  let announced: number[];
  let nextId: number;

  beforeEach(async () => {
    store = new MemoryTableStore();
    announced = [];
    nextId = 0;
    const seeds = [
      { key: OWNER_KEY, value: {} },
      { key: 'config/head', value: { revision: REVISION } },
    ];
    await store.commit({ txnId: 'seed', conditions: [], writes: seeds }, signal);
    const view: ReplicaView = { cfg: smallFleet(), head: { revision: REVISION, version: 1 } };
    rows = new FleetRows({
      store,
      clock: new ManualClock(),
      newId: () => String(nextId++),
      refresh: () => Promise.resolve(Ok(view)),
      announce: (revision) => announced.push(revision),
    });
  });

  function stored(...keys: readonly string[]): readonly Row[] {
    return store.state.read(keys);
  }

  test('updates the budget and the configuration in one transaction, with an audit record', async () => {
    const written = (await rows.commit(MOVE, OWNER, signal)).unwrap();
    expect(written).toEqual([{ ...MOVE.writes[0], version: 1 }]);
    const [resource] = stored('config/res/instance/i1');
    expect(resource?.value).toMatchObject({ version: 2, spec: { pool: 'a' } });
    const entry = stored('config/log/000000000002')[0]?.value as unknown as LogEntry;
    expect(entry.audit).toMatchObject({ actor: 'system/fleet', outcome: 'accepted', revision: 2 });
    expect(announced).toEqual([2]);
  });

  test.each([
    ['the configuration changed', 'config/head'],
    ['another owner took over', OWNER_KEY],
    ['the budget changed', 'budget/a'],
  ])('writes neither budget nor configuration when %s', async (_, key) => {
    const writes = [{ key, value: { changed: true } }];
    await store.commit({ txnId: 'other', conditions: [], writes }, signal);
    const before = stored('budget/a', 'config/head', 'config/res/instance/i1');
    expect((await rows.commit(MOVE, OWNER, signal)).unwrap()).toBeUndefined();
    expect(stored('budget/a', 'config/head', 'config/res/instance/i1')).toEqual(before);
    expect(announced).toEqual([]);
  });

  test('with an unknown outcome is not reported as a conflict', async () => {
    store.setFaults({ loseAnswers: 1 });
    const lost = await rows.commit(MOVE, OWNER, signal);
    expect(lost.isErr() && lost.error.kind).toBe('outcome-unknown');
    // Repeating the transaction has no second effect, and the rows show that the first one committed.
    expect((await rows.commit(MOVE, OWNER, signal)).unwrap()).toBeUndefined();
    const read = (await rows.readFor(MOVE, signal)).unwrap();
    expect(read).toEqual([{ ...MOVE.writes[0], version: 1 }]);
  });
});
