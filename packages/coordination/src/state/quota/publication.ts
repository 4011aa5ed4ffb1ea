import type { Millis, Revision, TeamName } from '@turmerichoist/core';
import type { QuotaRow } from './rows.js';

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
