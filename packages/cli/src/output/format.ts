import Table from 'cli-table3';
import { stringify } from 'yaml';

export const OUTPUT_FORMATS = ['table', 'json', 'yaml'] as const;

export type OutputFormat = (typeof OUTPUT_FORMATS)[number];

type Fields = Readonly<Record<string, unknown>>;

function formatCell(value: unknown): string {
  if (value === undefined || value === null) {
    return '';
  }
  return typeof value === 'string' ? value : JSON.stringify(value);
}

function renderRows(rows: readonly Fields[]): string {
  const head = [...new Set(rows.flatMap((row) => Object.keys(row)))];
  const cliTable = new Table({ head, style: { head: [], border: [] } });
  for (const row of rows) {
    cliTable.push(head.map((name) => formatCell(row[name])));
  }
  return cliTable.toString();
}

function isFields(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function renderTable(value: unknown): string {
  if (Array.isArray(value)) {
    const rows = value.filter(isFields);
    return rows.length === 0 ? '(none)' : renderRows(rows);
  }
  return isFields(value) ? renderRows([value]) : formatCell(value);
}

/** Formats a value for the terminal. */
export function render(value: unknown, format: OutputFormat): string {
  switch (format) {
    case 'json':
      return JSON.stringify(value, null, 2);
    case 'yaml':
      return stringify(value).trimEnd();
    case 'table':
      return renderTable(value);
  }
}
