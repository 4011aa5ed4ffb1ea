import { describe, expect, test } from '@jest/globals';
import {
  ManualClock,
  type EndedRun,
  type JobDecider,
  type JobDecision,
  type JobEvent,
  type PoolInstance,
  type SchedulingConfig,
} from '../src/index.js';
import { executor, job, newDecider, POLICY, step } from './support/job-fixtures.js';

// Each test is named after the failure that it guards against.

const ELECTED_AT = 10_000;
const POOLS = ['p1', 'p2', 'spare'].map((name) => ({ name, standby: name === 'spare' }));
const CONFIG: SchedulingConfig = {
  queues: new Map([
    ['q1', POLICY],
    ['q2', { ...POLICY, pool: 'p2' }],
  ]),
  pools: new Map(POOLS.map((pool) => [pool.name, pool])),
  teams: new Map(),
};
const LENDERS = ['b1', 'b2', 'b3', 'b4', 'b5', 'b6'];

function instance(name: string, pool: string, on?: string): PoolInstance {
  const capacity = { processors: 8, memoryMb: 8_000, accelerators: 0 };
  return { name, pool, state: 'up', zone: 'z1', rack: 'r1', capacity, executor: on };
}

/** An owner that has taken over executor `a1` of `p1` and `LENDERS` of `p2`, and no standby instance. */
class NewOwner {
  readonly clock = new ManualClock(ELECTED_AT);
  readonly decider: JobDecider;
  readonly #ids = ['a1', ...LENDERS];

  constructor(recoveryEndsAt = 0) {
    this.decider = newDecider(this.clock, {
      recoveryEndsAt,
      inheritedExecutors: [...this.#ids, 'late'],
      poolSizes: new Map([
        ['p1', 1],
        ['p2', LENDERS.length],
      ]),
    });
    this.handle({ type: 'config', config: CONFIG });
    const pool = (id: string): string => (id === 'a1' ? 'p1' : 'p2');
    const executors = this.#ids.map((id) => executor(id, { pool: pool(id) }));
    this.handle({ type: 'executors', executors });
    this.list(this.#ids.map((id) => instance(`m-${id}`, pool(id), id)));
  }

  handle(event: JobEvent): readonly JobDecision[] {
    return this.decider.handle(event, this.clock.now());
  }

  /** The executor `late` does not report, so that the recovery does not end before its time. */
  list(instances: readonly PoolInstance[]): void {
    const all = [...instances, instance('m-late', 'p2', 'late')];
    this.handle({ type: 'instances', instances: all, requestedAt: this.clock.now() });
  }

  submit(id: string, tasks: number, over: { queue?: string; adopted?: boolean } = {}): void {
    const { queue = 'q1', adopted = false } = over;
    const policy = queue === 'q1' ? POLICY : { ...POLICY, pool: 'p2' };
    const accepted = { ...job(id, [step({ taskCount: tasks })]), queue, policy };
    this.handle({ type: 'jobs', jobs: [{ accepted }], adopted });
  }

  report(ended: ReadonlyMap<string, EndedRun> = new Map()): void {
    const sentAt = this.clock.now();
    for (const id of this.#ids) {
      const ends = ended.get(id);
      const report = { executor: id, startedWallMs: 1, sentAt, running: [] };
      const reported = { ...report, ended: ends === undefined ? [] : [ends] };
      this.handle({ type: 'report', leaseEndsAt: sentAt + 5_000, report: reported });
    }
  }

  /** Instances that a tick orders to `p1`. */
  tick(ms = 0): readonly string[] {
    this.clock.advance(ms);
    return this.handle({ type: 'tick' }).flatMap((decision) =>
      decision.type === 'order' && decision.order.type === 'move' ? [decision.order.instance] : [],
    );
  }
}

function endOf(index: number): EndedRun {
  const task = { jobId: 'x', occurrence: 0, step: 0, index };
  return { seq: index + 1, task, attempt: 1, reason: 'done', checkpoint: '' };
}

describe('after a takeover', () => {
  // A pool at its peak waited a second longer for each new leader.
  test('instances that were idle under the former leader are lent only a second later', () => {
    const owner = new NewOwner();
    owner.submit('j', 8 + 16);
    owner.report();
    expect(owner.tick()).toEqual(['m-b1', 'm-b2']);
  });

  test('instances whose tasks have just ended are lent at once', () => {
    const owner = new NewOwner();
    owner.submit('j', 8 + 16);
    owner.report(new Map(LENDERS.map((id, index) => [id, endOf(index)])));
    expect(owner.tick()).toEqual([]);
    expect(owner.tick(900)).toEqual([]);
    expect(owner.tick(100)).toEqual(['m-b1', 'm-b2']);
  });

  test('instances are lent that adopted tasks will need when the recovery ends', () => {
    const owner = new NewOwner(ELECTED_AT + 5_000);
    owner.submit('held', 8 * (LENDERS.length - 1), { queue: 'q2', adopted: true });
    owner.submit('j', 8 + 16);
    owner.report();
    expect(owner.decider.awaitedExecutors).toBeGreaterThan(0);
    expect(owner.tick()).toEqual(['m-b1']);
  });

  test('instances are lent in place of those that the former leader has sent on their way', () => {
    const owner = new NewOwner();
    owner.submit('j', 8 + 16);
    owner.report();
    const moving = ['m-b1', 'm-b2'].map((name) => ({
      ...instance(name, 'p1'),
      state: 'moving' as const,
    }));
    const others = LENDERS.slice(2).map((id) => instance(`m-${id}`, 'p2', id));
    owner.list([instance('m-a1', 'p1', 'a1'), ...moving, ...others]);
    expect(owner.tick()).toEqual([]);
    expect(owner.tick(1_000)).toEqual([]);
  });
});
