import type { Millis, TeamName } from '../types/index.js';

/**
 * Counts running work of each team against the units granted to this entry.
 * Work keeps its unit until it ends, even if the grant shrinks or expires meanwhile.
 */
export class TeamLimiter {
  readonly #running = new Map<TeamName, number>();
  #units: ReadonlyMap<TeamName, number> = new Map();
  #validUntil: Millis = Number.NEGATIVE_INFINITY;

  /** Replaces all grants. */
  grant(units: ReadonlyMap<TeamName, number>, validUntil: Millis): void {
    this.#units = units;
    this.#validUntil = validUntil;
  }

  /** Whether the grants held by this entry still cover new work. */
  valid(now: Millis): boolean {
    return now < this.#validUntil;
  }

  /** Units granted to this entry, whether in use or not; 0 after the grants expired. */
  units(team: TeamName, now: Millis): number {
    return this.valid(now) ? (this.#units.get(team) ?? 0) : 0;
  }

  running(team: TeamName): number {
    return this.#running.get(team) ?? 0;
  }

  /** Whether the team may start one more piece of work. */
  free(team: TeamName, now: Millis): boolean {
    return this.running(team) < this.units(team, now);
  }

  /** Takes a unit. Work that starts counts as running from here on. */
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
