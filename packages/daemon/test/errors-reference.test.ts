import { execFileSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { expect, test } from '@jest/globals';

const PAGE = 'docs/operators/errors.md';
const SCRIPT = 'scripts/errors-reference.mjs';
const BETWEEN_MARKS = /<!-- reference:start -->([\s\S]*)<!-- reference:end -->/;

/** The cells of a Markdown table without the padding that the formatter adds. */
function cells(table: string): readonly (readonly string[])[] {
  const lines = table.trim().split('\n');
  return lines.map((line) => line.split('|').map((cell) => cell.trim().replace(/^-+$/, '---')));
}

test('the errors page lists every error kind with its current response', () => {
  const onPage = BETWEEN_MARKS.exec(readFileSync(PAGE, 'utf8'))?.[1] ?? '';
  const printed = execFileSync(process.execPath, [SCRIPT], { encoding: 'utf8' });
  expect(cells(printed).length).toBeGreaterThan(2);
  expect(cells(onPage)).toEqual(cells(printed));
});
