import { describe, expect, test } from '@jest/globals';
import fc from 'fast-check';
import {
  Job,
  LeastWorkFirst,
  SeededRandom,
  TaskDurations,
  type JobId,
  type Millis,
} from '../src/index.js';
import { ReadyJobs } from '../src/jobs/ready-jobs.js';
import { job, POLICY, step } from './support/job-fixtures.js';

// Each test is named after the failure that it guards against.

const MAX_TASKS = 4;

/** Jobs that change at random, and the order in which a sort of all of them serves them. */
class ChangingJobs {
  readonly adopted = new Set<JobId>();
  readonly ready: ReadyJobs;
  readonly #order = new LeastWorkFirst(new TaskDurations());
  readonly #jobs: Job[] = [];
  readonly #random: SeededRandom;

  constructor(seed: number) {
    this.#random = new SeededRandom(seed);
    this.ready = new ReadyJobs(this.#order, (id) => this.adopted.has(id));
  }

  add(now: Millis): void {
    const id = `j${this.#jobs.length}`;
    const steps = [this.#step(), { ...this.#step(), after: [0] }];
    const spec = { ...job(id, steps).spec, occurrences: 1 + this.#draw(3), intervalMs: 400 };
    const policy = { ...POLICY, priority: this.#draw(2) };
    const accepted = { ...job(id, steps), team: `t${this.#draw(2)}`, policy, spec };
    const added = new Job(accepted, { acceptedAt: now, firstDueAt: now + this.#draw(300) }, 1);
    added.onChange = () => {
      this.ready.markChanged(added);
    };
    this.#jobs.push(added);
    this.ready.add(added);
  }

  /** Ends, cancels or requeues tasks of a job, or changes its policy. */
  change(now: Millis): void {
    const one = this.#jobs[this.#draw(this.#jobs.length)];
    const found = one?.ready(now)[0];
    if (one === undefined || found === undefined) {
      return;
    }
    const [index = 0] = found.step.pending;
    const task = { jobId: one.id, occurrence: found.occurrence, step: found.number, index };
    switch (this.#draw(4)) {
      case 0:
        one.cancel(0);
        this.ready.remove(one);
        return;
      case 1:
        one.policy = { ...one.policy, priority: this.#draw(3) };
        this.ready.markAllChanged();
        return;
      case 2:
        found.step.markAssigned(index);
        found.step.requeue(index);
        return;
      default:
        one.recordTaskDone(task, 0);
        if (!one.open) {
          this.ready.remove(one);
        }
    }
  }

  /** Ids in the order of a sort of all jobs with tasks to start. */
  sorted(now: Millis): readonly JobId[] {
    return this.#jobs
      .filter((one) => one.ready(now).length > 0)
      .map((one) => this.#order.rank(one, now))
      .map((ranked, position) => ({ ranked, position }))
      .sort((a, b) => this.#order.compare(a.ranked, b.ranked) || a.position - b.position)
      .map(({ ranked }) => ranked.job.id);
  }

  /** Ids as taken, while the caller starts all tasks of some of the jobs. */
  taken(now: Millis): readonly JobId[] {
    const ids: JobId[] = [];
    for (const one of this.ready.take(now, () => true)) {
      ids.push(one.id);
      for (const { step: started } of one.ready(now)) {
        [...started.pending].forEach((index) => {
          started.markAssigned(index);
        });
      }
    }
    return ids;
  }

  requeueAll(): void {
    for (const { occurrences } of this.#jobs) {
      for (const { steps } of occurrences) {
        steps.forEach((one) => {
          for (let index = 0; index < one.spec.taskCount; index += 1) {
            one.requeue(index);
          }
        });
      }
    }
  }

  #step() {
    return step({
      taskCount: 1 + this.#draw(MAX_TASKS),
      estimateMs: 100 * (1 + this.#draw(5)),
      resources: { processors: 1 + this.#draw(2), memoryMb: 100, accelerators: 0 },
      lasting: this.#draw(8) === 0,
    });
  }

  #draw(below: number): number {
    return Math.floor(this.#random.next() * below);
  }
}

const action = fc.record({
  afterMs: fc.integer({ min: 0, max: 700 }),
  what: fc.constantFrom('add', 'add', 'change', 'take', 'adopt'),
});

describe('the ranking that is kept between rounds', () => {
  test('jobs are served in another order than that of a sort of all jobs', () => {
    fc.assert(
      fc.property(fc.array(action, { maxLength: 60 }), fc.nat(1e6), (actions, seed) => {
        const jobs = new ChangingJobs(seed);
        let now = 0;
        for (const { afterMs, what } of actions) {
          now += afterMs;
          if (what === 'add') {
            jobs.add(now);
          } else if (what === 'change') {
            jobs.change(now);
          } else if (what === 'adopt') {
            jobs.adopted.add(`j${seed % 10}`);
          } else {
            const expected = jobs.sorted(now);
            expect(jobs.taken(now)).toEqual(expected);
            jobs.requeueAll();
          }
        }
      }),
      { numRuns: 300, seed: 20261204 },
    );
  });

  test('a job that could not start is forgotten until it changes', () => {
    const jobs = new ChangingJobs(1);
    jobs.add(0);
    const ids = (): readonly JobId[] => [...jobs.ready.take(1_000, () => true)].map(({ id }) => id);
    expect([ids(), ids()]).toEqual([['j0'], ['j0']]);
  });

  test('a job of a group that can never start holds up the others', () => {
    const jobs = new ChangingJobs(1);
    Array.from({ length: 20 }, () => {
      jobs.add(0);
    });
    const small = [...jobs.ready.take(1_000, ({ needs }) => needs[0]?.resources.processors === 1)];
    const all = [...jobs.ready.take(1_000, () => true)];
    expect(small.length).toBeGreaterThan(0);
    expect(all.length).toBeGreaterThan(small.length);
  });
});
