import { afterEach, beforeEach, expect, test } from '@jest/globals';
import { Ok } from '@turmerichoist/core';
import { SystemClock, silentLogger, sleep } from '@turmerichoist/runtime';
import {
  MemberDirectory,
  MemoryTableStore,
  TableState,
  type ChangeFeed,
  type TableStore,
} from '../src/index.js';
import { waitUntil } from './peers-support.js';

// Each test is named after the failure that it guards against.

const FEED_CHECK_MS = 20;

let controller: AbortController;
let state: TableState;
let ids = 0;

/** Store of one member, whose feed returns all rows of a table again and again. */
class FollowedStore extends MemoryTableStore implements TableStore, ChangeFeed {
  snapshot: ChangeFeed['snapshot'] = (table) =>
    Promise.resolve(Ok({ rows: this.state.range(`${table}/`, '', 100), position: 1 }));

  changes: ChangeFeed['changes'] = async (table, _position, _waitMs, signal) => {
    await sleep(FEED_CHECK_MS, signal);
    return this.snapshot(table, signal);
  };
}

function openDirectory(member: string, store = new FollowedStore(state)): MemberDirectory {
  return new MemberDirectory({
    self: { member, address: `${member}:1`, zone: 'z', capacity: 1 },
    store,
    clock: new SystemClock(),
    newId: () => `txn-${(ids += 1)}`,
    newSecret: () => `secret of ${member}`,
    log: silentLogger,
    signal: controller.signal,
  });
}

beforeEach(() => {
  controller = new AbortController();
  state = new TableState();
});

afterEach(() => {
  controller.abort();
});

test('members that start together have different secrets', async () => {
  const secrets = await Promise.all(['a', 'b', 'c'].map((id) => openDirectory(id).secret()));
  expect(new Set(secrets.map((secret) => Buffer.from(secret ?? []).toString())).size).toBe(1);
});

test('a member that starts while the store is away never becomes known', async () => {
  const store = new FollowedStore(state);
  store.setFaults({ down: true });
  const announced = openDirectory('a', store).announce();
  await sleep(50, controller.signal);
  store.setFaults({ down: false });
  await announced;
  const other = openDirectory('b');
  void other.watch();
  await waitUntil(() => other.members.length === 1, 1_000);
  expect(other.members).toEqual([{ member: 'a', address: 'a:1', zone: 'z', capacity: 1 }]);
});

test('a row that is not of this version hides those of other members', async () => {
  const writes = [
    { key: 'members/odd', value: { address: 7 } },
    { key: 'members/ok', value: { address: 'ok:1', zone: 'z', capacity: 0.5, more: true } },
  ];
  state.commit({ txnId: '', conditions: [], writes });
  const directory = openDirectory('a');
  void directory.watch();
  await waitUntil(() => directory.members.length > 0, 1_000);
  expect(directory.members.map(({ member }) => member)).toEqual(['ok']);
});
