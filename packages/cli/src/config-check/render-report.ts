import { formatPosition } from '../documents/index.js';
import { cleanText } from '../output/index.js';
import type { CheckReport, LocatedFinding, ReportedDifference } from './report.js';

const INDENT = '    ';

/** Formats a report for the terminal: findings, differences and a summary. */
export function renderReport(report: CheckReport): string {
  const { findings, differences, summary } = report;
  const notes = [
    ...(summary.omitted > 0 ? [`${summary.omitted} more findings are not shown`] : []),
    ...(summary.rulesChecked ? [] : ['the rules are checked when every document is valid']),
  ];
  const counts = [`${summary.errors} errors`, `${summary.warnings} warnings`];
  if (differences !== undefined) {
    counts.push(`${differences.length} differences`);
  }
  return [
    ...findings.flatMap(renderFinding),
    ...(differences ?? []).flatMap(renderDifference),
    ...notes,
    counts.join(', '),
  ].join('\n');
}

function renderFinding(finding: LocatedFinding): readonly string[] {
  const { file = '(in force)', line, column, severity, rule, resource = '', field } = finding;
  const position = { file, ...(line && { line }), ...(column && { column }) };
  const subject = [resource, field].filter((part) => part !== '').join(' ');
  return [
    cleanText(
      `${formatPosition(position)}: ${severity} ${rule}${subject === '' ? '' : `: ${subject}`}`,
    ),
    INDENT + cleanText(finding.message),
    `${INDENT}Next step: ${cleanText(finding.nextStep)}`,
  ];
}

function renderDifference(difference: ReportedDifference): readonly string[] {
  const { op, resource, field, before, after, effects, omittedEffects } = difference;
  const values =
    op === 'changed' ? `${toText(before)} -> ${toText(after)}` : toText(after ?? before);
  const subject = [resource, field].filter((part) => part !== '').join(' ');
  return [
    cleanText(`${op} ${subject}: ${values}`),
    ...effects.map(
      (effect) => INDENT + cleanText(`${effect.kind} ${effect.resource}: ${effect.message}`),
    ),
    ...(omittedEffects > 0 ? [`${INDENT}${omittedEffects} more effects are not shown`] : []),
  ];
}

function toText(value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value);
}
