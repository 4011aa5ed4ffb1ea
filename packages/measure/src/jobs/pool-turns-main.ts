import { parseArgs } from 'node:util';
import { measurePoolTurns } from './pool-turns.js';
import { GROWN_FLEET } from './workload.js';

const USAGE = 'usage: node pool-turns-main.js [--seconds N] [--seed N] [--move-ms N]\n';

const { values } = parseArgs({
  options: {
    seconds: { type: 'string', default: '40' },
    seed: { type: 'string', default: '1' },
    'move-ms': { type: 'string', default: '1500' },
  },
});
const [seconds, seed, moveMs] = [values.seconds, values.seed, values['move-ms']].map(Number);
if (![seconds, seed, moveMs].every((value) => value !== undefined && value >= 0)) {
  process.stderr.write(USAGE);
  process.exit(2);
}
for (const lastingStepsPerPool of [0, GROWN_FLEET.lastingStepsPerPool]) {
  const turns = measurePoolTurns({
    size: { ...GROWN_FLEET, pools: 4, lastingStepsPerPool },
    standby: 40,
    arrivalsMs: Number(seconds) * 1_000,
    moveMs: Number(moveMs),
    seed: Number(seed),
  });
  process.stdout.write(`${JSON.stringify({ lastingStepsPerPool, ...turns })}\n`);
}
