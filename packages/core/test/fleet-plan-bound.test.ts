import { expect, test } from '@jest/globals';
import {
  FleetView,
  lowerBound,
  type FleetInstance,
  type PlanDefinition,
} from '@turmerichoist/core';
import { configuration, instanceDocument } from './fleet-fixtures.js';

const POOL_COUNT = 200;
const NO_DURATIONS = { drainMs: 0, rebootMs: 0 };

const names = Array.from({ length: POOL_COUNT }, (_, index) => `p${index}`);
const zoneBudgets = [{ zone: 'z1', maxUnavailable: 0 }];
const view = new FleetView();
view.configure(
  configuration([
    ...names.map((name) => {
      return { kind: 'pool', name, spec: { size: 1, budget: { maxUnavailable: 1 }, zoneBudgets } };
    }),
    ...names.map((pool, index) => instanceDocument(index, pool, `r${index}`, 'z1')),
  ]),
);

function plan(instances: readonly FleetInstance[]): PlanDefinition {
  return {
    ...{ name: 'p', selection: '', instances, byRack: false, maxParallel: 1, window: undefined },
    ...{ state: 'running', declaredVersion: 1 },
  };
}

test('a plan over many pools does not look at all instances again for each pool', () => {
  let reads = 0;
  const counted = view.instances().map((instance) => ({
    ...instance,
    get spec() {
      reads += 1;
      return instance.spec;
    },
  }));
  expect(lowerBound(plan(counted), view, NO_DURATIONS, 0).impossible).toHaveLength(POOL_COUNT);
  expect(reads).toBeLessThanOrEqual(4 * POOL_COUNT);
});
