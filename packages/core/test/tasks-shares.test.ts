import { expect, test } from '@jest/globals';
import type { TaskSpec } from '@turmerichoist/core';
import type { TaskFleetSimulation } from '@turmerichoist/stand-ins';
import {
  allowAll,
  fleetOf,
  leasedTo,
  stateOf,
  stopsOf,
  submitAll,
  workersOf,
} from './support/task-fleet-fixtures.js';
import { taskOf, type TaskShape } from './support/task-fixtures.js';

const LONG_COMMAND = 'run ms=600000';

function longTasks(
  count: number,
  shape: TaskShape & Partial<TaskSpec['resources']>,
): readonly TaskSpec[] {
  return Array.from({ length: count }, () => taskOf({ command: LONG_COMMAND, ...shape }));
}

function runningCount(fleet: TaskFleetSimulation, tasks: readonly TaskSpec[]): number {
  return tasks.filter(({ id }) => stateOf(fleet, id) === 'running').length;
}

test('a full fleet is shared by dominant resource in proportion to the weights of the teams', () => {
  const teams = [
    { name: 'a', share: 3 },
    { name: 'b', share: 1 },
  ];
  const fleet = fleetOf(workersOf(4, { processors: 10, memoryMb: 10_000 }), teams);
  const a = longTasks(100, { team: 'a' });
  const b = longTasks(100, { team: 'b', processors: 0.5, memoryMb: 1_000 });
  submitAll(fleet, [...b, ...a]);
  fleet.step(2_000);
  const shareA = runningCount(fleet, a) / 40;
  const shareB = runningCount(fleet, b) / 40;
  expect(shareA / shareB).toBeGreaterThan(2.3);
  expect(shareA / shareB).toBeLessThan(3.7);
});

test('an unused share is lent to other teams and reclaimed by checkpoint when its team needs it', () => {
  const fleet = fleetOf(workersOf(4));
  const lent = longTasks(40, { team: 'a' });
  submitAll(fleet, lent);
  fleet.step(5_000);
  expect(runningCount(fleet, lent)).toBeGreaterThanOrEqual(28);
  const back = longTasks(40, { team: 'b' });
  submitAll(fleet, back);
  fleet.step(20_000);
  expect(runningCount(fleet, back)).toBeGreaterThanOrEqual(13);
  expect(stopsOf(fleet, 'stop')).toEqual([]);
  const settled = stopsOf(fleet, 'checkpoint').length;
  fleet.step(20_000);
  expect(stopsOf(fleet, 'checkpoint').length - settled).toBeLessThanOrEqual(2);
});

test('no team exceeds its allowance, even on an idle fleet', () => {
  const fleet = fleetOf(workersOf(4));
  fleet.dispatch({
    type: 'allowances',
    teams: allowAll([{ name: 'a' }], { a: { processors: 5 } }),
  });
  const tasks = longTasks(40, { team: 'a' });
  submitAll(fleet, tasks);
  fleet.step(5_000);
  expect(runningCount(fleet, tasks)).toBe(5);
});

test('a team without an allowance on this pool starts nothing', () => {
  const fleet = fleetOf(workersOf(4));
  fleet.dispatch({ type: 'allowances', teams: new Map() });
  const tasks = longTasks(2, { team: 'a' });
  submitAll(fleet, tasks);
  fleet.step(5_000);
  expect(runningCount(fleet, tasks)).toBe(0);
});

test('urgent work starts within 1.2 s on a full fleet by throttling, which is lifted afterwards', () => {
  const fleet = fleetOf(workersOf(2));
  submitAll(fleet, longTasks(40, { team: 'a', memoryMb: 10 }));
  fleet.step(5_000);
  const urgent = longTasks(4, { team: 'b', workClass: 'urgent', command: 'run ms=4000' });
  submitAll(fleet, urgent);
  fleet.step(1_200);
  expect(runningCount(fleet, urgent)).toBe(4);
  expect(stopsOf(fleet, 'checkpoint', 'stop')).toEqual([]);
  fleet.step(20_000);
  const throttled = [...fleet.models.values()].flatMap((model) =>
    model.report(0, fleet.now).running.filter((task) => task.throttled),
  );
  expect(throttled).toEqual([]);
});

