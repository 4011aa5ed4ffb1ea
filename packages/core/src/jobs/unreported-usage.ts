import { NO_RESOURCES, add, minResources } from '../tasks/resource-arithmetic.js';
import type { Resources } from '../tasks/model.js';
import type { PoolName, TeamName } from '../types/index.js';

/** Resources of the tasks of a team in a pool that earlier owners may have started. */
export interface InheritedDemand {
  readonly all: Resources;
  /** Capacity that those of finite steps take. */
  readonly finite: Resources;
}

type ByPool<T> = ReadonlyMap<PoolName, T>;

/**
 * Upper bound of what teams have running under earlier owners that no report has listed yet: no more
 * than their tasks that may have been started, nor than the executors can run that have not reported.
 */
export class UnreportedUsage {
  /** Nothing runs that is not known. */
  static readonly NONE = new UnreportedUsage(new Map(), new Map());

  readonly #demand: ByPool<ReadonlyMap<TeamName, InheritedDemand>>;
  readonly #capacity: ByPool<Resources> | undefined;
  readonly #byTeam = new Map<TeamName, Resources>();

  /**
   * `demand`: what earlier owners may have started, by pool and team; `capacity`: that of the
   * executors that have not reported, by pool; undefined if unknown.
   */
  constructor(
    demand: ByPool<ReadonlyMap<TeamName, InheritedDemand>>,
    capacity: ByPool<Resources> | undefined,
  ) {
    this.#demand = demand;
    this.#capacity = capacity;
    demand.forEach((teams) => {
      teams.forEach(({ all }, team) => this.#byTeam.set(team, add(this.of(team), all)));
    });
    if (capacity !== undefined) {
      const total = [...capacity.values()].reduce(add, NO_RESOURCES);
      this.#byTeam.forEach((sum, team) => this.#byTeam.set(team, minResources(sum, total)));
    }
  }

  /** What may run of a team in all pools. An executor may run tasks of jobs that changed pools. */
  of(team: TeamName): Resources {
    return this.#byTeam.get(team) ?? NO_RESOURCES;
  }

  /** Capacity that finite tasks may take in a pool, by team. */
  inPool(pool: PoolName): ReadonlyMap<TeamName, Resources> {
    const teams = [...(this.#demand.get(pool) ?? [])];
    return new Map(teams.map(([team, { finite }]) => [team, this.#atMost(pool, finite)]));
  }

  /** Capacity that finite tasks of all teams together may take in a pool. */
  totalInPool(pool: PoolName): Resources {
    return this.#atMost(pool, [...this.inPool(pool).values()].reduce(add, NO_RESOURCES));
  }

  #atMost(pool: PoolName, demand: Resources): Resources {
    return this.#capacity === undefined
      ? demand
      : minResources(demand, this.#capacity.get(pool) ?? NO_RESOURCES);
  }
}
