import type { Millis, Revision, TeamName } from '@turmerichoist/core';
import type { QuotaRow } from './rows.js';

/** Numbers what the limiter is told, and tells it only what changed. */
export class UsablePublisher {
  #serial = 0;
  #units: ReadonlyMap<TeamName, number> = new Map();
  #validUntil: Millis | undefined;

  /** Number of the latest publication. */
  get serial(): number {
    return this.#serial;
  }

  /** Makes the next call of `update` publish whatever it gets. */
  invalidate(): void {
    this.#validUntil = undefined;
  }

  /** True when this is a new publication. */
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

/** Reports each limit once when it is in force. */
export class LimitReports {
  readonly #reported = new Map<TeamName, Revision>();

  isNew(team: TeamName, row: QuotaRow): boolean {
    const before = this.#reported.get(team) ?? -1;
    if (row.nextLimit !== undefined || row.revision <= before) {
      return false;
    }
    this.#reported.set(team, row.revision);
    return true;
  }
}
