import { parseArgs } from 'node:util';
import { cpuMillis } from '../capacity/probes.js';
import { measureJobDecisions } from './decision-time.js';
import { GROWN_FLEET } from './workload.js';

const USAGE = 'usage: main.js [--seed N] [--seconds N]\n';
const MS_PER_S = 1_000;

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    seconds: { type: 'string', default: '20' },
  },
});
const seed = Number(values.seed);
const seconds = Number(values.seconds);
if (!Number.isSafeInteger(seed) || !(seconds > 0)) {
  process.stderr.write(USAGE);
  process.exitCode = 2;
} else {
  const result = measureJobDecisions(GROWN_FLEET, seed, seconds * MS_PER_S, cpuMillis);
  process.stdout.write(`${JSON.stringify({ seed, seconds, result }, undefined, 2)}\n`);
}
