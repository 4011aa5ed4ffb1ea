import { expect, test } from '@jest/globals';
import { LEASE_TTL_MS, type TaskLogEvent } from '@turmerichoist/core';
import { TaskFleetSimulation } from '@turmerichoist/stand-ins';
import {
  TEAMS,
  allowAll,
  fleetOf,
  leasedTo,
  stateOf,
  stopsOf,
  workersOf,
} from './support/task-fleet-fixtures.js';
import { POOL, configOf, taskOf } from './support/task-fixtures.js';

const LONG_COMMAND = 'run ms=600000';

function fleetWithRunningTask(idempotent: boolean): TaskFleetSimulation {
  const fleet = fleetOf(workersOf(2));
  fleet.submit(taskOf({ id: 'x', idempotent, command: LONG_COMMAND }));
  fleet.step(20_000);
  return fleet;
}

test('an idempotent task is started again only after its first lease must have expired', () => {
  const fleet = fleetWithRunningTask(true);
  const [first = ''] = leasedTo(fleet, 'x');
  fleet.unreachableWorkers.add(first);
  fleet.step(LEASE_TTL_MS - 1_000);
  expect(leasedTo(fleet, 'x')).toHaveLength(1);
  fleet.step(20_000);
  expect(leasedTo(fleet, 'x')).toHaveLength(2);
  const [run] = fleet.models.get(first)?.runs ?? [];
  fleet.models.get(first)?.advance(fleet.now);
  const ended = fleet.models.get(first)?.runs[0]?.endedAt ?? Infinity;
  const second = [...fleet.models.values()].flatMap(({ runs }) => runs).find((r) => r !== run);
  const other = fleet.decisions.filter(({ decision }) => decision.type === 'lease')[1];
  expect(second).toBeDefined();
  expect(other?.at).toBeGreaterThan(ended);
});

test('a non-idempotent task with an unknown outcome ends as unknown and is not run again', () => {
  const fleet = fleetWithRunningTask(false);
  fleet.unreachableWorkers.add(leasedTo(fleet, 'x')[0] ?? '');
  fleet.step(60_000);
  expect([stateOf(fleet, 'x'), leasedTo(fleet, 'x').length]).toEqual(['unknown', 1]);
});

test('the lease of a running task is renewed as long as the task runs', () => {
  const fleet = fleetWithRunningTask(true);
  fleet.step(60_000);
  expect([stateOf(fleet, 'x'), leasedTo(fleet, 'x').length]).toEqual(['running', 1]);
});

test('a task that was cancelled while its lease was being logged never starts', () => {
  const fleet = fleetOf(workersOf(1));
  fleet.submit(taskOf({ id: 'x' }));
  fleet.step(50);
  fleet.stallsAppends = true;
  fleet.step(50);
  expect(fleet.log.map(({ type }) => type)).toContain('leased');
  fleet.cancel('a', ['x']);
  fleet.stallsAppends = false;
  fleet.step(1_000);
  expect([stateOf(fleet, 'x'), leasedTo(fleet, 'x')]).toEqual(['cancelled', []]);
});

test('a running task is stopped when it is cancelled, and only by its own team', () => {
  const fleet = fleetWithRunningTask(true);
  fleet.cancel('b', ['x']);
  fleet.step(1_000);
  expect(stateOf(fleet, 'x')).toBe('running');
  fleet.cancel('a', ['x']);
  fleet.step(1_000);
  expect([stateOf(fleet, 'x'), stopsOf(fleet, 'stop')]).toEqual(['cancelled', ['stop x']]);
});

/** Plans a lease and applies `change` before the log confirms it. */
function changeWhileLogging(change: (fleet: TaskFleetSimulation) => void): TaskFleetSimulation {
  const fleet = fleetOf(workersOf(1));
  fleet.submit(taskOf({ id: 'x' }));
  fleet.step(50);
  fleet.stallsAppends = true;
  fleet.step(50);
  expect(fleet.log.some(({ type }) => type === 'leased')).toBe(true);
  change(fleet);
  fleet.stallsAppends = false;
  fleet.step(1_000);
  return fleet;
}

test('a zone that goes out while a lease is being logged gets no start', () => {
  const fleet = changeWhileLogging((changed) => {
    changed.dispatch({ type: 'config-changed', cfg: configOf(workersOf(1), TEAMS, ['z1']) });
  });
  expect([stateOf(fleet, 'x'), leasedTo(fleet, 'x')]).toEqual(['submitted', []]);
});

test('an instance that is cordoned while a lease is being logged gets no start', () => {
  const fleet = changeWhileLogging((changed) => {
    const cfg = configOf(workersOf(1, { cordoned: true }), TEAMS);
    changed.dispatch({ type: 'config-changed', cfg });
  });
  expect([stateOf(fleet, 'x'), leasedTo(fleet, 'x')]).toEqual(['submitted', []]);
});

test('an allowance that is lowered while a lease is being logged stops the start', () => {
  const fleet = changeWhileLogging((changed) => {
    changed.dispatch({ type: 'allowances', teams: allowAll(TEAMS, { a: { processors: 0 } }) });
  });
  expect([stateOf(fleet, 'x'), leasedTo(fleet, 'x')]).toEqual(['submitted', []]);
});

