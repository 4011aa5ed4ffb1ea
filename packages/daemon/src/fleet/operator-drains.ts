import type {
  Configuration,
  FleetEvent,
  InstanceName,
  PoolName,
  StoredRow,
} from '@turmerichoist/core';

type OperatorDrain = Extract<FleetEvent, { type: 'operator-drain' }>;

/** Derives operator drains from the cordons that the configuration declares. */
export class OperatorDrains {
  #cordoned: ReadonlySet<InstanceName> = new Set();

  /** The drains that a new configuration starts and ends. */
  configure(cfg: Configuration): readonly OperatorDrain[] {
    const before = this.#cordoned;
    this.#cordoned = cordonedInstances(cfg);
    return drainsBetween(before, this.#cordoned);
  }

  /** The drains that align the budget row of a pool with the configuration. */
  sync(pool: PoolName, rows: readonly StoredRow[], cfg: Configuration): readonly OperatorDrain[] {
    const row = rows.find(({ kind, name }) => kind === 'budget' && name === pool);
    const recorded = new Set(row?.kind === 'budget' ? row.value.requested : []);
    const wanted = new Set(
      [...this.#cordoned].filter((name) => cfg.get('instance', name)?.spec.pool === pool),
    );
    return drainsBetween(recorded, wanted);
  }
}

function drainsBetween(
  before: ReadonlySet<InstanceName>,
  after: ReadonlySet<InstanceName>,
): readonly OperatorDrain[] {
  const started = difference(after, before);
  const ended = difference(before, after);
  return [
    ...started.map((instance) => ({ type: 'operator-drain', instance, on: true }) as const),
    ...ended.map((instance) => ({ type: 'operator-drain', instance, on: false }) as const),
  ];
}

function difference(
  names: ReadonlySet<InstanceName>,
  others: ReadonlySet<InstanceName>,
): readonly InstanceName[] {
  return [...names].filter((name) => !others.has(name));
}

function cordonedInstances(cfg: Configuration): ReadonlySet<InstanceName> {
  const cordoned = cfg.list('instance').filter(({ spec }) => spec.cordoned);
  return new Set(cordoned.map(({ name }) => name));
}
