import { parseArgs } from 'node:util';
import { measureDecisionTime } from './decision-time.js';
import { DEPLOYMENTS, type Deployment } from './deployments.js';
import { measurePacking } from './packing.js';
import { measureShares } from './shares.js';
import { measureUrgent } from './urgent.js';

/** Processor time of this process, which other load on the host affects less than elapsed time. */
function cpuMillis(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / 1_000;
}

const USAGE =
  'usage: main.js <shares|urgent|packing|decision-time> [--deployment NAME] [--seed N]\n';

function measure(kind: string | undefined, deployment: Deployment, seed: number): unknown {
  switch (kind) {
    case 'shares':
      return measureShares(deployment, seed);
    case 'urgent':
      return measureUrgent(deployment, seed);
    case 'packing':
      return measurePacking(deployment, seed);
    case 'decision-time':
      return measureDecisionTime(deployment, seed, cpuMillis);
    default:
      return undefined;
  }
}

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: {
    deployment: { type: 'string', default: 'consortium' },
    seed: { type: 'string', default: '1' },
  },
});
const [kind] = positionals;
const deployment = DEPLOYMENTS.find(({ name }) => name === values.deployment);
const result =
  deployment === undefined ? undefined : measure(kind, deployment, Number(values.seed));
if (result === undefined) {
  process.stderr.write(USAGE);
  process.exitCode = 2;
} else {
  process.stdout.write(`${JSON.stringify({ kind, ...values, result }, undefined, 2)}\n`);
}
