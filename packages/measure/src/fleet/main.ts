import { parseArgs } from 'node:util';
import { DEPLOYMENTS, type Deployment } from './deployments.js';
import { measurePlanningTime } from './planning-time.js';
import { measurePlans } from './plans.js';
import { measurePools } from './pools.js';
import { measureZones } from './zones.js';

const MEASURES: Readonly<Record<string, (deployment: Deployment, seed: number) => string>> = {
  pools: measurePools,
  plans: measurePlans,
  zones: measureZones,
  'planning-time': measurePlanningTime,
};

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: {
    deployment: { type: 'string', default: 'consortium' },
    seed: { type: 'string', default: '1' },
  },
});
const measure = MEASURES[positionals[0] ?? ''];
const deployment = DEPLOYMENTS[values.deployment];
if (measure === undefined || deployment === undefined) {
  const names = Object.keys(MEASURES).join('|');
  process.stderr.write(`usage: main.js <${names}> --deployment consortium|nadroga --seed N\n`);
  process.exitCode = 2;
} else {
  process.stdout.write(measure(deployment, Number(values.seed)));
}
