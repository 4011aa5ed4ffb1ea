import type { Configuration } from '../resources/index.js';
import type { TeamName } from '../types/index.js';
import { NOTHING, add, dominantShare, fitsIn, larger, smaller, subtract } from './amounts.js';
import type { Resources } from './model.js';

interface TeamUse {
  /** Sizes reserved on workers, for shares. */
  size: Resources;
  /** Charged against the allowance. */
  charge: Resources;
  tasks: number;
}

const DEFAULT_WEIGHT = 1;

/**
 * Weighted dominant resource fairness between teams, and their allowances on this pool. Both count a
 * task from the moment its lease is planned until the lease has surely ended.
 */
export class ShareLedger {
  readonly #uses = new Map<TeamName, TeamUse>();
  #cfgWeights: ReadonlyMap<TeamName, number> = new Map();
  #limits: ReadonlyMap<TeamName, Resources> = new Map();
  #allowances: ReadonlyMap<TeamName, Resources> = new Map();
  #capacity: Resources = NOTHING;

  configure(cfg: Configuration): void {
    const teams = cfg.list('team');
    this.#cfgWeights = new Map(teams.map(({ name, spec }) => [name, spec.share]));
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

  /** What the team may use here: its part of the limit, and never more than the whole limit. */
  allowance(team: TeamName): Resources {
    const allowance = this.#allowances.get(team) ?? NOTHING;
    return smaller(allowance, this.#limits.get(team) ?? NOTHING);
  }

  limit(team: TeamName): Resources | undefined {
    return this.#limits.get(team);
  }

  weight(team: TeamName): number {
    return this.#cfgWeights.get(team) ?? DEFAULT_WEIGHT;
  }

  /** Charged use of a team. */
  charged(team: TeamName): Resources {
    return this.#uses.get(team)?.charge ?? NOTHING;
  }

  /** Use of each team that runs something. */
  charges(): ReadonlyMap<TeamName, Resources> {
    return new Map([...this.#uses].map(([team, use]) => [team, use.charge]));
  }

  /**
   * What a task counts against the allowance: the larger of its declaration and its expected size,
   * but no more than the allowance itself as long as the declaration fits, so that it can run alone.
   */
  chargeFor(team: TeamName, declared: Resources, size: Resources): Resources {
    return smaller(larger(declared, size), larger(declared, this.allowance(team)));
  }

  mayStart(team: TeamName, charge: Resources): boolean {
    return fitsIn(add(this.charged(team), charge), this.allowance(team));
  }

  /** False after the allowance was lowered below what is in use. */
  isWithinAllowance(team: TeamName): boolean {
    return fitsIn(this.charged(team), this.allowance(team));
  }

  take(team: TeamName, size: Resources, charge: Resources): void {
    const use = this.#uses.get(team) ?? { size: NOTHING, charge: NOTHING, tasks: 0 };
    use.size = add(use.size, size);
    use.charge = add(use.charge, charge);
    use.tasks += 1;
    this.#uses.set(team, use);
  }

  release(team: TeamName, size: Resources, charge: Resources): void {
    const use = this.#uses.get(team);
    if (use === undefined) {
      return;
    }
    use.size = subtract(use.size, size);
    use.charge = subtract(use.charge, charge);
    use.tasks -= 1;
    if (use.tasks === 0) {
      this.#uses.delete(team);
    }
  }

  /** Moves a running task from one size and charge to others. */
  resize(team: TeamName, size: Resources, charge: Resources): void {
    const use = this.#uses.get(team);
    if (use !== undefined) {
      use.size = add(use.size, size);
      use.charge = add(use.charge, charge);
    }
  }

  /** Dominant share of the team divided by its weight; the team with the lowest is served next. */
  rank(team: TeamName, extra: Resources = NOTHING): number {
    const size = this.#uses.get(team)?.size ?? NOTHING;
    return dominantShare(add(size, extra), this.#capacity) / this.weight(team);
  }
}
