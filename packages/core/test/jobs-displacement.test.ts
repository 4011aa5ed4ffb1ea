import { beforeEach, expect, test } from '@jest/globals';
import {
  ManualClock,
  type ExecutorId,
  type JobDecision,
  type JobEvent,
  type Millis,
  type PoolInstance,
} from '../src/index.js';
import { executor, job, step, newDecider } from './support/job-fixtures.js';

// Each test is named after the failure that it guards against.

const TICK_MS: Millis = 100;
/** Time that a cordon without effect lasts at most. */
const DRAIN_MS: Millis = 3_000;
const HALF = { processors: 4, memoryMb: 100, accelerators: 0 };
const LASTING = step({ lasting: true, taskCount: 2, resources: HALF, maxUnavailable: 1 });

/** Executors on one instance each, of which the one of `e1` is in a wave and runs two lasting tasks. */
class Cell {
  readonly clock = new ManualClock(10_000);
  readonly decider = newDecider(this.clock);
  /** Task indices by executor. */
  readonly running = new Map<ExecutorId, readonly number[]>();
  readonly stopped: number[] = [];

  begin(...executors: readonly ExecutorId[]): void {
    this.running.set('e1', [0, 1]);
    this.listExecutors(...executors);
    this.handle({ type: 'jobs', jobs: [{ accepted: job('j', [LASTING]) }], adopted: false });
    this.pass(TICK_MS);
    const waves = [{ number: 1, instances: ['m-e1'], maxParallel: 1, begun: [], completed: false }];
    this.handle({ type: 'waves', waves });
  }

  handle(event: JobEvent): readonly JobDecision[] {
    return this.decider.handle(event, this.clock.now());
  }

  listExecutors(...ids: readonly ExecutorId[]): void {
    ids.filter((id) => !this.running.has(id)).forEach((id) => this.running.set(id, []));
    [...this.running.keys()]
      .filter((id) => !ids.includes(id))
      .forEach((id) => this.running.delete(id));
    this.handle({ type: 'executors', executors: ids.map((id) => executor(id)) });
  }

  /** Passes time, in which starts and stops take effect. Returns the executors of starts, by job. */
  pass(ms: Millis): readonly string[] {
    const starts: string[] = [];
    for (let passed = 0; passed < ms; passed += TICK_MS) {
      this.clock.advance(TICK_MS);
      const decisions = [...this.#poll(), ...this.handle({ type: 'tick' })];
      for (const decision of decisions) {
        if (decision.type === 'start') {
          const { task, attempt, executor: id } = decision;
          starts.push(`${task.jobId} at ${id}`);
          const outcome = 'started' as const;
          this.handle({ type: 'start-answer', task, attempt, executor: id, outcome });
          if (task.jobId === 'j') {
            this.running.set(id, [...(this.running.get(id) ?? []), task.index]);
          }
        }
        if (decision.type === 'stop' && decision.task.jobId === 'j') {
          const { task, attempt, executor: id } = decision;
          this.stopped.push(task.index);
          const left = (this.running.get(id) ?? []).filter((index) => index !== task.index);
          this.running.set(id, left);
          this.handle({ type: 'stop-answer', task, attempt, executor: id, answered: true });
        }
      }
    }
    return starts;
  }

  #poll(): readonly JobDecision[] {
    const sentAt = this.clock.now();
    const capacity = { processors: 8, memoryMb: 8_000, accelerators: 0 };
    const place = { pool: 'p1', state: 'up', zone: 'z1', rack: 'r1', capacity } as const;
    const instances: readonly PoolInstance[] = [...this.running.keys()].map((id) => ({
      ...place,
      name: `m-${id}`,
      executor: id,
    }));
    const decisions = [...this.handle({ type: 'instances', instances, requestedAt: sentAt })];
    for (const [id, indices] of this.running) {
      const running = indices.map((index) => ({
        task: { jobId: 'j', occurrence: 0, step: 0, index },
        attempt: this.#attempt(index),
        checkpoint: '',
        percent: 100,
        gauge: 0,
      }));
      const report = { executor: id, startedWallMs: 1, sentAt, running, ended: [] };
      decisions.push(...this.handle({ type: 'report', leaseEndsAt: sentAt + 5_000, report }));
    }
    return decisions;
  }

  /** A stopped task is started once more. */
  #attempt(index: number): number {
    return this.stopped.includes(index) ? 2 : 1;
  }
}

let cell: Cell;

beforeEach(() => {
  cell = new Cell();
});

test('a wave stops a lasting task that no other executor has room for', () => {
  cell.begin('e1');
  expect(cell.pass(2_000)).toEqual([]);
  expect(cell.stopped).toEqual([]);
  expect(cell.decider.waitingInstances).toEqual([
    { instance: 'm-e1', reason: 'no-room', step: 'j.0.0' },
  ]);
});

test('a wave waits for room although another executor has it', () => {
  cell.begin('e1', 'e2');
  expect(cell.pass(1_000)).toEqual(['j at e2']);
  expect(cell.stopped).toHaveLength(1);
});

test('the cordon of a wave stays when the room for a stopped task is lost', () => {
  cell.begin('e1', 'e2');
  // The stop is decided here; its task is started in a later round.
  cell.pass(TICK_MS);
  expect(cell.stopped).toHaveLength(1);
  cell.listExecutors('e1');
  expect(cell.pass(DRAIN_MS - 3 * TICK_MS)).toEqual([]);
  expect(cell.pass(5 * TICK_MS)).toEqual(['j at e1']);
  expect(cell.pass(5_000)).toEqual([]);
  expect(cell.stopped).toHaveLength(1);
});

test('other jobs find the last executor of a pool cordoned', () => {
  cell.begin('e1');
  cell.pass(1_000);
  const small = step({ resources: { ...HALF, processors: 0 } });
  const jobs = [{ accepted: job('k', [small]) }];
  const decisions = cell.handle({ type: 'jobs', jobs, adopted: false });
  expect(decisions).toMatchObject([{ type: 'start', executor: 'e1', task: { jobId: 'k' } }]);
});
