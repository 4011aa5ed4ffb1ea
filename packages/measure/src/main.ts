import { writeFile } from 'node:fs/promises';
import { parseArgs } from 'node:util';
import { renderTable } from './fleet/table.js';
import { renderSvg } from './summary/plot.js';
import { summaryRows, type SummaryRow } from './summary/rows.js';

const DEPLOYMENTS: readonly string[] = ['consortium', 'nadroga'];
const USAGE =
  'usage: npm run measure -- --deployment consortium|nadroga --seed N [--json] [--svg FILE]\n';

function renderRows(rows: readonly SummaryRow[]): string {
  const headings = ['measure', 'unit', 'value', 'reference', 'reference value'];
  return renderTable(
    headings,
    rows.map((row) => [row.measure, row.unit, row.value, row.reference, row.referenceValue]),
  );
}

async function main(): Promise<number> {
  const { values } = parseArgs({
    options: {
      deployment: { type: 'string', default: 'consortium' },
      seed: { type: 'string', default: '1' },
      json: { type: 'boolean', default: false },
      svg: { type: 'string' },
    },
  });
  const { deployment, json, svg } = values;
  const seed = Number(values.seed);
  if (!DEPLOYMENTS.includes(deployment) || !Number.isSafeInteger(seed)) {
    process.stderr.write(USAGE);
    return 2;
  }
  const rows = summaryRows(deployment, seed);
  const text = json
    ? `${JSON.stringify({ deployment, seed, rows }, undefined, 2)}\n`
    : renderRows(rows);
  process.stdout.write(text);
  if (svg !== undefined) {
    await writeFile(svg, await renderSvg(`${deployment}, seed ${seed}`, rows));
  }
  const hasViolations = rows.some(
    ({ measure, value }) => measure.startsWith('broken') && value !== 0,
  );
  return hasViolations ? 1 : 0;
}

process.exitCode = await main();
