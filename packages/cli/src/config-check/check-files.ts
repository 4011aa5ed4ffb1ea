import {
  Configuration,
  checkConfiguration,
  explainDifferences,
  formatField,
  resourceOf,
  type ExplainedDifference,
  type Finding,
} from '@turmerichoist/core';
import type { DocumentFile } from '../documents/index.js';
import { DeclaredResources } from './declared-resources.js';
import type { CheckReport, LocatedFinding, ReportedDifference } from './report.js';

/** Findings of one report. */
const MAX_FINDINGS = 1_000;

/** What the files are compared with. */
export interface Comparison {
  readonly inForce: Configuration;
  /** Whether the files are the whole configuration, so that what they leave out is removed. */
  readonly complete: boolean;
}

/** Checks the documents of some files, as far as they can be read. */
export function checkFiles(files: readonly DocumentFile[], comparison?: Comparison): CheckReport {
  const declared = new DeclaredResources(files);
  if (declared.errors.length > 0) {
    return report(declared.errors, undefined, false);
  }
  const { inForce, complete } = comparison ?? { inForce: Configuration.empty, complete: true };
  const base = complete ? Configuration.empty : inForce;
  const next = base.with(inForce.revision + 1, declared.changes(inForce));
  const findings = [
    ...(comparison === undefined ? [] : declared.versionErrors(inForce)),
    ...checkConfiguration(next).map((finding) => locate(finding, declared)),
  ];
  const differences =
    comparison && explainDifferences(inForce, next).map((difference) => toReported(difference));
  return report(findings, differences, true);
}

function locate(finding: Finding, declared: DeclaredResources): LocatedFinding {
  const { field, ...rest } = finding;
  const position = declared.positionOf(finding.resource, field);
  return { ...rest, field: formatField(field), ...position };
}

function toReported(difference: ExplainedDifference): ReportedDifference {
  const { op, field, effects } = difference;
  return {
    op,
    resource: resourceOf(difference),
    field: formatField(field),
    ...('before' in difference ? { before: difference.before } : {}),
    ...('after' in difference ? { after: difference.after } : {}),
    effects,
  };
}

function report(
  findings: readonly LocatedFinding[],
  differences: readonly ReportedDifference[] | undefined,
  rulesChecked: boolean,
): CheckReport {
  const errors = findings.filter(({ severity }) => severity === 'error');
  const warnings = findings.filter(({ severity }) => severity === 'warning');
  const shown = [...errors, ...warnings].slice(0, MAX_FINDINGS);
  return {
    findings: shown,
    ...(differences === undefined ? {} : { differences }),
    summary: {
      errors: errors.length,
      warnings: warnings.length,
      omitted: findings.length - shown.length,
      rulesChecked,
    },
  };
}
