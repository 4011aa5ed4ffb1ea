import { describe, expect, test } from '@jest/globals';
import {
  ManualClock,
  type AcceptedJob,
  type JobDecider,
  type JobEvent,
  type PoolInstance,
  type QueuePolicy,
  type StepSpec,
  type TeamPolicy,
  type WorkAheadLane,
} from '../src/index.js';
import { executor, job, newDecider, POLICY, step } from './support/job-fixtures.js';

// Each test is named after the failure that it guards against.

const TASK: Partial<StepSpec> = { estimateMs: 1_000 };
const CAPACITY = { processors: 8, memoryMb: 8_000, accelerators: 0 };

interface CellOptions {
  readonly pools?: number;
  readonly queuesPerPool?: number;
  readonly teams?: readonly TeamPolicy[];
  /** Executors of a former leader, which have not reported. */
  readonly inheritedExecutors?: readonly string[];
}

function weighted(name: string, weight: number, processors = 0): TeamPolicy {
  return { name, weight, cap: { processors, memoryMb: 0, accelerators: 0 } };
}

/** Work of one job of `submit`, in processor-milliseconds. */
const JOB_WORK = 8_000;
/** Unit of published starts. */
const UNIT_MS = 100;

/** A cell with one executor of eight processors in each pool, whose queues have priorities 0, 1, … */
class FullCell {
  readonly clock = new ManualClock(10_000);
  readonly decider: JobDecider;
  readonly #queues: ReadonlyMap<string, QueuePolicy>;
  readonly #executors: readonly string[];
  #submitted = 0;

  constructor({
    pools = 1,
    queuesPerPool = 1,
    teams = [],
    inheritedExecutors = [],
  }: CellOptions = {}) {
    this.decider = newDecider(this.clock, { recoveryEndsAt: 20_000, inheritedExecutors });
    const names = Array.from({ length: pools }, (_, index) => `p${index + 1}`);
    const queues = names.flatMap((pool, index) =>
      Array.from({ length: queuesPerPool }, (_, priority) => {
        const queue = `q${index * queuesPerPool + priority + 1}`;
        return [queue, { ...POLICY, pool, priority }] as const;
      }),
    );
    this.#queues = new Map(queues);
    const policies = [...names, 'spare'].map((name) => ({ name, standby: name === 'spare' }));
    this.handle({
      type: 'config',
      config: {
        queues: this.#queues,
        pools: new Map(policies.map((pool) => [pool.name, pool])),
        teams: new Map(teams.map((team) => [team.name, team])),
      },
    });
    const executors = names.map((pool) => executor(`e-${pool}`, { pool, capacity: CAPACITY }));
    this.handle({ type: 'executors', executors });
    this.#executors = executors.map(({ id }) => id);
    this.report();
  }

  /** Reports of executors that have nothing running. */
  report(): void {
    this.#executors.forEach((id) => {
      const sentAt = this.clock.now();
      const report = { executor: id, startedWallMs: 1, sentAt, running: [], ended: [] };
      this.handle({ type: 'report', leaseEndsAt: 60_000, report });
    });
  }

  handle(event: JobEvent): void {
    this.decider.handle(event, this.clock.now());
  }

  /** Submits tasks that take one processor for a second each, `perJob` of them in one job. */
  submit(team: string, tasks: number, queue = 'q1', perJob = 8): void {
    for (let left = tasks; left > 0; left -= perJob) {
      this.#submitted += 1;
      const taskCount = Math.min(left, perJob);
      const accepted: AcceptedJob = {
        ...job(`job-${this.#submitted}`, [step({ ...TASK, taskCount })]),
        queue,
        team,
        policy: this.#queues.get(queue) ?? POLICY,
        acceptedWallMs: this.clock.wall(),
      };
      this.handle({ type: 'jobs', jobs: [{ accepted }], adopted: false });
    }
  }

  instances(instances: readonly Partial<PoolInstance>[]): void {
    const place = { zone: 'z1', rack: 'r1', capacity: CAPACITY, executor: undefined };
    const base = { ...place, name: '', pool: 'p1', state: 'up' } as const;
    const named = instances.map((one, index) => ({ ...base, name: `i${index}`, ...one }));
    this.handle({ type: 'instances', instances: named, requestedAt: this.clock.now() });
  }

  /** Lets the work grow so old that no more is expected to arrive; what runs is about to end. */
  settle(): void {
    this.clock.advance(1_001);
  }

  /** Starts by team of a job of this size that becomes late, in milliseconds. */
  starts(queue = 'q1', work = JOB_WORK): Readonly<Record<string, number>> {
    const lane = this.lanes().find((one) => one.queue === queue);
    return Object.fromEntries(
      Object.entries(lane?.teams ?? {}).flatMap(([team, sizes]) => {
        const start = sizes.findLast(([fromWork]) => work >= fromWork);
        return start === undefined ? [] : [[team, UNIT_MS * start[2]]];
      }),
    );
  }

  lanes(): readonly WorkAheadLane[] {
    return this.decider.workAhead ?? [];
  }
}

