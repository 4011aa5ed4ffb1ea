import type { InstanceName, ZoneName } from '../types/index.js';
import { fitsIn } from './resource-arithmetic.js';
import type { Resources, TaskConstraints } from './model.js';

/** Properties of a worker that the index uses. */
export interface IndexedWorker {
  readonly name: InstanceName;
  readonly zone: ZoneName;
  readonly labels: Readonly<Record<string, string>>;
  readonly capacity: Resources;
}

interface Entry {
  readonly name: InstanceName;
  readonly available: Resources;
  readonly cpuOnlyAvailable: Resources;
  readonly cpuOnlyLevel: number;
  readonly group: Group;
}

/** Workers of one zone with the same labels, either all with or all without accelerators. */
interface Group {
  readonly zone: ZoneName;
  readonly labels: Readonly<Record<string, string>>;
  readonly accelerated: boolean;
  readonly capacities: Resources[];
  /** Workers by whole processors available to tasks without accelerators. */
  readonly byProcessors: Set<InstanceName>[];
  /** Workers by free accelerators. */
  readonly byAccelerators: Set<InstanceName>[];
}

/**
 * Workers by available resources, so that the best fit is found without a scan of the fleet. There
 * are few groups (zones times distinct label sets); within a group, workers are bucketed by
 * available processors and by available accelerators.
 */
export class PlacementIndex {
  readonly #groups = new Map<string, Group>();
  readonly #groupOf = new Map<InstanceName, Group>();
  readonly #entries = new Map<InstanceName, Entry>();
  readonly #matching = new Map<string, readonly Group[]>();

  /** Replaces all workers. None is a candidate until it is `put`. */
  rebuild(workers: Iterable<IndexedWorker>): void {
    this.#groups.clear();
    this.#groupOf.clear();
    this.#entries.clear();
    this.#matching.clear();
    for (const worker of workers) {
      const group = this.#groupFor(worker);
      this.#groupOf.set(worker.name, group);
      if (!group.capacities.some((known) => sameAmounts(known, worker.capacity))) {
        group.capacities.push(worker.capacity);
      }
    }
  }

