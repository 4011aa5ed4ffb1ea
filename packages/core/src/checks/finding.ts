import type { FieldPath, Violation } from '../resources/index.js';

/** `error`: applying the configuration is refused. `warning`: it is accepted and likely a mistake. */
export type Severity = 'error' | 'warning';

/** Something in a configuration that an operator should correct or confirm. */
export interface Finding extends Violation {
  readonly severity: Severity;
  /** Identifier of the rule, for documentation and filters. */
  readonly rule: string;
  /** What the operator can do about it. */
  readonly nextStep: string;
}

/** Formats a field path for display, for example `spec.keys.0.id`. */
export function formatField(field: FieldPath): string {
  return field.join('.');
}
