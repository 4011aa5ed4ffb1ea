import type { InstanceName, Millis, PoolName, ZoneName } from '../types/index.js';
import { groupBy, type FleetInstance } from './fleet-view.js';
import type { ZoneProgress } from './messages.js';
import type { RoundContext } from './round-context.js';
import type { BudgetEntry, BudgetRow, ZoneRamp } from './rows.js';
import type { FleetWaitReason } from './wait-reasons.js';

/** Fraction of a pool's instances in a zone that may start work as soon as the zone returns. */
const RAMP_FIRST_FRACTION = 1 / 8;
/** Factor by which each step multiplies the number of opened instances. */
const RAMP_GROWTH_FACTOR = 2;
/** Time between two steps. Leaves time for caches to fill and for failures to be reported. */
export const RAMP_STEP_MS = 15_000;

/** Takes availability zones out of service and brings them back gradually. */
export class ZoneController {
  readonly #lastStepAt = new Map<string, Millis>();

  /** Sets the ramps of zones that are out and advances those of zones that return. */
  updateRamps(context: RoundContext): void {
    const { batch, role, view } = context;
    const zones = groupBy(view.instancesOf(role), (instance) => instance.spec.zone);
    const row = batch.budget(role);
    const next = this.#nextRamps(row, zones, context);
    if (JSON.stringify(next) !== JSON.stringify(row.ramps)) {
      batch.editBudget(role, (current) => ({ ...current, ramps: next }));
    }
  }

  /** Acquires budget to drain the instances of zones that are out. */
  acquireDrains(context: RoundContext): void {
    const { batch, role, view, waits, now } = context;
    for (const instance of view.instancesOf(role)) {
      const { zone } = instance.spec;
      if (
        !view.isZoneOut(zone) ||
        !view.isUp(instance.name) ||
        hasPlannedEntry(instance, batch.budget(role))
      ) {
        continue;
      }
      const reason = batch.tryAcquire({ instances: [instance], cause: `zone/${zone}` });
      if (reason !== undefined) {
        waits.record({ kind: 'instance', name: instance.name }, reason, now);
        waits.record({ kind: 'pool', name: role }, reason, now);
      }
    }
  }

  /** Returns why a drained instance must stay out of service because of its zone, if it must. */
  holdReason(entry: BudgetEntry, context: RoundContext): FleetWaitReason | undefined {
    const instance = context.view.instance(entry.instance);
    if (instance === undefined) {
      return undefined;
    }
    const { zone, pool } = instance.spec;
    if (context.view.isZoneOut(zone)) {
      return { type: 'zone-out', zone };
    }
    const row = context.batch.budget(pool);
    return isOpened(instance, row, context.view.instancesOf(pool))
      ? undefined
      : { type: 'zone-ramp', zone };
  }

  /** Progress of each zone of the pool that is leaving, out or returning. */
  report({
    ledger,
    role,
    view,
  }: Pick<RoundContext, 'ledger' | 'role' | 'view'>): readonly ZoneProgress[] {
    const row = ledger.budget(role);
    return row.ramps.map(({ zone, opened }) => {
      const members = view.instancesOf(role).filter((each) => each.spec.zone === zone);
      const drained = row.taken.filter((entry) => entry.cause === `zone/${zone}`).length;
      const up = members.filter((each) => view.isUp(each.name)).length;
      const state = !view.isZoneOut(zone) ? 'returning' : drained < up ? 'leaving' : 'out';
      return { pool: role, zone, state, instances: members.length, drained, opened };
    });
  }

  forget(role: PoolName): void {
    for (const key of this.#lastStepAt.keys()) {
      if (key.startsWith(`${role} `)) {
        this.#lastStepAt.delete(key);
      }
    }
  }

  #nextRamps(
    row: BudgetRow,
    zones: ReadonlyMap<ZoneName, readonly FleetInstance[]>,
    context: RoundContext,
  ): readonly ZoneRamp[] {
    const next: ZoneRamp[] = [];
    for (const [zone, members] of zones) {
      const ramp = row.ramps.find((each) => each.zone === zone);
      if (context.view.isZoneOut(zone)) {
        next.push({ zone, opened: 0 });
      } else if (ramp !== undefined) {
        next.push(...this.#advance(ramp, members.length, context));
      }
    }
    return next.sort((a, b) => (a.zone < b.zone ? -1 : 1));
  }

  /** Returns the ramp after the step that is due, if any; empty once the whole zone is open. */
  #advance(ramp: ZoneRamp, size: number, context: RoundContext): readonly ZoneRamp[] {
    if (!this.#isStepDue(ramp, context)) {
      return [ramp];
    }
    const first = Math.ceil(size * RAMP_FIRST_FRACTION);
    const opened = Math.max(first, ramp.opened * RAMP_GROWTH_FACTOR);
    return opened >= size ? [] : [{ zone: ramp.zone, opened }];
  }

  /** The first step is due at once. A new owner waits a full step time before the next one. */
  #isStepDue(ramp: ZoneRamp, { role, now, batch }: RoundContext): boolean {
    const key = `${role} ${ramp.zone}`;
    const last = this.#lastStepAt.get(key);
    if (last === undefined) {
      this.#lastStepAt.set(key, now);
    }
    const elapsed = last !== undefined && now - last >= RAMP_STEP_MS;
    const due = (ramp.opened === 0 || elapsed) && batch.canEdit(`budget/${role}`);
    if (due) {
      this.#lastStepAt.set(key, now);
    }
    return due;
  }
}

/** True unless a ramp of the instance's zone keeps it from starting work. */
export function isOpened(
  instance: FleetInstance,
  row: BudgetRow,
  poolInstances: readonly FleetInstance[],
): boolean {
  const { zone } = instance.spec;
  const ramp = row.ramps.find((each) => each.zone === zone);
  if (ramp === undefined) {
    return true;
  }
  const position = poolInstances
    .filter((each) => each.spec.zone === zone)
    .findIndex((each) => each.name === instance.name);
  return position < ramp.opened;
}

function hasPlannedEntry(instance: FleetInstance, row: BudgetRow): boolean {
  return row.taken.some((entry) => entry.instance === instance.name && entry.cause !== 'failure');
}

/** Instances of the pool that may not start work because of their zone. */
export function unschedulableByZone(
  poolInstances: readonly FleetInstance[],
  row: BudgetRow,
  isZoneOut: (zone: ZoneName) => boolean,
): ReadonlySet<InstanceName> {
  const unschedulable = poolInstances.filter((instance) => {
    return isZoneOut(instance.spec.zone) || !isOpened(instance, row, poolInstances);
  });
  return new Set(unschedulable.map((instance) => instance.name));
}
