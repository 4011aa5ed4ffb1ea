import type { DeclaredLimit } from '@turmerichoist/coordination';
import type { Configuration, TeamName } from '@turmerichoist/core';

/** Each team's limit on concurrently running requests, with the revision that set it. */
export function declaredLimits(cfg: Configuration): ReadonlyMap<TeamName, DeclaredLimit> {
  const teams = cfg.list('team');
  return new Map(
    teams.map(({ name, spec, version }) => [
      name,
      { limit: spec.limit.requests, revision: version },
    ]),
  );
}
