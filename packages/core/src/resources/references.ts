import { Err, Ok, type AppError, type Result, appError } from '../errors/index.js';
import type { Configuration } from './configuration.js';
import type { FieldPath } from './documents.js';
import type { ResourceKind } from './schemas.js';

/** A rule about several resources that one of them violates. */
export interface Violation {
  /** The resource, as `kind/name`. */
  readonly resource: string;
  readonly field: FieldPath;
  readonly message: string;
}

interface Reference {
  readonly from: string;
  readonly field: FieldPath;
  readonly kind: ResourceKind;
  readonly name: string;
}

function references(cfg: Configuration): readonly Reference[] {
  return [
    ...cfg
      .list('queue')
      .map((q) => reference(`queue/${q.name}`, ['spec', 'pool'], 'pool', q.spec.pool)),
    ...cfg.list('upstream').flatMap((u) => placementReferences(`upstream/${u.name}`, u.spec)),
    ...cfg.list('instance').flatMap((i) => placementReferences(`instance/${i.name}`, i.spec)),
    ...cfg.list('pool').flatMap((p) =>
      p.spec.zoneBudgets.map((budget, index) => {
        const field = ['spec', 'zoneBudgets', index, 'zone'];
        return reference(`pool/${p.name}`, field, 'zone', budget.zone);
      }),
    ),
    ...cfg.list('plan').flatMap((p) =>
      (p.spec.select.zones ?? []).map((zone, index) => {
        return reference(`plan/${p.name}`, ['spec', 'select', 'zones', index], 'zone', zone);
      }),
    ),
  ];
}

function reference(from: string, field: FieldPath, kind: ResourceKind, name: string): Reference {
  return { from, field, kind, name };
}

function placementReferences(
  from: string,
  spec: { pool: string; zone: string },
): readonly Reference[] {
  return [
    reference(from, ['spec', 'pool'], 'pool', spec.pool),
    reference(from, ['spec', 'zone'], 'zone', spec.zone),
  ];
}

/** Finds references to resources that do not exist. */
export function findDanglingReferences(cfg: Configuration): readonly Violation[] {
  return references(cfg)
    .filter(({ kind, name }) => cfg.get(kind, name) === undefined)
    .map(({ from, field, kind, name }) => {
      return { resource: from, field, message: `there is no ${kind}/${name}` };
    });
}

/** Finds keys that belong to two teams, or twice to one. */
export function findSharedKeys(cfg: Configuration): readonly Violation[] {
  const owners = new Map<string, string>();
  const violations: Violation[] = [];
  for (const team of cfg.list('team')) {
    for (const [index, key] of team.spec.keys.entries()) {
      const owner = owners.get(key.sha256);
      if (owner !== undefined) {
        violations.push({
          resource: `team/${team.name}`,
          field: ['spec', 'keys', index, 'sha256'],
          message: `key ${key.id} also belongs to team/${owner}`,
        });
      }
      owners.set(key.sha256, team.name);
    }
  }
  return violations;
}

/**
 * Validates that every referenced resource exists and that no key belongs to two teams.
 * Fails with `bad-document`, whose detail names every violation.
 */
export function validateConfiguration(cfg: Configuration): Result<Configuration, AppError> {
  const problems = [...findDanglingReferences(cfg), ...findSharedKeys(cfg)].map(
    ({ resource, message }) => `${resource}: ${message}`,
  );
  return problems.length > 0 ? Err(appError('bad-document', problems.join('; '))) : Ok(cfg);
}
