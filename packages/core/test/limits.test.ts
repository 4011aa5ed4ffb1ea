import { expect, test } from '@jest/globals';
import {
  ConnectionTable,
  MemoryBudget,
  checkJsonShape,
  listenerBounds,
  type JsonShapeLimits,
} from '@turmerichoist/core';

// Each test is named after the failure that it guards against.

const SHAPE: JsonShapeLimits = { maxDepth: 2, maxValues: 4 };

function shapeOf(text: string): string {
  const checked = checkJsonShape(new TextEncoder().encode(text), SHAPE);
  return checked.isOk() ? 'valid' : (checked.error.detail ?? '');
}

test('a body that makes progress is evicted for one that makes none', () => {
  const budget = new MemoryBudget({ capacityBytes: 110, reserveBytes: 10 });
  budget.receive(1, 40, 0);
  budget.receive(2, 40, 1);
  budget.receive(1, 50, 2);
  expect(budget.receive(3, 50, 3)).toEqual({ admitted: true, evicted: [2] });
  expect(budget.held).toEqual({ receiving: 100, complete: 0 });
});

test('a complete body is evicted', () => {
  const budget = new MemoryBudget({ capacityBytes: 110, reserveBytes: 10 });
  budget.receive(1, 50, 0);
  budget.complete(1, 100);
  budget.receive(2, 10, 1);
  expect(budget.receive(3, 10, 2)).toEqual({ admitted: true, evicted: [2] });
  expect(budget.receive(3, 20, 2)).toEqual({ admitted: false, evicted: [] });
  expect(budget.held).toEqual({ receiving: 0, complete: 100 });
});

test('a released body still counts', () => {
  const budget = new MemoryBudget({ capacityBytes: 100, reserveBytes: 0 });
  budget.complete(1, 100);
  budget.release(1);
  budget.release(1);
  expect(budget.held).toEqual({ receiving: 0, complete: 0 });
});

test('a body that is sent in very small pieces stays for ever', () => {
  const budget = new MemoryBudget({ capacityBytes: 100, reserveBytes: 0 });
  budget.receive(1, 1, 0);
  budget.receive(2, 1, 5);
  budget.receive(1, 1, 9);
  expect(budget.slow(4, 0)).toEqual([]);
  expect(budget.slow(6, 0)).toEqual([2]);
  expect(budget.slow(0, 1)).toEqual([1]);
});

test('a connection with a request that is served is closed for a new one', () => {
  const table = new ConnectionTable(3);
  [1, 2, 3].forEach((id) => table.open(id));
  table.busy(1);
  table.waiting(2);
  expect(table.open(4)).toEqual({ admitted: true, evicted: 3 });
  table.busy(4);
  expect(table.open(5)).toEqual({ admitted: true, evicted: 2 });
  table.busy(5);
  expect(table.open(6)).toEqual({ admitted: false, evicted: undefined });
  table.idle(1);
  expect(table.open(6)).toEqual({ admitted: true, evicted: 1 });
  expect(table.size).toBe(3);
});

test('a connection that has closed counts again when its request ends', () => {
  const table = new ConnectionTable(1);
  table.open(1);
  table.close(1);
  table.idle(1);
  expect(table.size).toBe(0);
});

test('brackets, commas and escapes within strings count', () => {
  expect(shapeOf('{"a":"[[[,,,,","b":"\\\\","c":"\\"[["}')).toBe('valid');
});

test('a deep or wide text is decoded', () => {
  expect(shapeOf('[[[]]]')).toBe('the body has more than 2 levels');
  expect(shapeOf('[1,2,3,4]')).toBe('the body has more than 4 values');
});

test('a small machine has no room for connections', () => {
  expect(listenerBounds({ memoryMb: 64, fileDescriptors: 256 })).toEqual({
    bodyBytes: 8 * 1_048_576,
    connections: 256,
  });
  expect(listenerBounds({ memoryMb: 250, fileDescriptors: 4_100 }).connections).toBe(1_040);
});
