import type { ExplainedDifference, Severity } from '@turmerichoist/core';

/** A finding with its place in a file. */
export interface LocatedFinding {
  readonly severity: Severity;
  readonly rule: string;
  /** Absent for a resource that only the version in force has. */
  readonly file?: string;
  readonly line?: number;
  readonly column?: number;
  /** As `kind/name`; absent while these are unknown. */
  readonly resource?: string;
  /** Path of the field, with dots. */
  readonly field: string;
  readonly message: string;
  readonly nextStep: string;
}

/** A difference as it is printed, with its field as a path with dots. */
export interface ReportedDifference extends Omit<ExplainedDifference, 'field' | 'kind' | 'name'> {
  /** As `kind/name`. */
  readonly resource: string;
  readonly field: string;
}

/** The result of a check. */
export interface CheckReport {
  readonly findings: readonly LocatedFinding[];
  /** Absent without a version in force, and while a document is invalid. */
  readonly differences?: readonly ReportedDifference[];
  readonly summary: {
    readonly errors: number;
    readonly warnings: number;
    /** Findings beyond the bound of a report, which are counted only. */
    readonly omitted: number;
    /** False while a document is invalid: the rules need all resources. */
    readonly rulesChecked: boolean;
  };
}

/** Exit codes of `config check`. */
export const CHECK_EXIT_CODES = { clean: 0, warnings: 1, errors: 2 } as const;

/** Returns the exit code for a report. Warnings count only if `strict`. */
export function checkExitCode({ summary }: CheckReport, strict: boolean): number {
  if (summary.errors > 0) {
    return CHECK_EXIT_CODES.errors;
  }
  return strict && summary.warnings > 0 ? CHECK_EXIT_CODES.warnings : CHECK_EXIT_CODES.clean;
}