test('urgent work that needs memory preempts by checkpoint, and by stop if that fails', () => {
  const fleet = fleetOf(workersOf(1, { memoryMb: 1_000 }));
  fleet.submit(taskOf({ id: 'x', memoryMb: 900, command: `${LONG_COMMAND} checkpoint=no` }));
  fleet.step(5_000);
  fleet.submit(
    taskOf({ id: 'now', team: 'b', workClass: 'urgent', memoryMb: 500, command: LONG_COMMAND }),
  );
  fleet.step(1_200);
  expect(stopsOf(fleet, 'checkpoint', 'stop')).toEqual(['checkpoint x', 'stop x']);
  expect(stateOf(fleet, 'now')).toBe('running');
});

test('a task that is not idempotent is not stopped for urgent work', () => {
  const fleet = fleetOf(workersOf(1, { memoryMb: 1_000 }));
  const command = `${LONG_COMMAND} checkpoint=no`;
  fleet.submit(taskOf({ id: 'x', memoryMb: 900, command, idempotent: false }));
  fleet.step(5_000);
  fleet.submit(taskOf({ team: 'b', workClass: 'urgent', memoryMb: 500 }));
  fleet.step(5_000);
  expect([stateOf(fleet, 'x'), stopsOf(fleet, 'stop')]).toEqual(['running', []]);
});

test('victims are of the lowest class, then of the team farthest above its share, then the newest', () => {
  const fleet = fleetOf(workersOf(1, { memoryMb: 1_000 }));
  const part = { processors: 0.1, memoryMb: 200, command: LONG_COMMAND } as const;
  fleet.submit(taskOf({ ...part, id: 'archive', team: 'b', workClass: 'archive' }));
  fleet.step(300);
  fleet.submit(taskOf({ ...part, id: 'a-old', team: 'a' }));
  fleet.step(300);
  fleet.submit(taskOf({ ...part, id: 'a-new', team: 'a' }));
  fleet.step(3_000);
  for (const id of ['u1', 'u2', 'u3']) {
    fleet.submit(taskOf({ ...part, id, memoryMb: 250, team: 'b', workClass: 'urgent' }));
    fleet.step(1_500);
  }
  expect(stopsOf(fleet, 'checkpoint').slice(0, 2)).toEqual([
    'checkpoint archive',
    'checkpoint a-new',
  ]);
});

test('archive work is not starved by a steady stream of normal work', () => {
  const fleet = fleetOf(workersOf(1));
  const archive = longTasks(5, { team: 'b', workClass: 'archive', command: 'run ms=100' });
  submitAll(fleet, archive);
  submitAll(fleet, longTasks(600, { team: 'a', command: 'run ms=100' }));
  fleet.step(8_000);
  expect(archive.map(({ id }) => stateOf(fleet, id))).toContain('finished');
});

test('a large task is not starved by smaller tasks of its team', () => {
  const fleet = fleetOf(workersOf(1));
  submitAll(fleet, longTasks(8, { command: 'run ms=900' }));
  fleet.step(500);
  fleet.submit(taskOf({ id: 'large', processors: 8, command: 'run ms=100' }));
  for (let i = 0; i < 60; i += 1) {
    submitAll(fleet, longTasks(4, { command: 'run ms=900' }));
    fleet.step(500);
  }
  expect(stateOf(fleet, 'large')).toBe('finished');
});

test('the explanation of a task and of a team gives the reason and start of a wait', () => {
  const fleet = fleetOf(workersOf(1));
  submitAll(fleet, longTasks(8, { team: 'a', processors: 1 }));
  fleet.step(1_000);
  fleet.submit(taskOf({ id: 'x', team: 'a', processors: 8 }));
  const since = fleet.now + 50;
  fleet.step(3_000);
  const why = fleet.decider.explainTask('x', fleet.now);
  expect(why?.waits).toEqual({ reason: 'capacity', since });
  const team = fleet.decider.explainTeam('a', fleet.now);
  expect(team?.waiting.normal).toBeGreaterThan(0);
  expect(team?.waits?.reason).toBeDefined();
  expect(leasedTo(fleet, 'x')).toEqual([]);
});
