import type { Configuration, FieldPath } from '../resources/index.js';
import type { Finding } from './finding.js';

/** One check of a whole configuration. Pure, and linear in its size unless stated otherwise. */
export interface ConfigurationRule {
  /** Identifier of the rule, which its findings repeat. */
  readonly id: string;
  check(cfg: Configuration): readonly Finding[];
}

/** What a rule reports about one field. */
export interface WarningParts {
  readonly rule: string;
  readonly resource: string;
  readonly field: FieldPath;
  readonly message: string;
  readonly nextStep: string;
}

export function warning(parts: WarningParts): Finding {
  return { severity: 'warning', ...parts };
}
