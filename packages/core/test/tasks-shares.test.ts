import { expect, test } from '@jest/globals';
import type { TaskSpec } from '@turmerichoist/core';
import type { TaskFleet } from '@turmerichoist/stand-ins';
import {
  allowAll,
  fleetOf,
  leasedTo,
  stateOf,
  stopsOf,
  submitAll,
  workersOf,
} from './support/fleet-fixtures.js';
import { taskOf, type TaskShape } from './support/task-fixtures.js';

const LONG = 'run ms=600000';

function many(
  count: number,
  shape: TaskShape & Partial<TaskSpec['resources']>,
): readonly TaskSpec[] {
  return Array.from({ length: count }, () => taskOf({ command: LONG, ...shape }));
}

function running(fleet: TaskFleet, tasks: readonly TaskSpec[]): number {
  return tasks.filter(({ id }) => stateOf(fleet, id) === 'running').length;
}

test('a full fleet is split by the weights of the teams, by dominant resource', () => {
  const teams = [
    { name: 'a', share: 3 },
    { name: 'b', share: 1 },
  ];
  const fleet = fleetOf(workersOf(4, { processors: 10, memoryMb: 10_000 }), teams);
  const a = many(100, { team: 'a' });
  const b = many(100, { team: 'b', processors: 0.5, memoryMb: 1_000 });
  submitAll(fleet, [...b, ...a]);
  fleet.step(2_000);
  const shareA = running(fleet, a) / 40;
  const shareB = running(fleet, b) / 40;
  expect(shareA / shareB).toBeGreaterThan(2.3);
  expect(shareA / shareB).toBeLessThan(3.7);
});

test('an unused share is lent out and called back by checkpoint when its owner returns', () => {
  const fleet = fleetOf(workersOf(4));
  const lent = many(40, { team: 'a' });
  submitAll(fleet, lent);
  fleet.step(5_000);
  expect(running(fleet, lent)).toBeGreaterThanOrEqual(28);
  const back = many(40, { team: 'b' });
  submitAll(fleet, back);
  fleet.step(20_000);
  expect(running(fleet, back)).toBeGreaterThanOrEqual(13);
  expect(stopsOf(fleet, 'stop')).toEqual([]);
  const settled = stopsOf(fleet, 'checkpoint').length;
  fleet.step(20_000);
  expect(stopsOf(fleet, 'checkpoint').length - settled).toBeLessThanOrEqual(2);
});

test('no team uses more than its allowance, even of an idle fleet', () => {
  const fleet = fleetOf(workersOf(4));
  fleet.give({ type: 'allowances', teams: allowAll([{ name: 'a' }], { a: { processors: 5 } }) });
  const tasks = many(40, { team: 'a' });
  submitAll(fleet, tasks);
  fleet.step(5_000);
  expect(running(fleet, tasks)).toBe(5);
});

test('a team without an allowance on this pool starts nothing', () => {
  const fleet = fleetOf(workersOf(4));
  fleet.give({ type: 'allowances', teams: new Map() });
  const tasks = many(2, { team: 'a' });
  submitAll(fleet, tasks);
  fleet.step(5_000);
  expect(running(fleet, tasks)).toBe(0);
});

test('urgent work starts within 1.2 s on a full fleet by throttling, which ends with it', () => {
  const fleet = fleetOf(workersOf(2));
  submitAll(fleet, many(40, { team: 'a', memoryMb: 10 }));
  fleet.step(5_000);
  const urgent = many(4, { team: 'b', workClass: 'urgent', command: 'run ms=4000' });
  submitAll(fleet, urgent);
  fleet.step(1_200);
  expect(running(fleet, urgent)).toBe(4);
  expect(stopsOf(fleet, 'checkpoint', 'stop')).toEqual([]);
  fleet.step(20_000);
  const throttled = [...fleet.models.values()].flatMap((model) =>
    model.report(0, fleet.now).running.filter((task) => task.throttled),
  );
  expect(throttled).toEqual([]);
});

test('urgent work that needs memory displaces by checkpoint, and by stop where that fails', () => {
  const fleet = fleetOf(workersOf(1, { memoryMb: 1_000 }));
  fleet.submit(taskOf({ id: 'x', memoryMb: 900, command: `${LONG} checkpoint=no` }));
  fleet.step(5_000);
  fleet.submit(taskOf({ id: 'now', team: 'b', workClass: 'urgent', memoryMb: 500, command: LONG }));
  fleet.step(1_200);
  expect(stopsOf(fleet, 'checkpoint', 'stop')).toEqual(['checkpoint x', 'stop x']);
  expect(stateOf(fleet, 'now')).toBe('running');
});

test('a task that can not be run again is not stopped for urgent work', () => {
  const fleet = fleetOf(workersOf(1, { memoryMb: 1_000 }));
  const command = `${LONG} checkpoint=no`;
  fleet.submit(taskOf({ id: 'x', memoryMb: 900, command, idempotent: false }));
  fleet.step(5_000);
  fleet.submit(taskOf({ team: 'b', workClass: 'urgent', memoryMb: 500 }));
  fleet.step(5_000);
  expect([stateOf(fleet, 'x'), stopsOf(fleet, 'stop')]).toEqual(['running', []]);
});

test('victims are of the lowest class, then of the team farthest above its share, then the newest', () => {
  const fleet = fleetOf(workersOf(1, { memoryMb: 1_000 }));
  const part = { processors: 0.1, memoryMb: 200, command: LONG } as const;
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
  const archive = many(5, { team: 'b', workClass: 'archive', command: 'run ms=100' });
  submitAll(fleet, archive);
  submitAll(fleet, many(600, { team: 'a', command: 'run ms=100' }));
  fleet.step(8_000);
  expect(archive.map(({ id }) => stateOf(fleet, id))).toContain('finished');
});

test('a large task is not passed for ever by small ones of its team', () => {
  const fleet = fleetOf(workersOf(1));
  submitAll(fleet, many(8, { command: 'run ms=900' }));
  fleet.step(500);
  fleet.submit(taskOf({ id: 'large', processors: 8, command: 'run ms=100' }));
  for (let i = 0; i < 60; i += 1) {
    submitAll(fleet, many(4, { command: 'run ms=900' }));
    fleet.step(500);
  }
  expect(stateOf(fleet, 'large')).toBe('finished');
});

test('a wait is explained for a task and for a team, with its beginning', () => {
  const fleet = fleetOf(workersOf(1));
  submitAll(fleet, many(8, { team: 'a', processors: 1 }));
  fleet.step(1_000);
  fleet.submit(taskOf({ id: 'x', team: 'a', processors: 8 }));
  const since = fleet.now + 50;
  fleet.step(3_000);
  const why = fleet.decider.whyTask('x', fleet.now);
  expect(why?.waits).toEqual({ reason: 'capacity', since });
  const team = fleet.decider.whyTeam('a', fleet.now);
  expect(team?.waiting.normal).toBeGreaterThan(0);
  expect(team?.waits?.reason).toBeDefined();
  expect(leasedTo(fleet, 'x')).toEqual([]);
});
