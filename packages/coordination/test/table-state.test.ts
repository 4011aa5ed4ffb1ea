import { expect, test } from '@jest/globals';
import { TableState } from '@turmerichoist/coordination';

test('a version is not reused after a row was deleted and written again', () => {
  const table = new TableState();
  const write = (version: number, value: number | null) =>
    table.commit({
      txnId: 't',
      conditions: [{ key: 'a', version }],
      writes: [{ key: 'a', value }],
    });
  write(0, 1);
  write(1, null);
  write(0, 2);
  expect(write(1, 3)).toEqual({ committed: false, failed: ['a'] });
});

test('a transaction whose condition fails writes nothing', () => {
  const table = new TableState();
  table.commit({
    txnId: 't',
    conditions: [{ key: 'a', version: 7 }],
    writes: [{ key: 'b', value: 1 }],
  });
  expect(table.size).toBe(0);
});

test('a range starts after the given key and stays within its prefix', () => {
  const table = new TableState();
  const writes = ['p/1', 'p/2', 'p/3', 'q/1', 'o'].map((key) => ({ key, value: 1 }));
  table.commit({ txnId: 't', conditions: [], writes });
  const keys = (after: string, limit: number) =>
    table.range('p/', after, limit).map((row) => row.key);
  expect([keys('', 9), keys('p/1', 9), keys('', 1), keys('p/3', 9)]).toEqual([
    ['p/1', 'p/2', 'p/3'],
    ['p/2', 'p/3'],
    ['p/1'],
    [],
  ]);
});
