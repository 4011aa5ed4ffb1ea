import { cpuMillis } from '../capacity/probes.js';
import { measureBacklog } from './backlog.js';

const OPEN_JOBS = [100, 1_000, 4_000];
const ENDS_PER_ROUND = [1, 20];
/** Compiles what is measured. */
const WARM_UP_JOBS = 100;

measureBacklog(WARM_UP_JOBS, 1, cpuMillis);
for (const endsPerRound of ENDS_PER_ROUND) {
  for (const openJobs of OPEN_JOBS) {
    const result = measureBacklog(openJobs, endsPerRound, cpuMillis);
    process.stdout.write(`${JSON.stringify(result)}\n`);
  }
}
