import { describe, expect, test } from '@jest/globals';
import { renderSvg } from '../src/summary/plot.js';

const ROWS = [
  { measure: 'moves', unit: '', value: 3, reference: 'fixed', referenceValue: 5 },
  { measure: 'urgent', unit: 'ms', value: 150, reference: 'target', referenceValue: 1_200 },
];

describe('renderSvg', () => {
  test('a row must not lose its chart, its unit or its reference', async () => {
    const svg = await renderSvg('nadroga, seed 1', ROWS);
    expect(svg).toContain('moves / fixed');
    expect(svg).toContain('urgent / target, ms');
    expect(svg.match(/aria-roledescription="bar"/g)).toHaveLength(2 * ROWS.length);
  });

  test('rendering the same rows again must not give a different SVG', async () => {
    expect(await renderSvg('t', ROWS)).toBe(await renderSvg('t', ROWS));
  });
});