test('nothing starts on a configuration that is not confirmed, and nothing is sent without ownership', () => {
  const fleet = changeWhileLogging((changed) => {
    changed.confirmsFreshness = false;
    changed.dispatch({
      type: 'freshness',
      configUntil: changed.now,
      ownerUntil: changed.now + 500,
    });
  });
  expect(leasedTo(fleet, 'x')).toEqual([]);
  expect(fleet.decider.explainTask('x', fleet.now)?.waits?.reason).toBe('ownership');
  const running = fleetWithRunningTask(true);
  running.confirmsFreshness = false;
  const limit = running.now + 8_000;
  running.step(30_000);
  const late = running.decisions.filter(
    ({ at, decision }) => at >= limit && ['renew', 'stop', 'lease'].includes(decision.type),
  );
  expect(late).toEqual([]);
});

test('a running task is charged to a lowered allowance until it has ended', () => {
  const fleet = fleetOf(workersOf(2));
  fleet.submit(taskOf({ id: 'x', processors: 4, command: 'run ms=30000' }));
  fleet.step(1_000);
  fleet.dispatch({ type: 'allowances', teams: allowAll(TEAMS, { a: { processors: 4 } }) });
  fleet.submit(taskOf({ id: 'y', processors: 1 }));
  fleet.step(10_000);
  expect(leasedTo(fleet, 'y')).toEqual([]);
  expect(fleet.decider.explainTask('y', fleet.now)?.waits).toMatchObject({
    reason: 'team-allowance',
  });
  expect(fleet.decider.charges().get('a')).toMatchObject({ processors: 4 });
  fleet.step(30_000);
  expect(stateOf(fleet, 'y')).toBe('finished');
});

test('a lease that a former owner logged but never sent does not block its task indefinitely', () => {
  const task = taskOf({ id: 'x' });
  const lease = { worker: 'w0', ttlMs: LEASE_TTL_MS, resume: false, id: 'x' };
  const log: readonly TaskLogEvent[] = [
    { type: 'submitted', task },
    { type: 'leased', fence: { epoch: 1, sequence: 1 }, ...lease },
  ];
  const fleet = fleetOf(workersOf(1));
  fleet.dispatch({ type: 'ownership-gained', epoch: 2, log, nextBatch: 5 });
  fleet.submit(taskOf({ id: 'renewed', command: LONG_COMMAND }));
  fleet.step(LEASE_TTL_MS);
  expect(leasedTo(fleet, 'x')).toEqual([]);
  fleet.step(10_000);
  expect(stateOf(fleet, 'x')).toBe('finished');
});

test('a new owner renews the leases of running tasks, so that none is run again', () => {
  const fleet = fleetWithRunningTask(true);
  fleet.dispatch({ type: 'ownership-gained', epoch: 2, log: [...fleet.log], nextBatch: 50 });
  fleet.step(40_000);
  expect(stateOf(fleet, 'x')).toBe('running');
  expect([...fleet.models.values()].flatMap(({ runs }) => runs)).toHaveLength(1);
});

test('the tasks of a restarted worker are run again without waiting for their leases to expire', () => {
  const fleet = fleetWithRunningTask(true);
  const [first = ''] = leasedTo(fleet, 'x');
  fleet.models.get(first)?.reboot(fleet.now);
  fleet.step(1_000);
  expect(leasedTo(fleet, 'x')).toHaveLength(2);
});

test('a delayed report of a former worker process does not end the tasks of the current one', () => {
  const fleet = fleetOf(workersOf(1));
  const model = fleet.models.get('w0');
  const before = model?.report(0, fleet.now);
  fleet.step(1_000);
  model?.reboot(fleet.now);
  fleet.step(1_000);
  fleet.submit(taskOf({ id: 'x', command: LONG_COMMAND }));
  fleet.step(5_000);
  if (before !== undefined) {
    const report = { ...before, worker: 'w0', requestedAt: 0 };
    fleet.dispatch({ type: 'worker-report', report });
  }
  fleet.step(1_000);
  expect([stateOf(fleet, 'x'), leasedTo(fleet, 'x').length]).toEqual(['running', 1]);
});

test('a cancelled task is stopped without waiting for the next report', () => {
  const fleet = fleetOf(workersOf(1), TEAMS, { reportMs: 5_000 });
  fleet.submit(taskOf({ id: 'x', command: LONG_COMMAND }));
  fleet.step(5_500);
  fleet.cancel('a', ['x']);
  fleet.step(200);
  expect(stopsOf(fleet, 'stop')).toEqual(['stop x']);
});

test('a lease whose reply was lost is resolved by the next report, without a second run', () => {
  const cfg = configOf(workersOf(1), TEAMS);
  const fleet = new TaskFleetSimulation({ pool: POOL, cfg, allowances: allowAll(TEAMS) });
  fleet.submit(taskOf({ id: 'x', idempotent: false, command: 'run ms=2000' }));
  fleet.step(50);
  fleet.unreachableWorkers.add('w0');
  fleet.step(200);
  expect(leasedTo(fleet, 'x')).toHaveLength(1);
  fleet.unreachableWorkers.delete('w0');
  fleet.step(15_000);
  expect(stateOf(fleet, 'x')).toBe('finished');
  expect(fleet.models.get('w0')?.runs).toHaveLength(1);
});

test('a reported run without a lease is stopped', () => {
  const fleet = fleetOf(workersOf(1));
  const resources = { processors: 1, memoryMb: 1, accelerators: 0 };
  const fence = { epoch: 1, sequence: 99 };
  const order = { id: 'stray', fence, ttlMs: 60_000, validBeforeMs: Infinity, incarnation: '1' };
  fleet.models
    .get('w0')
    ?.lease({ ...order, command: LONG_COMMAND, resources, resume: false }, fleet.now);
  fleet.step(1_000);
  expect(fleet.models.get('w0')?.runs[0]?.outcome).toBe('stopped');
});
