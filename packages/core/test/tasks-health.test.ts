import { expect, test } from '@jest/globals';
import type { TaskSpec } from '@turmerichoist/core';
import type { TaskFleetSimulation } from '@turmerichoist/stand-ins';
import { fleetOf, leasedTo, stateOf, submitAll, workersOf } from './support/task-fleet-fixtures.js';
import { taskOf } from './support/task-fixtures.js';

function shortTasks(count: number, command: string, team = 'a'): readonly TaskSpec[] {
  return Array.from({ length: count }, () => taskOf({ command: `${command} ms=200`, team }));
}

function runCount(fleet: TaskFleetSimulation, worker: string): number {
  return fleet.models.get(worker)?.runs.length ?? 0;
}

/** Submits short tasks of two teams every second and returns them. */
function keepBusy(fleet: TaskFleetSimulation, seconds: number): readonly TaskSpec[] {
  const all: TaskSpec[] = [];
  for (let i = 0; i < seconds; i += 1) {
    const tasks = [...shortTasks(10, 'one', 'a'), ...shortTasks(10, 'two', 'b')];
    submitAll(fleet, tasks);
    all.push(...tasks);
    fleet.step(1_000);
  }
  return all;
}

test('a worker that fails every task is quarantined after a few failures, and no task fails for it', () => {
  const fleet = fleetOf(workersOf(9));
  fleet.models.get('w0')?.setFaults({ failAll: true }, 0);
  const tasks = keepBusy(fleet, 20);
  fleet.step(5_000);
  expect(runCount(fleet, 'w0')).toBeLessThanOrEqual(16);
  expect(tasks.map(({ id }) => stateOf(fleet, id))).not.toContain('failed');
});

test('a quarantined worker is probed with one task and gets work again when a probe succeeds', () => {
  const fleet = fleetOf(workersOf(9));
  const model = fleet.models.get('w0');
  model?.setFaults({ failAll: true }, 0);
  keepBusy(fleet, 20);
  const before = runCount(fleet, 'w0');
  keepBusy(fleet, 25);
  expect(runCount(fleet, 'w0') - before).toBe(1);
  model?.setFaults({ failAll: false }, fleet.now);
  keepBusy(fleet, 90);
  expect(runCount(fleet, 'w0') - before).toBeGreaterThan(10);
});

test('a command that fails everywhere fails after three workers and quarantines none of them', () => {
  const fleet = fleetOf(workersOf(9));
  const bad = shortTasks(60, 'broken exit=1');
  submitAll(fleet, bad);
  keepBusy(fleet, 30);
  expect(new Set(bad.map(({ id }) => stateOf(fleet, id)))).toEqual(new Set(['failed']));
  const tries = bad.map(({ id }) => new Set(leasedTo(fleet, id)).size);
  expect(Math.max(...tries)).toBeLessThanOrEqual(3);
  const runs = [...fleet.models.keys()].map((name) => runCount(fleet, name));
  expect(Math.min(...runs)).toBeGreaterThan(20);
});

test('failing commands of many teams never quarantine most workers of a zone', () => {
  const names = Array.from({ length: 40 }, (_, i) => `t${i}`);
  const fleet = fleetOf(
    workersOf(12),
    names.map((name) => ({ name })),
  );
  for (const [i, team] of names.entries()) {
    submitAll(fleet, shortTasks(5, `broken${i} exit=1`, team));
  }
  fleet.step(15_000);
  const good = Array.from({ length: 36 }, (_, i) =>
    taskOf({ team: `t${i}`, processors: 2, command: 'good ms=10000' }),
  );
  submitAll(fleet, good);
  fleet.step(2_000);
  const used = new Set(good.flatMap(({ id }) => leasedTo(fleet, id)));
  for (const zone of ['z1', 'z2', 'z3']) {
    const members = workersOf(12).filter((worker) => worker.zone === zone);
    expect(members.filter(({ name }) => used.has(name)).length).toBeGreaterThanOrEqual(3);
  }
});

test('a failed task that is not idempotent is not retried on another worker', () => {
  const fleet = fleetOf(workersOf(3));
  fleet.submit(taskOf({ id: 'x', idempotent: false, command: 'run ms=100 exit=1' }));
  fleet.step(5_000);
  expect([stateOf(fleet, 'x'), leasedTo(fleet, 'x').length]).toEqual(['failed', 1]);
});