  put(worker: IndexedWorker, available: Resources, cpuOnlyAvailable: Resources): void {
    const group = this.#groupOf.get(worker.name);
    if (group === undefined) {
      return;
    }
    this.remove(worker.name);
    const cpuOnlyLevel = Math.max(0, Math.floor(cpuOnlyAvailable.processors));
    this.#entries.set(worker.name, {
      name: worker.name,
      available,
      cpuOnlyAvailable,
      cpuOnlyLevel,
      group,
    });
    bucketAt(group.byProcessors, cpuOnlyLevel).add(worker.name);
    if (group.accelerated) {
      bucketAt(group.byAccelerators, available.accelerators).add(worker.name);
    }
  }

  remove(name: InstanceName): void {
    const entry = this.#entries.get(name);
    if (entry !== undefined) {
      this.#entries.delete(name);
      entry.group.byProcessors[entry.cpuOnlyLevel]?.delete(name);
      entry.group.byAccelerators[entry.available.accelerators]?.delete(name);
    }
  }

  /** Distinct capacities of all matching workers, schedulable or not. */
  capacities(constraints: TaskConstraints): readonly Resources[] {
    return this.#groupsFor(constraints).flatMap(({ capacities }) => capacities);
  }

  matches(name: InstanceName, constraints: TaskConstraints): boolean {
    const group = this.#groupOf.get(name);
    return group !== undefined && matches(group, constraints);
  }

  /**
   * Returns the indexed worker on which the fewest processors are left over. Tasks without
   * accelerators go to workers with accelerators only if no other worker fits.
   */
  bestFit(
    size: Resources,
    constraints: TaskConstraints,
    excluded: readonly InstanceName[],
  ): InstanceName | undefined {
    const groups = this.#groupsFor(constraints);
    if (size.accelerators > 0) {
      return this.#tightest(groups, (group) => this.#searchByAccelerators(group, size, excluded));
    }
    const cpuOnly = groups.filter(({ accelerated }) => !accelerated);
    const others = groups.filter(({ accelerated }) => accelerated);
    const search = (group: Group): Entry | undefined =>
      this.#searchByProcessors(group, size, excluded);
    return this.#tightest(cpuOnly, search) ?? this.#tightest(others, search);
  }

  #tightest(
    groups: readonly Group[],
    search: (group: Group) => Entry | undefined,
  ): InstanceName | undefined {
    let best: Entry | undefined;
    for (const group of groups) {
      const found = search(group);
      if (found !== undefined && (best === undefined || tighter(found, best))) {
        best = found;
      }
    }
    return best?.name;
  }

  #searchByProcessors(
    group: Group,
    size: Resources,
    excluded: readonly InstanceName[],
  ): Entry | undefined {
    const levels = group.byProcessors;
    for (let level = Math.floor(size.processors); level < levels.length; level += 1) {
      const entry = this.#firstFit(
        levels[level],
        (e) => fitsIn(size, e.cpuOnlyAvailable),
        excluded,
      );
      if (entry !== undefined) {
        return entry;
      }
    }
    return undefined;
  }

  #searchByAccelerators(
    group: Group,
    size: Resources,
    excluded: readonly InstanceName[],
  ): Entry | undefined {
    const levels = group.byAccelerators;
    for (let free = size.accelerators; free < levels.length; free += 1) {
      const entry = this.#firstFit(levels[free], (e) => fitsIn(size, e.available), excluded);
      if (entry !== undefined) {
        return entry;
      }
    }
    return undefined;
  }

  #firstFit(
    names: ReadonlySet<InstanceName> | undefined,
    fits: (entry: Entry) => boolean,
    excluded: readonly InstanceName[],
  ): Entry | undefined {
    for (const name of names ?? []) {
      const entry = this.#entries.get(name);
      if (entry !== undefined && fits(entry) && !excluded.includes(name)) {
        return entry;
      }
    }
    return undefined;
  }

  #groupFor(worker: IndexedWorker): Group {
    const accelerated = worker.capacity.accelerators > 0;
    const key = JSON.stringify([worker.zone, sortedLabels(worker.labels), accelerated]);
    const known = this.#groups.get(key);
    if (known !== undefined) {
      return known;
    }
    const { zone, labels } = worker;
    const buckets = { capacities: [], byProcessors: [], byAccelerators: [] };
    const group: Group = { zone, labels, accelerated, ...buckets };
    this.#groups.set(key, group);
    return group;
  }

  #groupsFor(constraints: TaskConstraints): readonly Group[] {
    const key = constraintKey(constraints);
    const known = this.#matching.get(key);
    if (known !== undefined) {
      return known;
    }
    const found = [...this.#groups.values()].filter((group) => matches(group, constraints));
    this.#matching.set(key, found);
    return found;
  }
}

/** Key that is equal for equivalent constraints, regardless of order. */
export function constraintKey(constraints: TaskConstraints): string {
  const { zones, labels } = constraints;
  if (zones === undefined && labels === undefined) {
    return '';
  }
  return JSON.stringify([zones?.toSorted() ?? null, sortedLabels(labels ?? {})]);
}

function sortedLabels(labels: Readonly<Record<string, string>>): readonly [string, string][] {
  return Object.entries(labels).sort(([a], [b]) => (a < b ? -1 : 1));
}

function matches(group: Group, { zones, labels }: TaskConstraints): boolean {
  const zoneAllowed = zones?.includes(group.zone) ?? true;
  return (
    zoneAllowed &&
    Object.entries(labels ?? {}).every(([name, value]) => group.labels[name] === value)
  );
}

function tighter(a: Entry, b: Entry): boolean {
  return a.available.processors < b.available.processors;
}

function sameAmounts(a: Resources, b: Resources): boolean {
  return fitsIn(a, b) && fitsIn(b, a);
}

function bucketAt(levels: Set<InstanceName>[], level: number): Set<InstanceName> {
  for (let missing = levels.length; missing <= level; missing += 1) {
    levels.push(new Set());
  }
  return levels[level] ?? new Set();
}
