import {
  findDanglingReferences,
  findSharedKeys,
  type Configuration,
  type Violation,
} from '../resources/index.js';
import type { ConfigurationRule } from './configuration-rule.js';
import type { Finding } from './finding.js';

function errors(rule: string, nextStep: string, violations: readonly Violation[]): Finding[] {
  return violations.map((violation) => ({ severity: 'error', rule, nextStep, ...violation }));
}

/** Reports references to resources that do not exist. */
export class ReferenceRule implements ConfigurationRule {
  readonly id = 'unknown-reference';

  check(cfg: Configuration): readonly Finding[] {
    const nextStep = 'Correct the name, or declare the resource.';
    return errors(this.id, nextStep, findDanglingReferences(cfg));
  }
}

/** Reports keys that identify two teams, so that the team of a request would be ambiguous. */
export class SharedKeyRule implements ConfigurationRule {
  readonly id = 'key-shared';

  check(cfg: Configuration): readonly Finding[] {
    const nextStep = 'Create a key for each team with `turmerichoist key create`.';
    return errors(this.id, nextStep, findSharedKeys(cfg));
  }
}
