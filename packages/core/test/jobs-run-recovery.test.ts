import { describe, expect, test } from '@jest/globals';
import {
  ManualClock,
  type ExecutorId,
  type JobDecider,
  type JobDecision,
  type JobEvent,
  type PoolInstance,
  type SchedulingConfig,
} from '../src/index.js';
import { executor, job, newDecider, POLICY, step } from './support/job-fixtures.js';

// Each test is named after the failure that it guards against. The load pattern of all of them: a
// queue asks for several times its mean while its pool lends and borrows instances, and the leader
// changes in the middle of it.

const RECOVERY_MS = 5_200;
const HANDOVER_MS = 3_000;
const LEASE_MS = 4_500;

const CONFIG: SchedulingConfig = {
  queues: new Map([['q1', POLICY]]),
  pools: new Map([
    ['p1', { name: 'p1', standby: false }],
    ['p2', { name: 'p2', standby: false }],
    ['spare', { name: 'spare', standby: true }],
  ]),
  teams: new Map(),
};

function instance(name: string, pool: string, on?: ExecutorId): PoolInstance {
  const capacity = { processors: 8, memoryMb: 8_000, accelerators: 0 };
  return { name, pool, state: 'up', zone: 'z1', rack: 'r1', capacity, executor: on };
}

const INSTANCES: readonly PoolInstance[] = [
  instance('m-1', 'p1', 'e1'),
  instance('m-2', 'p1', 'e2'),
  instance('m-3', 'spare'),
];

/** A decider that has just taken over executors `e1`, `e2` and one job. */
class TakenOverCell {
  readonly clock = new ManualClock(10_000);
  readonly decider: JobDecider = newDecider(this.clock, {
    firstAttempt: 1_001,
    recoveryEndsAt: this.clock.now() + RECOVERY_MS,
    ordersAllowedAt: this.clock.now() + HANDOVER_MS,
    inheritedExecutors: ['e1', 'e2'],
  });

  constructor(taskCount = 40) {
    this.handle({ type: 'config', config: CONFIG });
    const accepted = { ...job('a', [step({ taskCount })]), acceptedWallMs: this.clock.wall() };
    this.handle({ type: 'jobs', jobs: [{ accepted }], adopted: true });
    this.handle({ type: 'executors', executors: [executor('e1'), executor('e2')] });
  }

  handle(event: JobEvent): readonly JobDecision[] {
    return this.decider.handle(event, this.clock.now());
  }

  list(instances: readonly PoolInstance[]): readonly JobDecision[] {
    return this.handle({ type: 'instances', instances, requestedAt: this.clock.now() });
  }

  report(id: ExecutorId): readonly JobDecision[] {
    const sentAt = this.clock.now();
    const report = { executor: id, startedWallMs: 1, sentAt, running: [], ended: [] };
    return this.handle({ type: 'report', leaseEndsAt: sentAt + LEASE_MS, report });
  }

  tick(ms: number): readonly JobDecision[] {
    this.clock.advance(ms);
    return this.handle({ type: 'tick' });
  }
}

function typesOf(decisions: readonly JobDecision[]): readonly string[] {
  return [...new Set(decisions.map(({ type }) => type))];
}

describe('a queue at its peak while the leader changes', () => {
  test('waits for an executor that ended when its instance was moved, until recovery times out', () => {
    const cell = new TakenOverCell();
    cell.report('e1');
    const starts = cell.list([instance('m-1', 'p1', 'e1'), instance('m-2', 'p2', 'e9')]);
    expect(typesOf(starts)).toEqual(['start']);
  });

  test('waits for an executor that begins after the takeover, until recovery times out', () => {
    const cell = new TakenOverCell();
    cell.list(INSTANCES);
    cell.report('e1');
    cell.handle({ type: 'executors', executors: ['e1', 'e2', 'e9'].map((id) => executor(id)) });
    expect(typesOf(cell.report('e2'))).toEqual(['start']);
  });

  test('starts tasks again that run on an executor of a listed instance', () => {
    const cell = new TakenOverCell();
    cell.list(INSTANCES);
    expect(cell.report('e1')).toEqual([]);
    expect(typesOf(cell.tick(RECOVERY_MS - 1))).not.toContain('start');
  });

  test('takes a later list for one of the executors that earlier owners may have used', () => {
    const cell = new TakenOverCell();
    cell.list(INSTANCES);
    cell.report('e1');
    expect(typesOf(cell.list([instance('m-1', 'p1', 'e1')]))).not.toContain('start');
  });

  test('borrows no instance until a silent executor has been given up', () => {
    const cell = new TakenOverCell();
    cell.list(INSTANCES);
    cell.report('e1');
    expect(cell.tick(HANDOVER_MS)).toContainEqual({
      type: 'order',
      order: { type: 'move', instance: 'm-3', pool: 'p1' },
    });
  });

  test('borrows instances for held tasks that fit into its own free capacity', () => {
    const cell = new TakenOverCell(8);
    cell.list(INSTANCES);
    cell.report('e1');
    expect(typesOf(cell.tick(HANDOVER_MS - 100))).toEqual([]);
    cell.report('e1');
    expect(cell.tick(100)).toEqual([]);
  });
});