describe('the work ahead', () => {
  test('of a pool without a backlog is published', () => {
    const cell = new FullCell();
    cell.submit('t1', 8);
    expect(cell.lanes()).toEqual([]);
  });

  test('is worked out for thousands of queues without jobs, so that the leader loses its lease', () => {
    const cell = new FullCell({ queuesPerPool: 2_000 });
    cell.submit('t1', 160, 'q7');
    cell.submit('t1', 160, 'q8');
    cell.settle();
    const queues = cell.lanes().map(({ queue }) => queue);
    expect(queues.sort()).toEqual(['q7', 'q8']);
  });

  test('of one team is not the time that its pool takes for it', () => {
    const cell = new FullCell();
    cell.submit('t1', 88);
    cell.settle();
    expect(cell.starts()).toEqual({ t1: 10_000 });
  });

  test('delays small jobs as much as large ones, which yield to them', () => {
    const cell = new FullCell();
    cell.submit('t1', 160);
    cell.submit('t1', 800, 'q1', 100);
    cell.settle();
    expect(cell.starts('q1', JOB_WORK - 1_000)).toEqual({});
    expect(cell.starts()).toEqual({ t1: 19_000 });
    expect(cell.starts('q1', 100_000)).toEqual({ t1: 119_000 });
  });

  test('of a team below its share holds the work of the others', () => {
    const cell = new FullCell();
    cell.submit('t1', 800);
    cell.submit('t2', 40);
    cell.submit('t3', 2);
    cell.settle();
    // Of `t2`, 5 s, while `t1` gets as much; `t3` uses less than its share.
    const { t1, t2, t3 } = cell.starts();
    expect(t1).toBeGreaterThan(100_000);
    expect(t2).toBeGreaterThan(9_000);
    expect(t2).toBeLessThan(14_000);
    expect(t3).toBeUndefined();
  });

  test('does not depend on the weights of the teams', () => {
    const cell = new FullCell({ teams: [weighted('t1', 1), weighted('t2', 3)] });
    cell.submit('t1', 800);
    cell.submit('t2', 240);
    cell.settle();
    // 30 s for its own work, and a third of that for the other team.
    expect((cell.starts().t2 ?? 0) / 1_000).toBeCloseTo(40, -1);
  });

  test('of a team that is held by its cap is waited for by others', () => {
    const cell = new FullCell({ teams: [weighted('t1', 1, 1)] });
    cell.submit('t1', 800);
    cell.submit('t2', 70);
    cell.settle();
    expect(cell.starts().t1).toBeUndefined();
    expect(cell.starts().t2).toBeLessThan(10_500);
  });

  test('of less urgent queues delays more urgent ones', () => {
    const cell = new FullCell({ queuesPerPool: 2 });
    cell.submit('t1', 800, 'q2');
    cell.submit('t1', 80, 'q1');
    cell.settle();
    expect(cell.starts('q1').t1).toBeLessThan(12_000);
    expect(cell.starts('q2').t1).toBeGreaterThan(100_000);
  });

  test('of a large job that has started is left out, which no job overtakes', () => {
    const cell = new FullCell();
    cell.submit('t1', 800, 'q1', 800);
    cell.submit('t1', 80);
    cell.settle();
    expect(cell.starts().t1).toBe(109_000);
  });

  test('of jobs that have lost their value delays those that are submitted now', () => {
    const cell = new FullCell();
    cell.submit('t1', 800);
    // Three times 2 * 1,000 ms + 600 ms, and one more.
    cell.clock.advance(7_801);
    cell.report();
    cell.submit('t1', 88);
    cell.settle();
    expect(cell.starts().t1).toBe(11_000);
  });

  test('leaves out what arrives before a late job, or expects a single burst to go on', () => {
    const cell = new FullCell();
    cell.submit('t1', 48);
    expect(cell.starts()).toEqual({ t1: 6_000 });
    cell.clock.advance(600);
    cell.submit('t1', 40);
    // 10 s of waiting work in 1 s, and as much in each of the next 10 s. Of what runs, 400 ms are left.
    expect(cell.starts()).toEqual({ t1: 10_400 + 100_000 });
    cell.settle();
    expect(cell.starts()).toEqual({ t1: 10_000 });
  });

  test('is published while runs of an earlier owner are not known', () => {
    const cell = new FullCell({ inheritedExecutors: ['former'] });
    cell.submit('t1', 800);
    expect(cell.decider.workAhead).toBeUndefined();
  });

  test('leads to a refusal while an instance stands by, is maintained or comes', () => {
    const cell = new FullCell();
    cell.submit('t1', 400);
    const up = { pool: 'p1', executor: 'e-p1' };
    cell.instances([up]);
    expect(cell.lanes()[0]?.processors).toBe(8);
    const coming = [{ state: 'maintenance' }, { state: 'moving' }] as const;
    cell.instances([up, { pool: 'spare' }, ...coming]);
    expect(cell.lanes()[0]?.processors).toBe(32);
    cell.handle({ type: 'tick' });
    expect(cell.lanes()[0]?.processors).toBe(32);
  });

  test('needs more room in the lease row the more queues and teams there are', () => {
    const cell = new FullCell({ pools: 5, queuesPerPool: 4 });
    for (let queue = 1; queue <= 20; queue += 1) {
      for (let team = 1; team <= 20; team += 1) {
        cell.submit(`t${team}`, 100 + team, `q${queue}`);
      }
    }
    const lanes = cell.lanes();
    expect(lanes.length).toBeGreaterThan(0);
    expect(JSON.stringify(lanes).length).toBeLessThan(1_500);
  });
});
