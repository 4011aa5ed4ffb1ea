import Table from 'cli-table3';
import { stringify } from 'yaml';

export const OUTPUT_FORMATS = ['table', 'json', 'yaml'] as const;

export type OutputFormat = (typeof OUTPUT_FORMATS)[number];

type Fields = Readonly<Record<string, unknown>>;

function cell(value: unknown): string {
  if (value === undefined || value === null) {
    return '';
  }
  return typeof value === 'string' ? value : JSON.stringify(value);
}

function table(rows: readonly Fields[]): string {
  const head = [...new Set(rows.flatMap((row) => Object.keys(row)))];
  const view = new Table({ head, style: { head: [], border: [] } });
  for (const row of rows) {
    view.push(head.map((name) => cell(row[name])));
  }
  return view.toString();
}

function isFields(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function asTable(value: unknown): string {
  if (Array.isArray(value)) {
    const rows = value.filter(isFields);
    return rows.length === 0 ? '(none)' : table(rows);
  }
  return isFields(value) ? table([value]) : cell(value);
}

/** Renders a value for the terminal. */
export function render(value: unknown, format: OutputFormat): string {
  switch (format) {
    case 'json':
      return JSON.stringify(value, null, 2);
    case 'yaml':
      return stringify(value).trimEnd();
    case 'table':
      return asTable(value);
  }
}
