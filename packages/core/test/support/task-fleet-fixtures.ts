import type { Resources, StopMode, TaskDecision, TaskSpec, TeamName } from '@turmerichoist/core';
import { TaskFleetSimulation, type TaskFleetSimulationOptions } from '@turmerichoist/stand-ins';
import { NO_LIMIT, POOL, configOf, type TeamShape, type WorkerShape } from './task-fixtures.js';

export const TEAMS: readonly TeamShape[] = [{ name: 'a' }, { name: 'b' }];

/** Creates a fleet in which every team may use all workers. */
export function fleetOf(
  workers: readonly WorkerShape[],
  teams: readonly TeamShape[] = TEAMS,
  options: Partial<TaskFleetSimulationOptions> = {},
): TaskFleetSimulation {
  const cfg = configOf(workers, teams);
  const allowances = allowAll(teams);
  return new TaskFleetSimulation({ pool: POOL, cfg, allowances, ...options });
}

export function allowAll(
  teams: readonly TeamShape[],
  changes: Readonly<Record<TeamName, Partial<Resources>>> = {},
): ReadonlyMap<TeamName, Resources> {
  return new Map(teams.map(({ name }) => [name, { ...NO_LIMIT, ...changes[name] }]));
}

/** Workers `w0`, `w1`, ... distributed over zones `z1` to `z3`. */
export function workersOf(count: number, shape: Partial<WorkerShape> = {}): readonly WorkerShape[] {
  return Array.from({ length: count }, (_, i) => ({
    name: `w${i}`,
    zone: `z${(i % 3) + 1}`,
    ...shape,
  }));
}

export function submitAll(fleet: TaskFleetSimulation, tasks: readonly TaskSpec[]): void {
  for (const task of tasks) {
    fleet.submit(task);
  }
}

type Of<T extends TaskDecision['type']> = Extract<TaskDecision, { type: T }>;

export function decisionsOf<T extends TaskDecision['type']>(
  fleet: TaskFleetSimulation,
  type: T,
): readonly Of<T>[] {
  return fleet.decisions.flatMap(({ decision }) =>
    decision.type === type ? [decision as Of<T>] : [],
  );
}

/** Workers to which the task was leased, in the order of the leases. */
export function leasedTo(fleet: TaskFleetSimulation, id: string): readonly string[] {
  return decisionsOf(fleet, 'lease').flatMap(({ worker, leases }) =>
    leases.some((order) => order.id === id) ? [worker] : [],
  );
}

/** Stop orders of the given modes, in order, formatted as `mode id`. */
export function stopsOf(
  fleet: TaskFleetSimulation,
  ...modes: readonly StopMode[]
): readonly string[] {
  return decisionsOf(fleet, 'stop')
    .filter(({ mode }) => modes.includes(mode))
    .map(({ mode, id }) => `${mode} ${id}`);
}

export function stateOf(fleet: TaskFleetSimulation, id: string): string | undefined {
  return fleet.decider.explainTask(id, fleet.now)?.state;
}
