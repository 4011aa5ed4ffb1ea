import type { Millis, Revision, TeamName } from '@turmerichoist/core';
import { grantedUnits, maxGrantedUnits, type QuotaRow } from './rows.js';
import type { TeamAccounts } from './team-accounts.js';
import type { QuotaDecision, UnmetDemand } from './types.js';

/** Numbers the publications of usable units to the limiter, and suppresses unchanged ones. */
export class UsableUnitsPublisher {
  #serial = 0;
  #units: ReadonlyMap<TeamName, number> = new Map();
  #validUntil: Millis | undefined;

  /** Serial number of the latest publication. */
  get serial(): number {
    return this.#serial;
  }

  /** Makes the next call of `update` a new publication even if nothing changed. */
  invalidate(): void {
    this.#validUntil = undefined;
  }

  /** Records the units; returns whether they make a new publication. */
  update(units: ReadonlyMap<TeamName, number>, validUntil: Millis): boolean {
    const same =
      this.#validUntil === validUntil &&
      this.#units.size === units.size &&
      [...units].every(([team, count]) => this.#units.get(team) === count);
    if (!same) {
      this.#serial += 1;
      this.#units = units;
      this.#validUntil = validUntil;
    }
    return !same;
  }
}

/** Ensures that each limit is reported only once after it comes into force. */
export class ReportedLimits {
  readonly #reported = new Map<TeamName, Revision>();

  recordIfNew(team: TeamName, row: QuotaRow): boolean {
    const before = this.#reported.get(team) ?? -1;
    if (row.nextLimit !== undefined || row.revision <= before) {
      return false;
    }
    this.#reported.set(team, row.revision);
    return true;
  }
}

/** Reports the limits that have come into force since the last call. */
export function reportLimitsInForce(
  accounts: TeamAccounts,
  reported: ReportedLimits,
): readonly QuotaDecision[] {
  const decisions: QuotaDecision[] = [];
  for (const [team, account] of accounts.all()) {
    const row = accounts.row(team);
    if (account.version > 0 && reported.recordIfNew(team, row)) {
      const { limit, revision } = row;
      decisions.push({ type: 'limit-in-force', team, limit, revision });
    }
  }
  return decisions;
}

/** The units that this member lacks because the rows of its teams are exhausted. */
export function unmetDemand(
  accounts: TeamAccounts,
  held: (team: TeamName) => number,
): readonly UnmetDemand[] {
  const missing: UnmetDemand[] = [];
  for (const [team, account] of accounts.all()) {
    const row = accounts.row(team);
    if (account.known && account.need > 0 && grantedUnits(row) >= maxGrantedUnits(row)) {
      // Not capped at the fair share: other members keep idle units until they see unmet demand.
      const units = Math.min(account.need, maxGrantedUnits(row)) - held(team);
      missing.push(...(units > 0 ? [{ team, units }] : []));
    }
  }
  return missing;
}
