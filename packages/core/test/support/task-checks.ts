import { expect } from '@jest/globals';
import { TaskStore, type Millis } from '@turmerichoist/core';
import type { TaskRun } from '@turmerichoist/stand-ins';
import { LOW_LIMIT, type Scenario } from './task-scenario.js';
import { STEP_MS } from './task-simulation.js';

/** A change takes effect within the freshness limit; an order may be in transit for 2 s more. */
const PROPAGATION_MS = 8_000 + 2_100 + 2 * STEP_MS;

interface ObservedRun extends TaskRun {
  readonly zone: string;
  readonly start: Millis;
  readonly end: Millis;
}

export function collectRuns({ simulation }: Scenario): readonly ObservedRun[] {
  const runs = simulation.workers.flatMap((worker) =>
    worker.model.runs.map((run) => ({
      ...run,
      zone: worker.zone,
      start: worker.trueTime(run.startedAt),
      end: run.endedAt === undefined ? Infinity : worker.trueTime(run.endedAt),
    })),
  );
  return runs.sort((a, b) => a.start - b.start);
}

function groupByTask(runs: readonly ObservedRun[]): ReadonlyMap<string, readonly ObservedRun[]> {
  const groups = new Map<string, ObservedRun[]>();
  for (const run of runs) {
    groups.set(run.id, [...(groups.get(run.id) ?? []), run]);
  }
  return groups;
}

/** Values that some member may still apply at `at`, since a newer one may not have reached it. */
function inForce<T extends { readonly at: Millis }>(
  changes: readonly T[],
  at: Millis,
): readonly T[] {
  return changes.filter((change, i) => {
    const next = changes[i + 1]?.at ?? Infinity;
    return change.at <= at && next + PROPAGATION_MS > at;
  });
}

/**
 * Checks that runs of a task never overlap, that a non-idempotent task is not run again, and that
 * no run starts after a cancellation or in a zone that is out.
 */
export function checkRuns(scenario: Scenario, runs: readonly ObservedRun[]): void {
  for (const [id, own] of groupByTask(runs)) {
    const task = scenario.tasks.get(id);
    for (const [i, run] of own.entries()) {
      const next = own[i + 1];
      if (next !== undefined) {
        expect(`${id} live until ${run.end}`).toBe(
          next.start >= run.end ? `${id} live until ${run.end}` : `copy started ${next.start}`,
        );
        const repeated = task?.idempotent === false && run.outcome !== 'checkpointed';
        expect([id, 'run again', repeated]).toEqual([id, 'run again', false]);
      }
      const cancelled = scenario.simulation.table.cancelledAt.get(id) ?? Infinity;
      expect(run.start).toBeLessThanOrEqual(cancelled);
      const zoneWasIn = inForce(scenario.zoneChanges, run.start).some(
        ({ out }) => !out.includes(run.zone),
      );
      expect([id, run.zone, zoneWasIn]).toEqual([id, run.zone, true]);
    }
  }
}

/** Checks that at no start the live runs of a team exceed the limits that may be in effect. */
export function checkLimits(scenario: Scenario, runs: readonly ObservedRun[]): void {
  for (const run of runs) {
    const team = scenario.tasks.get(run.id)?.team ?? '';
    const live = runs.filter(({ id, start, end }) => {
      const same = scenario.tasks.get(id)?.team === team;
      return same && start <= run.start && end > run.start;
    });
    const limits = inForce(scenario.limits, run.start).map(
      ({ teams }) => teams.get(team) ?? LOW_LIMIT,
    );
    for (const amount of ['processors', 'accelerators'] as const) {
      const used = live.reduce(
        (sum, { id }) => sum + (scenario.tasks.get(id)?.resources[amount] ?? 0),
        0,
      );
      const most = Math.max(...limits.map((limit) => limit[amount]));
      expect(used).toBeLessThanOrEqual(most);
    }
  }
}

/** True if a member owns the pool and every task in the log has ended. */
export function allEnded({ simulation }: Scenario): boolean {
  const events = simulation.table.events();
  const ended = new Set(events.flatMap((event) => (event.type === 'ended' ? [event.id] : [])));
  const owned = simulation.members.some(
    ({ decider }) => decider.explainTeam('a', simulation.now) !== undefined,
  );
  const open = events.some((event) => event.type === 'submitted' && !ended.has(event.task.id));
  return owned && !open;
}

/** Checks that every accepted task is in the log and has ended exactly once. */
export function checkEveryTaskEndsOnce(scenario: Scenario): void {
  const events = scenario.simulation.table.events();
  const accepted = new Set(
    events.flatMap((event) => (event.type === 'submitted' ? [event.task.id] : [])),
  );
  for (const { answer } of scenario.simulation.answers) {
    if (answer.type === 'accepted') {
      expect(accepted).toContain(answer.id);
    }
  }
  const store = new TaskStore();
  events.forEach((event) => store.apply(event));
  for (const id of accepted) {
    const ends = events.filter((event) => event.type === 'ended' && event.id === id);
    const { state, lease } = store.get(id) ?? {};
    expect({ id, ends: ends.length, state, lease }).toMatchObject({ id, ends: 1 });
  }
}
