import { formatPosition } from '../documents/index.js';
import type { CheckReport, LocatedFinding, ReportedDifference } from './report.js';

const MAX_TEXT_CHARS = 300;
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
    clean(
      `${formatPosition(position)}: ${severity} ${rule}${subject === '' ? '' : `: ${subject}`}`,
    ),
    INDENT + clean(finding.message),
    `${INDENT}Next step: ${clean(finding.nextStep)}`,
  ];
}

function renderDifference({ op, resource, field, before, after, effects }: ReportedDifference) {
  const values =
    op === 'changed' ? `${toText(before)} -> ${toText(after)}` : toText(after ?? before);
  const subject = [resource, field].filter((part) => part !== '').join(' ');
  return [
    clean(`${op} ${subject}: ${values}`),
    ...effects.map(
      (effect) => INDENT + clean(`${effect.kind} ${effect.resource}: ${effect.message}`),
    ),
  ];
}

function toText(value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value);
}

/** Escapes control characters, which a file could use to change the terminal, and bounds the length. */
function clean(text: string): string {
  const bounded = text.length > MAX_TEXT_CHARS ? `${text.slice(0, MAX_TEXT_CHARS)}…` : text;
  return bounded.replace(/\p{Cc}/gu, (char) => {
    return `\\x${(char.codePointAt(0) ?? 0).toString(16).padStart(2, '0')}`;
  });
}
