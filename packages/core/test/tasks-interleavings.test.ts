import { test } from '@jest/globals';
import fc from 'fast-check';
import {
  allEnded,
  checkEveryTaskEndsOnce,
  checkLimits,
  checkRuns,
  collectRuns,
} from './support/task-checks.js';
import { Scenario, scenarioScript } from './support/task-scenario.js';

const SEED = 20_261_204;
const NUM_RUNS = 1_000;
const TIMEOUT_MS = 300_000;

/** Steps within which every task must end; covers several successive quarantines of a worker. */
const SETTLE_STEPS = 10_000;
const SETTLE_CHUNK_STEPS = 100;

function settle(scenario: Scenario): void {
  for (let steps = 0; steps < SETTLE_STEPS && !allEnded(scenario); steps += SETTLE_CHUNK_STEPS) {
    scenario.simulation.run(SETTLE_CHUNK_STEPS);
  }
}

test(
  'under any interleaving of faults, no task runs twice, after its cancellation, in a zone that is out or above a limit, and none is lost',
  () => {
    fc.assert(
      fc.property(scenarioScript, ({ seed, steps }) => {
        const scenario = new Scenario(seed);
        scenario.simulation.run(25);
        for (const { what, wait } of steps) {
          scenario.apply(what);
          scenario.simulation.run(wait);
        }
        scenario.heal();
        settle(scenario);
        const runs = collectRuns(scenario);
        checkRuns(scenario, runs);
        checkLimits(scenario, runs);
        checkEveryTaskEndsOnce(scenario);
      }),
      { seed: SEED, numRuns: NUM_RUNS, endOnFailure: true },
    );
  },
  TIMEOUT_MS,
);
