import { describe, expect, test } from '@jest/globals';
import {
  ManualClock,
  type InstanceOrderOutcome,
  type JobDecision,
  type JobEvent,
  type PoolInstance,
} from '../src/index.js';
import { executor, job, step, newDecider } from './support/job-fixtures.js';

// Each test is named after the failure that it guards against.

const LASTING = step({ lasting: true, taskCount: 2, maxPerExecutor: 1, maxUnavailable: 1 });

/** Two executors on two instances of one wave, each with one lasting task that is ready. */
class MaintainedCell {
  readonly clock = new ManualClock(10_000);
  readonly decider = newDecider(this.clock);

  constructor(maxParallel: number, lasting = LASTING) {
    this.handle({ type: 'executors', executors: [executor('e1'), executor('e2')] });
    this.report('e1', -1);
    this.report('e2', -1);
    this.handle({ type: 'jobs', jobs: [{ accepted: job('j', [lasting]) }], adopted: false });
    this.report('e1', 0);
    this.report('e2', 1);
    this.list();
    const wave = { number: 1, instances: ['m1', 'm2'], maxParallel };
    this.handle({ type: 'waves', waves: [{ ...wave, begun: [], completed: false }] });
  }

  handle(event: JobEvent): readonly JobDecision[] {
    return this.decider.handle(event, this.clock.now());
  }

  /** Handles a report of one ready task of the job, or of none for -1. */
  report(id: string, index: number, attempt = 1): readonly JobDecision[] {
    this.clock.advance(1);
    const sentAt = this.clock.now();
    const task = { jobId: 'j', occurrence: 0, step: 0, index };
    const run = { task, attempt, checkpoint: '', percent: 100, gauge: 0 };
    const running = index < 0 ? [] : [run];
    const report = { executor: id, startedWallMs: 1, sentAt, running, ended: [] };
    return this.handle({ type: 'report', leaseEndsAt: sentAt + 5_000, report });
  }

  list(over: Partial<PoolInstance> = {}): readonly JobDecision[] {
    this.clock.advance(1);
    const capacity = { processors: 8, memoryMb: 8_000, accelerators: 0 };
    const place = { pool: 'p1', state: 'up', zone: 'z1', rack: 'r1', capacity } as const;
    const instances: readonly PoolInstance[] = [
      { ...place, name: 'm1', executor: 'e1', ...over },
      { ...place, name: 'm2', executor: 'e2' },
    ];
    return this.handle({ type: 'instances', instances, requestedAt: this.clock.now() });
  }

  /** Passes some time, without reports. Returns the instances whose maintenance is ordered then. */
  orders(ms = 100): readonly string[] {
    this.clock.advance(ms);
    return this.handle({ type: 'tick' }).flatMap((decision) =>
      decision.type === 'order' ? [decision.order.instance] : [],
    );
  }

  answer(instance: string, outcome: InstanceOrderOutcome): readonly JobDecision[] {
    const order = { type: 'maintain', instance, wave: 1 } as const;
    return this.handle({ type: 'order-answer', order, outcome });
  }

  done(instance: string): readonly JobDecision[] {
    return this.answer(instance, 'done');
  }
}

/** A wave over all instances of a pool whose executors run nothing. */
class IdleWave {
  readonly clock = new ManualClock(10_000);
  readonly decider = newDecider(this.clock);
  #names: readonly string[];
  readonly #down = new Set<string>();

