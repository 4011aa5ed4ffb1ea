import type { Millis, TeamName } from '@turmerichoist/core';
import type { DeclaredLimit, QuotaRow } from './rows.js';
import { TeamAccount } from './team-account.js';
import type { TeamDemand } from './types.js';

/** The accounts of all teams that have a limit, demand or a row. */
export class TeamAccounts {
  readonly #accounts = new Map<TeamName, TeamAccount>();
  #limits: ReadonlyMap<TeamName, DeclaredLimit> = new Map();

  /** The account of a team, which is created if it does not exist. */
  get(team: TeamName): TeamAccount {
    const account = this.#accounts.get(team) ?? new TeamAccount();
    this.#accounts.set(team, account);
    return account;
  }

  all(): readonly (readonly [TeamName, TeamAccount])[] {
    return [...this.#accounts];
  }

  declared(team: TeamName): DeclaredLimit | undefined {
    return this.#limits.get(team);
  }

  /** The row of a team, or a row without grants for its declared limit if none exists. */
  row(team: TeamName): QuotaRow {
    return this.get(team).row(this.declared(team));
  }

  onLimits(limits: ReadonlyMap<TeamName, DeclaredLimit>): void {
    this.#limits = limits;
    for (const team of limits.keys()) {
      this.get(team);
    }
  }

  /** Replaces the demand of all teams. A team that is not listed has none. */
  onDemand(demands: readonly TeamDemand[], now: Millis): void {
    const teams = new Map(demands.map((demand) => [demand.team, demand]));
    for (const team of new Set([...this.#accounts.keys(), ...teams.keys()])) {
      this.get(team).onDemand(teams.get(team) ?? { running: 0, waiting: 0 }, now);
    }
  }

  cancelShrinks(): void {
    for (const account of this.#accounts.values()) {
      account.cancelShrink();
    }
  }

  onPublished(serial: number): void {
    for (const account of this.#accounts.values()) {
      account.onPublished(serial);
    }
  }
}
