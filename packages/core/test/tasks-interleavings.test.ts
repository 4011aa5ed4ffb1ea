import { test } from '@jest/globals';
import fc from 'fast-check';
import { allEnded, checkEnds, checkLimits, checkRuns, runsOf } from './support/task-checks.js';
import { Scenario, script } from './support/task-scenario.js';

const SEED = 20_261_204;
const RUNS = 1_000;
const TIMEOUT_MS = 300_000;

/** Steps until every task must have ended: several quarantines of a worker, one after the other. */
const SETTLE_STEPS = 10_000;
const STEPS_AT_ONCE = 100;

function settle(scenario: Scenario): void {
  for (let steps = 0; steps < SETTLE_STEPS && !allEnded(scenario); steps += STEPS_AT_ONCE) {
    scenario.world.run(STEPS_AT_ONCE);
  }
}

test(
  'no interleaving of faults starts a task twice, after its cancellation, in a zone that is out, or above a limit, and none loses one',
  () => {
    fc.assert(
      fc.property(script, ({ seed, steps }) => {
        const scenario = new Scenario(seed);
        scenario.world.run(25);
        for (const { what, wait } of steps) {
          scenario.apply(what);
          scenario.world.run(wait);
        }
        scenario.heal();
        settle(scenario);
        const runs = runsOf(scenario);
        checkRuns(scenario, runs);
        checkLimits(scenario, runs);
        checkEnds(scenario);
      }),
      { seed: SEED, numRuns: RUNS, endOnFailure: true },
    );
  },
  TIMEOUT_MS,
);
