import { expect, test } from '@jest/globals';
import {
  TASK_BATCH_MAX_EVENTS,
  TASK_BATCH_INTERVAL_MS,
  TaskDecider,
  TaskStore,
} from '@turmerichoist/core';
import {
  decisionsOf,
  fleetOf,
  stateOf,
  submitAll,
  workersOf,
} from './support/task-fleet-fixtures.js';
import { POOL, taskOf } from './support/task-fixtures.js';

test('nothing is answered or leased before its event is in the log', () => {
  const fleet = fleetOf(workersOf(1));
  fleet.stallsAppends = true;
  fleet.submit(taskOf({ id: 'x' }));
  fleet.step(1_000);
  expect([fleet.answers.length, decisionsOf(fleet, 'lease').length]).toEqual([0, 0]);
  expect(stateOf(fleet, 'x')).toBeUndefined();
  fleet.stallsAppends = false;
  fleet.step(500);
  expect([fleet.answers.length, decisionsOf(fleet, 'lease').length]).toEqual([1, 1]);
});

test('ten thousand cancellations complete within 3 s without exceeding the batch limits', () => {
  const fleet = fleetOf(workersOf(4));
  const tasks = Array.from({ length: 10_000 }, () => taskOf({ zones: ['z1'], processors: 8 }));
  submitAll(fleet, tasks);
  fleet.step(3_000);
  const before = decisionsOf(fleet, 'append').length;
  const from = fleet.now;
  fleet.cancel(
    'a',
    tasks.map(({ id }) => id),
  );
  fleet.step(3_000);
  const answer = fleet.answers.find(({ type }) => type === 'cancelled');
  const states = answer?.type === 'cancelled' ? answer.states.map(({ state }) => state) : [];
  expect(states.filter((state) => state === 'cancelled').length).toBeGreaterThanOrEqual(9_990);
  const appends = fleet.decisions.filter(({ decision }) => decision.type === 'append');
  const batches = appends.slice(before).map(({ decision }) => decision);
  const sizes = batches.map((batch) => (batch.type === 'append' ? batch.events.length : 0));
  expect(Math.max(...sizes)).toBeLessThanOrEqual(TASK_BATCH_MAX_EVENTS);
  const times = appends.map(({ at }) => at).filter((at) => at >= from);
  const gaps = times.slice(1).map((at, i) => at - (times[i] ?? 0));
  expect(Math.min(...gaps)).toBeGreaterThanOrEqual(TASK_BATCH_INTERVAL_MS);
});

test('a write with an unknown outcome is retried under the same number and not appended twice', () => {
  const fleet = fleetOf(workersOf(1));
  fleet.stallsAppends = true;
  fleet.submit(taskOf());
  fleet.dispatch({ type: 'append-unknown', epoch: 1, batch: 0 });
  fleet.step(500);
  const appends = decisionsOf(fleet, 'append');
  expect(appends.map(({ batch }) => batch)).toEqual([0, 0]);
  expect(appends[1]?.events).toEqual(appends[0]?.events);
});

test('an append result of a former ownership neither ends nor confirms the current one', () => {
  const fleet = fleetOf(workersOf(1));
  fleet.stallsAppends = true;
  fleet.submit(taskOf());
  fleet.dispatch({ type: 'append-rejected', epoch: 0, batch: 0, cause: 'not-owner' });
  fleet.dispatch({ type: 'append-confirmed', epoch: 0, batch: 0 });
  expect(fleet.decider.explainTeam('a', fleet.now)).toBeDefined();
  expect(fleet.answers).toEqual([]);
});

test('a submission that may have been written is refused with outcome-unknown, not with not-owner', () => {
  const fleet = fleetOf(workersOf(1));
  fleet.stallsAppends = true;
  fleet.submit(taskOf());
  fleet.submit(taskOf());
  fleet.dispatch({ type: 'append-rejected', epoch: 1, batch: 0, cause: 'not-owner' });
  fleet.submit(taskOf());
  const kinds = fleet.answers.map((answer) => answer.type === 'refused' && answer.err.kind);
  expect(kinds).toEqual(['outcome-unknown', 'not-owner', 'not-owner']);
});

test('the replay of the log stays bounded and gives the same state', () => {
  const fleet = fleetOf(workersOf(8));
  for (let round = 0; round < 24; round += 1) {
    submitAll(
      fleet,
      Array.from({ length: 200 }, () => taskOf({ command: 'run ms=100', processors: 0.25 })),
    );
    fleet.step(2_000);
  }
  fleet.step(10_000);
  const appends = decisionsOf(fleet, 'append');
  const from = Math.max(...appends.map(({ dropBefore }) => dropBefore ?? 0));
  expect(from).toBeGreaterThan(0);
  const full = new TaskStore();
  const short = new TaskStore();
  appends.flatMap(({ events }) => events).forEach((event) => full.apply(event));
  appends
    .filter(({ batch }) => batch >= from)
    .flatMap(({ events }) => events)
    .forEach((event) => short.apply(event));
  const sorted = (store: TaskStore): readonly string[] =>
    [...store.records()].map((record) => JSON.stringify(record)).sort();
  expect(sorted(short)).toEqual(sorted(full));
});

test('a new owner recovers every task from the log', () => {
  const fleet = fleetOf(workersOf(2));
  submitAll(fleet, [
    taskOf({ id: 'x', command: 'run ms=60000' }),
    taskOf({ id: 'y', processors: 9 }),
  ]);
  fleet.step(1_000);
  const next = new TaskDecider(POOL);
  next.handle({ type: 'ownership-gained', epoch: 2, log: fleet.log, nextBatch: 9 }, 0);
  expect(next.explainTask('x', 0)).toMatchObject({
    state: 'leased',
    waits: { reason: 'worker-answer' },
  });
  expect(next.explainTask('y', 0)?.state).toBe('infeasible');
});
