import { parseArgs } from 'node:util';
import { measurePropagation } from './propagation.js';
import { measureTakeover } from './takeover.js';

const DEFAULT_NODES = '8';
const DEFAULT_CHANGES = '20';
const DEFAULT_SEED = '1';

const { values } = parseArgs({
  options: {
    nodes: { type: 'string', default: DEFAULT_NODES },
    changes: { type: 'string', default: DEFAULT_CHANGES },
    seed: { type: 'string', default: DEFAULT_SEED },
    takeover: { type: 'boolean', default: false },
  },
});
const nodes = Number(values.nodes);
const seed = Number(values.seed);
const report = values.takeover
  ? await measureTakeover(nodes, seed)
  : await measurePropagation(nodes, Number(values.changes), seed);
process.stdout.write(`${JSON.stringify(report)}\n`);
