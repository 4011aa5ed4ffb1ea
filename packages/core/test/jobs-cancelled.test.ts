import { expect, test } from '@jest/globals';
import fc from 'fast-check';
import { executor, job, step } from './support/job-fixtures.js';
import { JobWorld } from './support/job-world.js';

// Each test is named after the failure that it guards against.

/** Calls that are under way when the cancellation arrives have been carried out and stopped by then. */
const SETTLE_MS = 3_000;
const SAMPLE_MS = 50;
const FAULTS = { answerLost: 0.1, late: 0.1, runFails: 0.1 };

function runningOf(world: JobWorld, id: string): readonly string[] {
  return [...world.executors.values()]
    .flatMap(({ runs }) => [...runs.keys()])
    .filter((key) => key.startsWith(`${id}.`));
}

test('a job starts tasks after its cancellation, also under the next leader', () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 0, max: 2 ** 30 }),
      fc.integer({ min: 0, max: 1_500 }),
      fc.option(fc.integer({ min: 0, max: 4_000 }), { nil: undefined }),
      (seed, cancelAt, killAfter) => {
        const world = new JobWorld([executor('e1'), executor('e2')], seed);
        world.faults = FAULTS;
        // Tasks of the first step wait for capacity; the second step waits for the first.
        const steps = [step({ taskCount: 40 }), step({ taskCount: 8, after: [0] })];
        world.submit(job('a', steps));
        world.submit(job('b', steps));
        world.run(cancelAt);
        world.cancel('a');
        world.run(Math.min(killAfter ?? SETTLE_MS, SETTLE_MS));
        if (killAfter !== undefined) {
          world.killOwner();
          // Until the next leader leads and knows what runs.
          world.run(8_000);
        }
        world.faults = { ...FAULTS, answerLost: 0, late: 0 };
        world.run(SETTLE_MS);
        for (let passed = 0; passed < 6_000; passed += SAMPLE_MS) {
          expect(runningOf(world, 'a')).toEqual([]);
          world.run(SAMPLE_MS);
        }
        expect(world.violations).toEqual([]);
      },
    ),
    { numRuns: 40 },
  );
});

test('a cancelled job starts the tasks that wait when capacity becomes free', () => {
  const world = new JobWorld([executor('e1')], 1);
  world.submit(job('b', [step({ taskCount: 8, estimateMs: 1_000 })]));
  world.run(200);
  world.submit(job('a', [step({ taskCount: 8 })]));
  world.run(100);
  world.cancel('a');
  for (let passed = 0; passed < 3_000; passed += SAMPLE_MS) {
    expect(runningOf(world, 'a')).toEqual([]);
    world.run(SAMPLE_MS);
  }
  expect(world.progress.get('b')?.state).toBe('completed');
});
