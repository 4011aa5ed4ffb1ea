import type { Configuration } from '../resources/index.js';
import { effectiveWeight } from '../requests/water-fill.js';
import type { TeamName } from '../types/index.js';
import {
  NO_RESOURCES,
  add,
  dominantShare,
  fitsIn,
  maxResources,
  minResources,
  subtract,
} from './resource-arithmetic.js';
import type { Resources } from './model.js';

interface TeamUsage {
  /** Resources reserved on workers, which determine the share. */
  size: Resources;
  /** Resources charged against the allowance. */
  charge: Resources;
  tasks: number;
}

/**
 * Weighted dominant resource fairness (DRF) between teams, and their allowances on this pool. A
 * task counts from the moment its lease is planned until the lease can no longer be live.
 */
export class ShareLedger {
  readonly #usages = new Map<TeamName, TeamUsage>();
  #weights: ReadonlyMap<TeamName, number> = new Map();
  #limits: ReadonlyMap<TeamName, Resources> = new Map();
  #allowances: ReadonlyMap<TeamName, Resources> = new Map();
  #capacity: Resources = NO_RESOURCES;

  configure(cfg: Configuration): void {
    const teams = cfg.list('team');
    this.#weights = new Map(teams.map(({ name, spec }) => [name, spec.share]));
    this.#limits = new Map(
      teams.map(({ name, spec: { limit } }) => {
        const { processors, memoryMb, accelerators } = limit;
        return [name, { processors, memoryMb, accelerators }];
      }),
    );
  }

  setCapacity(capacity: Resources): void {
    this.#capacity = capacity;
  }

  setAllowances(teams: ReadonlyMap<TeamName, Resources>): void {
    this.#allowances = teams;
  }

  /** Allowance of the team on this pool, at most the team's limit. */
  allowance(team: TeamName): Resources {
    const allowance = this.#allowances.get(team) ?? NO_RESOURCES;
    return minResources(allowance, this.#limits.get(team) ?? NO_RESOURCES);
  }

  limit(team: TeamName): Resources | undefined {
    return this.#limits.get(team);
  }

  weight(team: TeamName): number {
    return effectiveWeight(this.#weights.get(team));
  }

  /** Resources charged to a team. */
  charged(team: TeamName): Resources {
    return this.#usages.get(team)?.charge ?? NO_RESOURCES;
  }

  /** Resources charged to each team that has leases. */
  charges(): ReadonlyMap<TeamName, Resources> {
    return new Map([...this.#usages].map(([team, use]) => [team, use.charge]));
  }

  /**
   * Returns what a task counts against the allowance: the larger of its declared and expected size.
   * It is limited to the allowance if the declared size fits, so that the task can run alone.
   */
  chargeFor(team: TeamName, declared: Resources, size: Resources): Resources {
    return minResources(maxResources(declared, size), maxResources(declared, this.allowance(team)));
  }

  mayStart(team: TeamName, charge: Resources): boolean {
    return fitsIn(add(this.charged(team), charge), this.allowance(team));
  }

  /** False if the allowance was lowered below the charged resources. */
  isWithinAllowance(team: TeamName): boolean {
    return fitsIn(this.charged(team), this.allowance(team));
  }

  allocate(team: TeamName, size: Resources, charge: Resources): void {
    const use = this.#usages.get(team) ?? { size: NO_RESOURCES, charge: NO_RESOURCES, tasks: 0 };
    use.size = add(use.size, size);
    use.charge = add(use.charge, charge);
    use.tasks += 1;
    this.#usages.set(team, use);
  }

  release(team: TeamName, size: Resources, charge: Resources): void {
    const use = this.#usages.get(team);
    if (use === undefined) {
      return;
    }
    use.size = subtract(use.size, size);
    use.charge = subtract(use.charge, charge);
    use.tasks -= 1;
    if (use.tasks === 0) {
      this.#usages.delete(team);
    }
  }

  /** Adds the differences in size and charge of a leased task. */
  resize(team: TeamName, size: Resources, charge: Resources): void {
    const use = this.#usages.get(team);
    if (use !== undefined) {
      use.size = add(use.size, size);
      use.charge = add(use.charge, charge);
    }
  }

  /**
   * Dominant share of the team divided by its weight. The team with the lowest rank is served next.
   */
  rank(team: TeamName, extra: Resources = NO_RESOURCES): number {
    const size = this.#usages.get(team)?.size ?? NO_RESOURCES;
    return dominantShare(add(size, extra), this.#capacity) / this.weight(team);
  }
}
