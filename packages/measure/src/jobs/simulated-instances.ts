import type { ExecutorId, ExecutorInfo, PoolInstance, PoolName } from '@turmerichoist/core';

export const STANDBY_POOL: PoolName = 'standby';

interface SimulatedInstance extends PoolInstance {
  /** What its executors have in common; they differ by id and pool. */
  readonly template: ExecutorInfo;
  readonly moves: number;
}

/** The instances of a simulated fleet, which run one executor each unless they are on standby. */
export class SimulatedInstances {
  readonly #instances = new Map<string, SimulatedInstance>();

  /** `standby`: number of further instances, which are switched off. */
  constructor(executors: readonly ExecutorInfo[], standby: number) {
    executors.forEach((info) => {
      this.#add(`on-${info.id}`, info, info.pool, info.id);
    });
    const [template] = executors;
    for (let index = 0; index < standby && template !== undefined; index += 1) {
      this.#add(`standby-${index}`, template, STANDBY_POOL, undefined);
    }
  }

  list(): readonly PoolInstance[] {
    return [...this.#instances.values()].map(
      ({ name, pool, state, zone, rack, capacity, executor }) => {
        return { name, pool, state, zone, rack, capacity, executor };
      },
    );
  }

  /** Number of instances in pools that are switched on, also of those on their way there. */
  get switchedOn(): number {
    return [...this.#instances.values()].filter(({ pool }) => pool !== STANDBY_POOL).length;
  }

  /** Begins a move. Returns the executor that ends by it; undefined if there is none. */
  beginMove(name: string, pool: PoolName): ExecutorId | undefined {
    const instance = this.#instances.get(name);
    if (instance === undefined) {
      return undefined;
    }
    const moves = instance.moves + 1;
    this.#instances.set(name, { ...instance, pool, state: 'moving', executor: undefined, moves });
    return instance.executor;
  }

  /** Ends a move. Returns the executor that begins; undefined on standby. */
  endMove(name: string): ExecutorInfo | undefined {
    const instance = this.#instances.get(name);
    if (instance === undefined) {
      return undefined;
    }
    const { pool, moves, template } = instance;
    const executor = pool === STANDBY_POOL ? undefined : `${name}-${moves}`;
    this.#instances.set(name, { ...instance, state: 'up', executor });
    return executor === undefined ? undefined : { ...template, id: executor, pool };
  }

  #add(name: string, template: ExecutorInfo, pool: PoolName, executor?: ExecutorId): void {
    const { zone, rack, capacity } = template;
    const state = 'up';
    this.#instances.set(name, {
      name,
      pool,
      state,
      zone,
      rack,
      capacity,
      executor,
      template,
      moves: 0,
    });
  }
}
