import { describe, expect, test } from '@jest/globals';
import { ManualClock, type JobDecider, type JobEvent, type CellPoolLoad } from '../src/index.js';
import { executor, job, newDecider, POLICY, step } from './support/job-fixtures.js';

// Each test is named after the failure that it guards against.

const LEASE_MS = 5_000;

/** A cell with `pools` pools of two executors each, all of which have reported. */
class DescribedCell {
  readonly clock = new ManualClock(10_000);
  readonly decider: JobDecider = newDecider(this.clock);

  constructor(pools = 1) {
    const names = Array.from({ length: pools }, (_, index) => `p${index + 1}`);
    const executors = names.flatMap((pool) =>
      ['a', 'b'].map((id) => executor(`${pool}-${id}`, { pool })),
    );
    this.handle({
      type: 'config',
      config: {
        queues: new Map([['q1', POLICY]]),
        pools: new Map(names.map((name) => [name, { name, standby: false }])),
        teams: new Map(),
      },
    });
    this.handle({ type: 'executors', executors });
    executors.forEach(({ id }) => {
      this.report(id);
    });
  }

  handle(event: JobEvent): void {
    this.decider.handle(event, this.clock.now());
  }

  report(id: string): void {
    const sentAt = this.clock.now();
    const report = { executor: id, startedWallMs: 1, sentAt, running: [], ended: [] };
    this.handle({ type: 'report', leaseEndsAt: sentAt + LEASE_MS, report });
  }

  submit(id: string, tasks: number, team = 't1'): void {
    const accepted = {
      ...job(id, [step({ taskCount: tasks })]),
      team,
      acceptedWallMs: this.clock.wall(),
    };
    this.handle({ type: 'jobs', jobs: [{ accepted }], adopted: false });
  }

  loads(): readonly CellPoolLoad[] {
    return this.decider.poolLoad.describe(this.clock.now());
  }
}

describe('the load of a pool', () => {
  test('does not show that tasks wait because all its capacity is taken', () => {
    const cell = new DescribedCell();
    cell.submit('j1', 20);
    expect(cell.loads()).toEqual([
      {
        pool: 'p1',
        waiting: 4,
        held: 0,
        usable: 16,
        free: 0,
        executors: { unknown: 0, leaving: 0, silent: 0, backingOff: 0, idle: 0, working: 2 },
        instances: { up: 0, moving: 0, maintenance: 0, down: 0 },
        incoming: 0,
        jobs: { 'in-time': 1, late: 0, worthless: 0 },
        shares: { ageMs: 0, teamsBelow: 0, lackingMost: [] },
      },
    ]);
  });

  test('counts the capacity of executors that get no tasks as usable', () => {
    const cell = new DescribedCell();
    cell.clock.advance(3_000);
    cell.report('p1-b');
    cell.handle({ type: 'executors', executors: [executor('p1-a'), executor('p1-c')] });
    const [load] = cell.loads();
    expect(load).toMatchObject({ usable: 0, free: 0, executors: { silent: 1, unknown: 2 } });
  });

  test('does not tell jobs that can be in time from those that have lost their value', () => {
    const cell = new DescribedCell();
    cell.submit('j1', 20);
    const jobs = [1_200, 1, 2_400].map((waitMs) => {
      cell.clock.advance(waitMs);
      return cell.loads()[0]?.jobs;
    });
    expect(jobs).toEqual([
      { 'in-time': 1, late: 0, worthless: 0 },
      { 'in-time': 0, late: 1, worthless: 0 },
      { 'in-time': 0, late: 0, worthless: 1 },
    ]);
  });

  test('does not name the teams that lack a part of their share', () => {
    const cell = new DescribedCell();
    cell.submit('j1', 12);
    cell.submit('j2', 40, 't2');
    cell.submit('j3', 40, 't3');
    cell.clock.advance(400);
    const lackingMost = [
      { team: 't3', share: 0.333, usage: 0, waiting: 2.5 },
      { team: 't2', share: 0.333, usage: 0.25, waiting: 2.25 },
    ];
    expect(cell.loads()[0]?.shares).toEqual({ ageMs: 400, teamsBelow: 2, lackingMost });
    expect(cell.decider.poolLoad.teamsBelowShare(cell.clock.now())).toEqual(new Map([['p1', 2]]));
  });

  test('grows with the number of pools of the deployment', () => {
    expect(new DescribedCell(40).loads()).toHaveLength(8);
  });
});
