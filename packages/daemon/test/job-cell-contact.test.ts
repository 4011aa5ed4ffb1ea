import { afterEach, beforeEach, expect, test } from '@jest/globals';
import { CELL_LEASE_KEY, type ContactState } from '@turmerichoist/coordination';
import { sleep } from '@turmerichoist/runtime';
import type { JobCell } from '../src/jobs/job-cell.js';
import { startMember } from './support/job-cell-fixture.js';
import { PartedTables } from './support/parted-tables.js';

// Each test is named after the failure that it guards against.

let controller: AbortController;
let tables: PartedTables;
let cell: JobCell;

beforeEach(async () => {
  controller = new AbortController();
  tables = new PartedTables();
  cell = startMember('a', tables, controller.signal);
  await cell.idle();
});

afterEach(() => {
  controller.abort();
});

async function observe(...states: readonly ContactState[]): Promise<void> {
  for (const state of states) {
    cell.post({ type: 'contact', state });
  }
  await cell.idle();
}

test('the load balancer keeps sending callers to an entry that has lost the store', async () => {
  expect(cell.ready).toBe(true);
  await observe('silent', 'lost');
  expect(cell.ready).toBe(false);
  expect(cell.keepsCallers).toBe(false);
});

test('an entry leaves the rotation because of a short hiccup of the store', async () => {
  await observe('silent');
  expect(cell.ready).toBe(true);
  expect(cell.keepsCallers).toBe(true);
});

test('an entry stays out of the rotation although the store answers again', async () => {
  await observe('silent', 'lost', 'in-touch');
  expect(cell.ready).toBe(true);
  expect(cell.keepsCallers).toBe(true);
});

test('the lease of a leader waits for its next renewal although the former route failed', async () => {
  const renewals = () =>
    tables.commits.filter(({ txn }) => txn.writes.some(({ key }) => key === CELL_LEASE_KEY)).length;
  while (renewals() === 0) {
    await sleep(5, controller.signal);
  }
  // Within this time, the timer adds one renewal at most.
  const before = renewals();
  for (let changes = 0; changes < 3; changes += 1) {
    cell.post({ type: 'route', route: 'relayed' });
    await cell.idle();
    await sleep(20, controller.signal);
  }
  expect(renewals() - before).toBeGreaterThanOrEqual(3);
});
