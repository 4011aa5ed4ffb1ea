import { Err, Ok, type AppError, type Result, appError } from '../errors/index.js';
import type { Configuration } from './configuration.js';
import type { ResourceKind } from './schemas.js';

interface Reference {
  readonly from: string;
  readonly kind: ResourceKind;
  readonly name: string;
}

function references(cfg: Configuration): readonly Reference[] {
  return [
    ...cfg.list('queue').map((q) => reference(`queue/${q.name}`, 'pool', q.spec.pool)),
    ...cfg.list('upstream').flatMap((u) => placementReferences(`upstream/${u.name}`, u.spec)),
    ...cfg.list('instance').flatMap((i) => placementReferences(`instance/${i.name}`, i.spec)),
    ...cfg
      .list('pool')
      .flatMap((p) => p.spec.zoneBudgets.map((b) => reference(`pool/${p.name}`, 'zone', b.zone))),
    ...cfg
      .list('plan')
      .flatMap((p) =>
        (p.spec.select.zones ?? []).map((zone) => reference(`plan/${p.name}`, 'zone', zone)),
      ),
  ];
}

function reference(from: string, kind: ResourceKind, name: string): Reference {
  return { from, kind, name };
}

function placementReferences(
  from: string,
  spec: { pool: string; zone: string },
): readonly Reference[] {
  return [reference(from, 'pool', spec.pool), reference(from, 'zone', spec.zone)];
}

function duplicateKeys(cfg: Configuration): readonly string[] {
  const owners = new Map<string, string>();
  const problems: string[] = [];
  for (const team of cfg.list('team')) {
    for (const key of team.spec.keys) {
      const owner = owners.get(key.sha256);
      if (owner !== undefined) {
        problems.push(`team/${team.name}: key ${key.id} also belongs to team/${owner}`);
      }
      owners.set(key.sha256, team.name);
    }
  }
  return problems;
}

/**
 * Validates that every referenced resource exists and that no key belongs to two teams.
 * Fails with `bad-document`, whose detail names every violation.
 */
export function validateConfiguration(cfg: Configuration): Result<Configuration, AppError> {
  const dangling = references(cfg)
    .filter((reference) => cfg.get(reference.kind, reference.name) === undefined)
    .map((reference) => `${reference.from}: there is no ${reference.kind}/${reference.name}`);
  const problems = [...dangling, ...duplicateKeys(cfg)];
  return problems.length > 0 ? Err(appError('bad-document', problems.join('; '))) : Ok(cfg);
}
