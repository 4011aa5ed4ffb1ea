import { expect, test } from '@jest/globals';
import fc from 'fast-check';
import type { AcceptedJob, StepSpec } from '../src/index.js';
import { executor, job, step } from './support/job-fixtures.js';
import { JobWorld } from './support/job-world.js';
import { NO_FAULTS } from './support/job-world-settings.js';

// Each test is named after the failure that it guards against.

const EXECUTORS = [executor('e1'), executor('e2')];
const processors = (count: number) => ({ processors: count, memoryMb: 0, accelerators: 0 });

function capped(cap: number): JobWorld {
  return new JobWorld(EXECUTORS, 1, { cap: processors(cap) });
}

function jobOf(id: string, size: number, over: Partial<StepSpec> = {}): AcceptedJob {
  return job(id, [step({ resources: processors(size), estimateMs: 1_000, ...over })]);
}

function stateOf(world: JobWorld, id: string): string | undefined {
  return world.progress.get(id)?.state;
}

test.each([
  ['the whole cap of its team', 4, 3],
  ['what its team has left of its cap', 3, 3],
])('a task that is larger than %s never starts', (_what, size, cap) => {
  const world = capped(cap);
  world.submit(jobOf('small', 1, { estimateMs: 60_000, lasting: true }));
  world.run(300);
  world.submit(jobOf('large', size, { taskCount: 2 }));
  world.run(8_000);
  expect(stateOf(world, 'large')).toBe('completed');
  expect(world.violations).toEqual([]);
});

test('a team that uses half of its cap or more exceeds it', () => {
  const world = capped(4);
  world.submit(jobOf('half', 2, { estimateMs: 2_000 }));
  world.run(300);
  world.submit(jobOf('more', 3, { estimateMs: 100 }));
  world.run(1_000);
  expect(stateOf(world, 'more')).toBeUndefined();
  world.run(4_000);
  expect(stateOf(world, 'more')).toBe('completed');
});

test('a gang of which only the last task exceeds the cap never starts', () => {
  const world = capped(3);
  world.submit(jobOf('gang', 2, { taskCount: 2, gang: true }));
  world.run(5_000);
  expect(stateOf(world, 'gang')).toBe('completed');
  expect(world.violations).toEqual([]);
});

test('a gang of which two tasks exceed the cap starts', () => {
  const world = capped(3);
  world.submit(jobOf('gang', 2, { taskCount: 3, gang: true }));
  world.run(5_000);
  expect(stateOf(world, 'gang')).toBeUndefined();
});

const submitted = fc.record({
  afterMs: fc.nat(1_000),
  size: fc.integer({ min: 1, max: 8 }),
  taskCount: fc.integer({ min: 1, max: 4 }),
});

test('jobs of any size wait for ever, or a team exceeds its cap by more than one task', () => {
  fc.assert(
    fc.property(
      fc.array(submitted, { minLength: 1, maxLength: 6 }),
      fc.integer({ min: 1, max: 10 }),
      fc.nat(6),
      fc.nat(1e6),
      (jobs, cap, killAt, seed) => {
        const world = new JobWorld(EXECUTORS, seed, { cap: processors(cap) });
        world.faults = { answerLost: 0.05, late: 0.02, runFails: 0.02 };
        jobs.forEach(({ afterMs, size, taskCount }, i) => {
          world.run(afterMs);
          world.submit(jobOf(`j${i}`, size, { taskCount }));
          if (i === killAt) {
            world.killOwner();
          }
        });
        world.faults = NO_FAULTS;
        world.run(60_000);
        expect(world.violations).toEqual([]);
        const states = jobs.map((_, i) => stateOf(world, `j${i}`));
        // `toEqual` would pass over undefined states.
        expect(states.filter((state) => state === undefined || state === 'running')).toHaveLength(
          0,
        );
      },
    ),
    { numRuns: Number(process.env.TURMERICHOIST_RUNS ?? 300), seed: 20261207 },
  );
});
