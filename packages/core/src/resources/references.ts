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
    ...cfg.list('queue').map((q) => ref(`queue/${q.name}`, 'pool', q.spec.pool)),
    ...cfg.list('upstream').flatMap((u) => placed(`upstream/${u.name}`, u.spec)),
    ...cfg.list('instance').flatMap((i) => placed(`instance/${i.name}`, i.spec)),
    ...cfg
      .list('pool')
      .flatMap((p) => p.spec.zoneBudgets.map((b) => ref(`pool/${p.name}`, 'zone', b.zone))),
    ...cfg
      .list('plan')
      .flatMap((p) =>
        (p.spec.select.zones ?? []).map((zone) => ref(`plan/${p.name}`, 'zone', zone)),
      ),
  ];
}

function ref(from: string, kind: ResourceKind, name: string): Reference {
  return { from, kind, name };
}

function placed(from: string, spec: { pool: string; zone: string }): readonly Reference[] {
  return [ref(from, 'pool', spec.pool), ref(from, 'zone', spec.zone)];
}

function duplicateKeys(cfg: Configuration): readonly string[] {
  const owners = new Map<string, string>();
  const faults: string[] = [];
  for (const team of cfg.list('team')) {
    for (const key of team.spec.keys) {
      const owner = owners.get(key.sha256);
      if (owner !== undefined) {
        faults.push(`team/${team.name}: key ${key.id} also belongs to team/${owner}`);
      }
      owners.set(key.sha256, team.name);
    }
  }
  return faults;
}

/**
 * Checks that every reference names a resource that exists and that no key belongs to two teams.
 * Fails with `bad-document`, naming every fault at once.
 */
export function checkConfiguration(cfg: Configuration): Result<Configuration, AppError> {
  const dangling = references(cfg)
    .filter((reference) => cfg.get(reference.kind, reference.name) === undefined)
    .map((reference) => `${reference.from}: there is no ${reference.kind}/${reference.name}`);
  const faults = [...dangling, ...duplicateKeys(cfg)];
  return faults.length > 0 ? Err(appError('bad-document', faults.join('; '))) : Ok(cfg);
}
