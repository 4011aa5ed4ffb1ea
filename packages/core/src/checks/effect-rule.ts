import { FleetView, groupBy } from '../fleet/fleet-view.js';
import { selectInstances } from '../fleet/plan-groups.js';
import { resourceKey, type Configuration } from '../resources/index.js';
import type { ConfigurationDifference } from './differences.js';

/** What a difference affects. */
export type EffectKind = 'team' | 'queue' | 'key-withdrawn' | 'running-work' | 'plan';

/** One thing that a difference affects, and how. */
export interface Effect {
  readonly kind: EffectKind;
  /** The resource that is affected, as `kind/name`. */
  readonly resource: string;
  readonly message: string;
}

/** The configurations before and after, with the look-ups that several classes need. */
export class EffectContext {
  readonly before: Configuration;
  readonly after: Configuration;
  readonly #queuesByPool: ReadonlyMap<string, readonly string[]>;
  readonly #poolsByZone: ReadonlyMap<string, readonly string[]>;
  #teamsByKey: ReadonlyMap<string, string> | undefined;
  #plansByMember: ReadonlyMap<string, readonly string[]> | undefined;

  constructor(before: Configuration, after: Configuration) {
    this.before = before;
    this.after = after;
    this.#queuesByPool = namesByGroup(
      [...before.list('queue'), ...after.list('queue')],
      (queue) => [queue.spec.pool, queue.name],
    );
    const upstreams = [...before.list('upstream'), ...after.list('upstream')];
    this.#poolsByZone = namesByGroup(upstreams, ({ spec }) => [spec.zone, spec.pool]);
  }

  /** Names of the queues that the pool serves, before or after. */
  queuesOfPool(pool: string): readonly string[] {
    return this.#queuesByPool.get(pool) ?? [];
  }

  /** Names of the pools that have upstreams in the zone, before or after. */
  poolsInZone(zone: string): readonly string[] {
    return this.#poolsByZone.get(zone) ?? [];
  }

  /** Name of the team for which a key is valid after the change. */
  teamOfKey(sha256: string): string | undefined {
    this.#teamsByKey ??= new Map(
      this.after
        .list('team')
        .flatMap(({ name, spec }) =>
          spec.keys.filter(({ withdrawn }) => !withdrawn).map((key) => [key.sha256, name] as const),
        ),
    );
    return this.#teamsByKey.get(sha256);
  }

  /** Names of the plans that select this instance, or an instance of this pool, before or after. */
  plansOf(kind: 'instance' | 'pool', name: string): readonly string[] {
    this.#plansByMember ??= namesByGroup(
      [...plannedMembers(this.before), ...plannedMembers(this.after)],
      (entry) => entry,
    );
    return this.#plansByMember.get(resourceKey(kind, name)) ?? [];
  }
}

/** Pairs of an instance or pool and a plan that takes it down. */
function plannedMembers(cfg: Configuration): readonly (readonly [string, string])[] {
  const view = new FleetView();
  view.configure(cfg);
  return cfg
    .list('plan')
    .flatMap(({ name: plan, spec: { select } }) =>
      selectInstances(view, select).flatMap(({ name, spec }) => [
        [resourceKey('instance', name), plan] as const,
        [resourceKey('pool', spec.pool), plan] as const,
      ]),
    );
}

function namesByGroup<T>(
  items: readonly T[],
  entryOf: (item: T) => readonly [group: string, name: string],
): ReadonlyMap<string, readonly string[]> {
  const groups = groupBy(items.map(entryOf), ([group]) => group);
  return new Map(
    [...groups].map(([group, entries]) => [group, [...new Set(entries.map(([, name]) => name))]]),
  );
}

/** Finds what a difference affects in one respect. */
export interface EffectRule {
  effects(difference: ConfigurationDifference, context: EffectContext): readonly Effect[];
}
