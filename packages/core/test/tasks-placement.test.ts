import { expect, test } from '@jest/globals';
import { UsageEstimator } from '@turmerichoist/core';
import {
  TEAMS,
  fleetOf,
  leasedTo,
  stateOf,
  stopsOf,
  submitAll,
  workersOf,
} from './support/task-fleet-fixtures.js';
import { configOf, taskOf } from './support/task-fixtures.js';

const LONG_COMMAND = 'run ms=600000';

test('a task that no worker can ever run is reported as infeasible, and rechecked when the fleet changes', () => {
  const fleet = fleetOf(workersOf(2));
  fleet.submit(taskOf({ id: 'large', processors: 9 }));
  fleet.submit(taskOf({ id: 'elsewhere', zones: ['z9'] }));
  fleet.submit(taskOf({ id: 'labelled', labels: { disk: 'ssd' } }));
  fleet.step(100);
  const reasons = fleet.answers.map((answer) => answer.type === 'infeasible' && answer.reason);
  expect(reasons[0]).toContain('8 processors');
  expect(reasons.slice(1)).toEqual([
    'no instance of the pool matches the constraints',
    'no instance of the pool matches the constraints',
  ]);
  fleet.submit(taskOf({ id: 'waits', processors: 8, command: LONG_COMMAND, zones: ['z1'] }));
  fleet.submit(taskOf({ id: 'behind', processors: 8, zones: ['z1'] }));
  fleet.step(500);
  fleet.dispatch({ type: 'config-changed', cfg: configOf(workersOf(2, { processors: 4 }), TEAMS) });
  fleet.step(100);
  expect(stateOf(fleet, 'behind')).toBe('infeasible');
  fleet.dispatch({
    type: 'config-changed',
    cfg: configOf(workersOf(2, { processors: 16 }), TEAMS),
  });
  fleet.step(100);
  expect(['large', 'behind'].map((id) => stateOf(fleet, id))).not.toContain('infeasible');
});

test('a task above the limit of its team is reported as infeasible', () => {
  const fleet = fleetOf(workersOf(1), [{ name: 'a', limit: { processors: 2 } }]);
  fleet.submit(taskOf({ processors: 3 }));
  fleet.step(100);
  expect(fleet.answers[0]).toMatchObject({ type: 'infeasible' });
});

test('a zone that is out gets no tasks until it is back in', () => {
  const fleet = fleetOf(workersOf(3));
  fleet.dispatch({ type: 'config-changed', cfg: configOf(workersOf(3), TEAMS, ['z1', 'z2']) });
  const tasks = Array.from({ length: 6 }, () => taskOf({ processors: 4, command: LONG_COMMAND }));
  submitAll(fleet, tasks);
  fleet.step(1_000);
  expect(new Set(tasks.flatMap(({ id }) => leasedTo(fleet, id)))).toEqual(new Set(['w2']));
  fleet.dispatch({ type: 'config-changed', cfg: configOf(workersOf(3), TEAMS) });
  fleet.step(1_000);
  expect(new Set(tasks.flatMap(({ id }) => leasedTo(fleet, id))).size).toBe(3);
});

test('tasks without accelerators leave enough processors to use the free accelerators', () => {
  const accelerated = [{ name: 'w0', zone: 'z1', processors: 8, accelerators: 4 }];
  const fleet = fleetOf(accelerated);
  submitAll(
    fleet,
    Array.from({ length: 20 }, () => taskOf({ command: LONG_COMMAND })),
  );
  fleet.step(1_000);
  const acceleratorTasks = Array.from({ length: 3 }, () =>
    taskOf({ accelerators: 1, command: LONG_COMMAND }),
  );
  submitAll(fleet, acceleratorTasks);
  fleet.step(1_000);
  expect(acceleratorTasks.map(({ id }) => stateOf(fleet, id))).toEqual([
    'running',
    'running',
    'running',
  ]);
});

test('tasks without accelerators go to workers without accelerators first', () => {
  const fleet = fleetOf([
    { name: 'w0', zone: 'z1', processors: 8, accelerators: 4 },
    { name: 'w1', zone: 'z1', processors: 32 },
  ]);
  fleet.submit(taskOf({ id: 'x', command: LONG_COMMAND }));
  fleet.step(500);
  expect(leasedTo(fleet, 'x')).toEqual(['w1']);
});

function expectedRatio(ratios: readonly number[]): number {
  const estimator = new UsageEstimator();
  const task = taskOf({ processors: 10, memoryMb: 1_000 });
  for (const ratio of ratios) {
    const peak = { processors: 10 * ratio, memoryMb: 1_000 * ratio, accelerators: 0 };
    estimator.learn(task, { peak }, false);
  }
  return estimator.expectedSize(task).processors / 10;
}

test('the expected size follows usage, between a tenth and four times the declared size', () => {
  expect(expectedRatio([0.5, 0.5, 0.5, 0.5])).toBe(1);
  expect(expectedRatio(Array<number>(20).fill(0.5))).toBeCloseTo(0.5);
  expect(expectedRatio(Array<number>(20).fill(0.001))).toBeCloseTo(0.1);
  expect(expectedRatio(Array<number>(20).fill(50))).toBeCloseTo(4);
});

test('a few outliers do not move the expected size', () => {
  expect(expectedRatio([...Array<number>(19).fill(0.5), 4])).toBeCloseTo(0.5);
});

test('tasks that use less than declared are packed by their expected size', () => {
  const fleet = fleetOf(workersOf(1, { processors: 8 }));
  const command = 'greedy ms=500 processors=1 memoryMb=50';
  submitAll(
    fleet,
    Array.from({ length: 10 }, () => taskOf({ processors: 4, command })),
  );
  fleet.step(15_000);
  const tasks = Array.from({ length: 6 }, () =>
    taskOf({ processors: 4, command: command.replace('500', '60000') }),
  );
  submitAll(fleet, tasks);
  fleet.step(1_000);
  expect(tasks.filter(({ id }) => stateOf(fleet, id) === 'running').length).toBe(6);
});

function overloadedFleet(idempotent: boolean): ReturnType<typeof fleetOf> {
  const fleet = fleetOf(workersOf(1, { memoryMb: 1_000 }));
  const command = 'grows ms=600000 memoryMb=700 checkpoint=no';
  for (const id of ['first', 'second']) {
    fleet.submit(taskOf({ id, memoryMb: 200, command, idempotent }));
    fleet.step(200);
  }
  fleet.step(9_000);
  return fleet;
}

test('an overloaded worker is relieved by throttle, then checkpoint, then stop', () => {
  const order = stopsOf(overloadedFleet(true), 'throttle', 'checkpoint', 'stop');
  expect(order.slice(0, 3)).toEqual(['throttle second', 'checkpoint second', 'stop second']);
});

test('overload does not stop a task that is not idempotent', () => {
  expect(stopsOf(overloadedFleet(false), 'stop')).toEqual([]);
});
