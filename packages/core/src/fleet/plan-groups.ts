import type { InstanceSpec, PlanSpec } from '../resources/index.js';
import type { InstanceName, PoolName } from '../types/index.js';
import { compareNames, groupBy, type FleetInstance, type FleetView } from './fleet-view.js';

/** Instances that a plan takes down together: all of them or none. */
export interface PlanGroup {
  readonly name: string;
  readonly instances: readonly FleetInstance[];
}

/** Instances that match all given criteria of a selection. An empty selection matches none. */
export function selectInstances(
  view: FleetView,
  select: PlanSpec['select'],
): readonly FleetInstance[] {
  return view.instances().filter(({ spec }) => isSelected(spec, select));
}

/** Whether an instance matches all given criteria of a selection. */
export function isSelected(
  { rack, zone, labels }: InstanceSpec,
  select: PlanSpec['select'],
): boolean {
  const isEmpty =
    select.racks === undefined && select.zones === undefined && select.labels === undefined;
  return (
    !isEmpty &&
    (select.racks?.includes(rack) ?? true) &&
    (select.zones?.includes(zone) ?? true) &&
    (select.labels === undefined || hasLabels(labels, select.labels))
  );
}

function hasLabels(labels: InstanceSpec['labels'], wanted: InstanceSpec['labels']): boolean {
  return Object.entries(wanted).every(([name, value]) => labels[name] === value);
}

/** A plan for racks takes whole racks; any other plan takes single instances. */
export function groupsOf(
  byRack: boolean,
  instances: readonly FleetInstance[],
): readonly PlanGroup[] {
  if (!byRack) {
    return instances.map((instance) => ({ name: instance.name, instances: [instance] }));
  }
  const racks = groupBy(instances, (instance) => instance.spec.rack);
  return [...racks]
    .sort(([a], [b]) => compareNames(a, b))
    .map(([name, members]) => ({ name, instances: members }));
}

export function poolsOf(instances: readonly FleetInstance[]): readonly PoolName[] {
  return [...new Set(instances.map((instance) => instance.spec.pool))].sort(compareNames);
}

/**
 * Orders groups so that those that need the scarcest budget start first. The pool with the most
 * remaining instances per unit of budget determines when the plan can end.
 */
export function orderByScarcity(
  groups: readonly PlanGroup[],
  view: FleetView,
): readonly PlanGroup[] {
  const rounds = roundsLeft(groups, view);
  const weight = (group: PlanGroup): number =>
    Math.max(...group.instances.map(({ spec }) => rounds.get(spec.pool) ?? 0));
  const weights = new Map(groups.map((group) => [group.name, weight(group)]));
  return [...groups].sort((a, b) => {
    const byWeight = (weights.get(b.name) ?? 0) - (weights.get(a.name) ?? 0);
    return byWeight || b.instances.length - a.instances.length || compareNames(a.name, b.name);
  });
}

function roundsLeft(groups: readonly PlanGroup[], view: FleetView): ReadonlyMap<PoolName, number> {
  const instances = groups.flatMap((group) => group.instances);
  const byPool = groupBy(instances, (instance) => instance.spec.pool);
  const rounds = [...byPool].map(([pool, members]) => {
    const limit = view.pool(pool)?.budget.maxUnavailable ?? 0;
    return [pool, members.length / Math.max(limit, 1)] as const;
  });
  return new Map(rounds);
}

export function namesOf(instances: readonly FleetInstance[]): readonly InstanceName[] {
  return instances.map((instance) => instance.name);
}
