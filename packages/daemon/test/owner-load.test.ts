import { expect, test } from '@jest/globals';
import { ManualClock, type CellPoolLoadView } from '@turmerichoist/core';
import { PromMetrics } from '@turmerichoist/runtime';
import { OwnerLoad } from '../src/jobs/owner-load.js';

// Each test is named after the failure that it guards against.

/** A view of pools with these numbers of teams below their share. */
function viewOf(counts: Readonly<Record<string, number>>): CellPoolLoadView {
  const view: Pick<CellPoolLoadView, 'describe' | 'teamsBelowShare'> = {
    describe: () => [],
    teamsBelowShare: () => new Map(Object.entries(counts)),
  };
  return view as CellPoolLoadView;
}

test('the gauge of teams below their share shows pools or terms that have ended', async () => {
  const metrics = new PromMetrics();
  const controller = new AbortController();
  const load = new OwnerLoad(new ManualClock(), metrics, controller.signal);
  const gauges = async (): Promise<readonly string[]> =>
    (await metrics.text()).split('\n').filter((line) => line.includes('{pool='));
  load.take(viewOf({ p1: 2, p2: 1 }));
  expect(await gauges()).toEqual([
    'turmerichoist_shares_teams_below{pool="p1"} 2',
    'turmerichoist_shares_teams_below{pool="p2"} 1',
  ]);
  load.take(viewOf({ p2: 3 }));
  expect(await gauges()).toContain('turmerichoist_shares_teams_below{pool="p1"} 0');
  controller.abort();
  expect(await gauges()).toEqual([
    'turmerichoist_shares_teams_below{pool="p1"} 0',
    'turmerichoist_shares_teams_below{pool="p2"} 0',
  ]);
});
