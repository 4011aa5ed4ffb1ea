import type { Configuration, TeamSpec } from '../resources/index.js';
import { warning, type ConfigurationRule } from './configuration-rule.js';
import type { Finding } from './finding.js';

type Limit = TeamSpec['limit'];
type LimitField = keyof Limit;

const LIMIT_FIELDS: readonly LimitField[] = ['requests', 'processors', 'memoryMb', 'accelerators'];

/** Reports teams whose limits leave no room for one request or one task. */
export class LimitBelowTaskRule implements ConfigurationRule {
  readonly id = 'limit-below-task';

  check(cfg: Configuration): readonly Finding[] {
    return cfg.list('team').flatMap(({ name, spec }) => {
      const problem = smallLimit(spec.limit);
      if (problem === undefined) {
        return [];
      }
      return [
        warning({
          rule: this.id,
          resource: `team/${name}`,
          field: ['spec', 'limit', problem.field],
          message: problem.message,
          nextStep: 'Raise this limit, or set the other limits of tasks to 0 as well.',
        }),
      ];
    });
  }
}

interface LimitProblem {
  readonly field: LimitField;
  readonly message: string;
}

function smallLimit({
  requests,
  processors,
  memoryMb,
  accelerators,
}: Limit): LimitProblem | undefined {
  const tasksAllowed = processors > 0 || memoryMb > 0 || accelerators > 0;
  if (!tasksAllowed) {
    const message = 'the team can run neither requests nor tasks';
    return requests === 0 ? { field: 'requests', message } : undefined;
  }
  if (processors > 0 && memoryMb > 0) {
    return undefined;
  }
  const field = processors === 0 ? 'processors' : 'memoryMb';
  return { field, message: `the limit is below one task: ${field} is 0, but other limits are not` };
}

/** Reports teams whose limit is below the part of the declared capacity that their weight gives. */
export class LimitBelowShareRule implements ConfigurationRule {
  readonly id = 'limit-below-share';

  check(cfg: Configuration): readonly Finding[] {
    const capacity = declaredCapacity(cfg);
    return LIMIT_FIELDS.flatMap((field) => this.#checkField(cfg, field, capacity[field]));
  }

  /** Teams with a limit of 0 do not use the resource, so they take no share of it. */
  #checkField(cfg: Configuration, field: LimitField, capacity: number): readonly Finding[] {
    const teams = cfg.list('team').filter(({ spec }) => spec.limit[field] > 0);
    const weights = teams.reduce((sum, { spec }) => sum + spec.share, 0);
    return teams.flatMap(({ name, spec }) => {
      const share = Math.floor((capacity * spec.share) / weights);
      const limit = spec.limit[field];
      if (limit >= share) {
        return [];
      }
      return [
        warning({
          rule: this.id,
          resource: `team/${name}`,
          field: ['spec', 'limit', field],
          message: `the limit ${limit} is below the share ${share} that the weight ${spec.share} gives (of ${capacity})`,
          nextStep: `Raise the limit to ${share} or more, or lower the weight.`,
        }),
      ];
    });
  }
}

function declaredCapacity(cfg: Configuration): Limit {
  const upstreams = cfg.list('upstream').filter(({ spec }) => !spec.leaving);
  const instances = cfg.list('instance').map(({ spec }) => spec);
  const sum = (amounts: readonly number[]): number => amounts.reduce((a, b) => a + b, 0);
  return {
    requests: sum(upstreams.map(({ spec }) => Math.min(spec.slots, spec.connections))),
    processors: sum(instances.map(({ processors }) => processors)),
    memoryMb: sum(instances.map(({ memoryMb }) => memoryMb)),
    accelerators: sum(instances.map(({ accelerators }) => accelerators)),
  };
}

/** Reports teams without a valid key, which can send nothing. */
export class TeamWithoutKeyRule implements ConfigurationRule {
  readonly id = 'team-without-key';

  check(cfg: Configuration): readonly Finding[] {
    return cfg
      .list('team')
      .filter(({ spec }) => spec.keys.every(({ withdrawn }) => withdrawn))
      .map(({ name }) =>
        warning({
          rule: this.id,
          resource: `team/${name}`,
          field: ['spec', 'keys'],
          message: 'the team has no valid key, so it can send nothing',
          nextStep: 'Add a key, or delete the team.',
        }),
      );
  }
}
