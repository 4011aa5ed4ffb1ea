import { parseArgs } from 'node:util';
import { measureChoosers } from './choosers.js';
import { measureDecisionTime } from './decision-time.js';
import { measureShares } from './shares.js';

const USAGE = 'usage: main.js <choosers|shares|decision-time> --seed N';
const DECIMALS = 3;

type Row = Readonly<Record<string, string | number>>;

type Measure = (seed: number) => readonly object[];

const MEASURES: ReadonlyMap<string, Measure> = new Map<string, Measure>([
  ['choosers', measureChoosers],
  ['shares', (seed) => measureShares(seed)],
  ['decision-time', measureDecisionTime],
]);

function rounded(row: object): Row {
  const cells = Object.entries(row as Row).map(([name, value]) => [
    name,
    typeof value === 'number' ? Number(value.toFixed(DECIMALS)) : value,
  ]);
  return Object.fromEntries(cells) as Row;
}

const { positionals, values } = parseArgs({
  allowPositionals: true,
  options: { seed: { type: 'string', default: '1' } },
});
const measure = MEASURES.get(positionals[0] ?? '');
if (measure === undefined) {
  console.error(USAGE);
  process.exitCode = 2;
} else {
  console.table(measure(Number(values.seed)).map(rounded));
}
