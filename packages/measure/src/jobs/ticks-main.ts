import { cpuMillis } from '../capacity/probes.js';
import { measureTicks } from './ticks.js';

const TICKS = 20;
const WARM_UP_TICKS = 10;
const CASES = [
  { waitingJobs: 0, waveInstances: 0 },
  { waitingJobs: 300, waveInstances: 0 },
  { waitingJobs: 0, waveInstances: 136 },
];

for (const { waitingJobs, waveInstances } of CASES) {
  measureTicks(waitingJobs, waveInstances, WARM_UP_TICKS, cpuMillis);
  const result = measureTicks(waitingJobs, waveInstances, TICKS, cpuMillis);
  process.stdout.write(`${JSON.stringify(result)}\n`);
}
