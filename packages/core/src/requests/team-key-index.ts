import type { Configuration } from '../resources/index.js';
import type { TeamName } from '../types/index.js';

/** Maps key digests to teams for the keys in force at one revision of the configuration. */
export class TeamKeyIndex {
  // Looking up the full digest needs no constant-time comparison: the timing depends on the SHA-256
  // of the presented key, and finding a key whose digest has a chosen prefix reveals nothing about
  // a key in force.
  readonly #teams: ReadonlyMap<string, TeamName>;

  constructor(cfg: Configuration) {
    this.#teams = new Map(
      cfg
        .list('team')
        .flatMap((team) =>
          team.spec.keys
            .filter((key) => !key.withdrawn)
            .map((key) => [key.sha256, team.name] as const),
        ),
    );
  }

  /**
   * Returns the team of the key with this SHA-256, or `undefined` if it is unknown or withdrawn.
   */
  teamOf(sha256: string): TeamName | undefined {
    return this.#teams.get(sha256);
  }
}