  constructor(size: number, maxParallel: number) {
    this.#names = Array.from({ length: size }, (_, n) => `m${n}`);
    const executors = this.#names.map((name) => executor(`e-${name}`));
    this.handle({ type: 'executors', executors });
    this.list();
    const wave = { number: 1, instances: this.#names, maxParallel };
    this.handle({ type: 'waves', waves: [{ ...wave, begun: [], completed: false }] });
  }

  handle(event: JobEvent): readonly JobDecision[] {
    return this.decider.handle(event, this.clock.now());
  }

  list(): void {
    const capacity = { processors: 8, memoryMb: 8_000, accelerators: 0 };
    const instances = this.#names.map((name): PoolInstance => {
      const down = this.#down.has(name);
      const state = down ? 'maintenance' : 'up';
      const on = down ? undefined : `e-${name}`;
      return { name, pool: 'p1', state, zone: 'z1', rack: 'r1', capacity, executor: on };
    });
    this.handle({ type: 'instances', instances, requestedAt: this.clock.now() });
  }

  /** Passes 100 ms, in which the executors report that they run nothing. Returns what is ordered. */
  tick(): readonly string[] {
    this.clock.advance(100);
    const sentAt = this.clock.now();
    this.#names.forEach((name) => {
      const report = { executor: `e-${name}`, startedWallMs: 1, sentAt, running: [], ended: [] };
      this.handle({ type: 'report', leaseEndsAt: sentAt + 5_000, report });
    });
    return this.handle({ type: 'tick' }).flatMap((decision) =>
      decision.type === 'order' ? [decision.order.instance] : [],
    );
  }

  answer(instance: string, outcome: InstanceOrderOutcome): void {
    const order = { type: 'maintain', instance, wave: 1 } as const;
    this.handle({ type: 'order-answer', order, outcome });
  }

  /** The platform carries an order out, and its answer arrives, within one tick. */
  carryOut(instance: string): void {
    this.#down.add(instance);
    this.answer(instance, 'done');
  }

  /** Hands in a job with as many tasks, and returns the executors on which they start. */
  startedOn(taskCount: number): ReadonlySet<string> {
    const accepted = job('j', [step({ taskCount })]);
    const decisions = this.handle({ type: 'jobs', jobs: [{ accepted }], adopted: false });
    return new Set(
      decisions.flatMap((decision) => (decision.type === 'start' ? [decision.executor] : [])),
    );
  }

  /** An instance is removed, and the next list shows it. */
  remove(instance: string): void {
    this.#names = this.#names.filter((name) => name !== instance);
  }

  /** The instances that are down are up again, and a list shows it. */
  finish(): void {
    this.#down.clear();
    this.clock.advance(1);
    this.list();
  }
}

const starts = (decisions: readonly JobDecision[]): number =>
  decisions.filter(({ type }) => type === 'start').length;

describe('a maintenance wave', () => {
  test('takes down two tasks of a step with a budget of one', () => {
    const cell = new MaintainedCell(2);
    expect(cell.orders()).toEqual(['m1']);
    expect(cell.orders()).toEqual([]);
    cell.done('m1');
    expect(cell.orders()).toEqual([]);
  });

  test('counts tasks of an unresponsive executor as ready', () => {
    const cell = new MaintainedCell(1);
    cell.handle({ type: 'silent', executor: 'e2', leaseEndsAt: cell.clock.now() + 4_000 });
    expect(cell.orders()).not.toContain('m1');
    cell.clock.advance(3_000);
    cell.report('e1', 0);
    expect(cell.orders()).not.toContain('m1');
  });

  test('exceeds `maxParallel` when an earlier owner has taken down some instances', () => {
    const cell = new MaintainedCell(1);
    cell.list({ state: 'maintenance', executor: undefined });
    cell.report('e2', 1);
    expect(cell.orders()).toEqual([]);
  });

  test('starts tasks a second time when an earlier owner had already carried out the maintenance', () => {
    const cell = new MaintainedCell(2);
    cell.orders();
    expect(starts(cell.done('m1'))).toBe(0);
    expect(starts(cell.list())).toBe(0);
    expect(starts(cell.report('e1', 0))).toBe(0);
  });

  test('does not restart the tasks of an instance that has gone down', () => {
    const cell = new MaintainedCell(2);
    cell.handle({ type: 'executors', executors: [executor('e1'), executor('e2'), executor('e3')] });
    cell.report('e3', -1);
    cell.orders();
    cell.done('m1');
    expect(starts(cell.list({ state: 'maintenance', executor: undefined }))).toBe(1);
  });

  test('counts an instance as up by a list that was requested before the order', () => {
    const cell = new MaintainedCell(1);
    const [first = ''] = cell.orders();
    const before = cell.clock.now();
    cell.clock.advance(10);
    cell.done(first);
    cell.handle({ type: 'instances', instances: [], requestedAt: before });
    expect(cell.orders()).toEqual([]);
  });
});

