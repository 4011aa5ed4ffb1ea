export type Cell = string | number;

/** Renders rows as a table with aligned columns. The same cells give the same text. */
export function renderTable(
  headings: readonly string[],
  rows: readonly (readonly Cell[])[],
): string {
  const text = [headings, ...rows.map((row) => row.map(String))];
  const widths = headings.map((_, column) =>
    Math.max(...text.map((row) => (row[column] ?? '').length)),
  );
  const lines = text.map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
  return `${lines.join('\n')}\n`;
}
