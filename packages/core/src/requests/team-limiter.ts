import { NEVER, type Millis, type TeamName } from '../types/index.js';

/**
 * Limits the running requests of each team to the units granted to this entry.
 * A request keeps its unit until it ends, even if the grant shrinks or expires meanwhile.
 */
export class TeamLimiter {
  readonly #running = new Map<TeamName, number>();
  #units: ReadonlyMap<TeamName, number> = new Map();
  #validUntil: Millis = NEVER;

  /** Replaces all grants. */
  setGrants(units: ReadonlyMap<TeamName, number>, validUntil: Millis): void {
    this.#units = units;
    this.#validUntil = validUntil;
  }

  /** Whether the grants of this entry have not expired. */
  grantsValid(now: Millis): boolean {
    return now < this.#validUntil;
  }

  /** Units granted to this entry, whether in use or not. 0 once the grants have expired. */
  grantedUnits(team: TeamName, now: Millis): number {
    return this.grantsValid(now) ? (this.#units.get(team) ?? 0) : 0;
  }

  running(team: TeamName): number {
    return this.#running.get(team) ?? 0;
  }

  /** Whether the team has a unit for another request. */
  hasFreeUnit(team: TeamName, now: Millis): boolean {
    return this.running(team) < this.grantedUnits(team, now);
  }

  /** Takes a unit. The request counts as running until `release`. */
  acquire(team: TeamName): void {
    this.#running.set(team, this.running(team) + 1);
  }

  release(team: TeamName): void {
    const left = this.running(team) - 1;
    if (left > 0) {
      this.#running.set(team, left);
    } else {
      this.#running.delete(team);
    }
  }
}