describe('a maintenance wave whose orders are not answered', () => {
  const SIZES = [1, 2, 3, 5].flatMap((size) => [1, 2, 3].map((cap) => ({ size, cap })));

  test.each(SIZES)(
    'stands still with $size instances, $cap at once, although the platform answers again',
    ({ size, cap }) => {
      const wave = new IdleWave(size, cap);
      // The platform is silent for 4 s; each order times out after 1.5 s.
      for (let passed = 0; passed < 4_000; passed += 100) {
        const ordered = wave.tick();
        expect(ordered.length).toBeLessThanOrEqual(cap);
        ordered.forEach((name) => {
          wave.answer(name, 'unknown');
        });
      }
      const begun = new Set<string>();
      for (let round = 0; round < 10 * size; round += 1) {
        wave.tick().forEach((name) => {
          begun.add(name);
          wave.carryOut(name);
        });
        wave.finish();
      }
      expect(begun.size).toBe(size);
    },
  );

  test('ends a task by a repeated order while another task of the step is away', () => {
    const cell = new MaintainedCell(2);
    expect(cell.orders()).toEqual(['m1']);
    cell.answer('m1', 'unknown');
    cell.report('e2', -1);
    expect(cell.orders(600)).toEqual([]);
    // The task has been started again.
    cell.report('e2', 1, 2);
    expect(cell.orders(600)).toEqual(['m1']);
  });

  // The task that is away has room at no other executor.
  test('keeps an executor cordoned for good whose order may not be repeated', () => {
    const cell = new MaintainedCell(1, step({ ...LASTING, maxPerExecutor: 0 }));
    expect(cell.orders()).toEqual(['m1']);
    cell.answer('m1', 'unknown');
    cell.handle({ type: 'executors', executors: [executor('e1')] });
    cell.report('e2', -1);
    const decisions: JobDecision[] = [];
    for (let passed = 0; passed < 8_000; passed += 500) {
      cell.clock.advance(500);
      decisions.push(...cell.list(), ...cell.report('e1', 0), ...cell.handle({ type: 'tick' }));
    }
    expect(starts(decisions)).toBe(1);
  });

  // Nothing tells whether the order is still under way.
  test('takes another instance down while an unanswered order may take effect', () => {
    const cell = new MaintainedCell(1);
    expect(cell.orders()).toEqual(['m1']);
    cell.answer('m1', 'unknown');
    cell.report('e2', -1);
    for (let passed = 0; passed < 8_000; passed += 500) {
      // The platform answers no list.
      cell.clock.advance(500);
      cell.report('e1', 0);
      expect(cell.orders()).toEqual([]);
    }
  });

  test('starts tasks where an unanswered order may take effect, as its repetition was not sent', () => {
    const wave = new IdleWave(2, 1);
    const [first = ''] = wave.tick();
    wave.answer(first, 'unknown');
    wave.clock.advance(600);
    expect(wave.tick()).toEqual([first]);
    wave.answer(first, 'not-sent');
    expect(wave.startedOn(16)).toEqual(new Set(['e-m1']));
  });

  test('keeps an instance cordoned whose only order was not sent', () => {
    const wave = new IdleWave(2, 1);
    const [first = ''] = wave.tick();
    wave.answer(first, 'not-sent');
    expect(wave.startedOn(16)).toEqual(new Set(['e-m0', 'e-m1']));
  });

  test('has a slot less for good when the instance of an unanswered order is removed', () => {
    const wave = new IdleWave(3, 1);
    const [first = ''] = wave.tick();
    wave.answer(first, 'unknown');
    wave.remove(first);
    wave.finish();
    const next = wave.tick();
    expect(next).toHaveLength(1);
    expect(next).not.toContain(first);
  });
});
