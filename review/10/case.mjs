import { fileURLToPath } from 'node:url';
import { setTimeout as later } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { leaderOf, waitFor } from '../lib-2/member.mjs';
import { BROKEN, HELD, NOT_RUN, TROUBLE, jobId, runCase } from '../lib-2/world.mjs';

const CAP = 32_000;
const TASK_CPU = 4_000;
const TASKS = 8;
const TASK_MS = 12_000;
/** Share of the cap that may be exceeded (`quotaOverage`). */
const OVERAGE = 0.1;
const CUT_MS = 5_500;
const JOBS_AFTER = 10;
const JOB_INTERVAL_MS = 400;

await runCase(fileURLToPath(new URL('.', import.meta.url)), async (world) => {
  const ready = await world.open({
    members: 3,
    executors: ['a', 'a', 'b', 'b', 'c', 'c'].map((zone) => ({ zone, cpu: 32_000 })),
    tenants: [
      { name: 'north', cap: CAP },
      { name: 'south', cap: 0 },
    ],
  });
  if (!ready) {
    return NOT_RUN;
  }
  const limit = CAP * (1 + OVERAGE) + TASK_CPU;
  let broken = false;
  world.listeners.push(({ type, task }) => {
    if (type !== 'start') {
      return;
    }
    const running = world.executors
      .flatMap(({ runs }) => [...runs.values()])
      .reduce((sum, { cpu }) => sum + cpu, 0);
    if (running > limit) {
      broken = true;
      world.record.line(`QUOTA broken: ${task} brings the tenant to ${running}, limit ${limit}`);
    }
  });
  const phases = [{ count: TASKS, cpu: TASK_CPU, memMb: 256, estimateMs: TASK_MS }];
  const job = () => ({ id: jobId(), tenant: 'north', phases, cpu: TASK_CPU, spec: `${TASK_MS}` });
  const [first] = world.members;
  if (!(await world.submit(first, job()))) {
    return NOT_RUN;
  }
  const running = () => world.executors.reduce((sum, { runs }) => sum + runs.size, 0);
  if (!(await waitFor(() => running() === TASKS, 5_000))) {
    return NOT_RUN;
  }
  // Their starts and first polls are over.
  await sleep(1_000);
  const leader = leaderOf(world.members);
  const others = world.members.filter((member) => member !== leader);
  if (TROUBLE) {
    const used = world.executors.filter(({ runs }) => runs.size > 0);
    used.forEach(({ id, link }) => {
      world.record.line(`${id} is cut off`);
      link.silence();
    });
    later(() => {
      used.forEach(({ id, link }) => {
        world.record.line(`${id} is back`);
        link.restore();
      });
    }, CUT_MS);
    world.record.line(`SIGTERM to ${leader.name}, the leader`);
    leader.kill('SIGTERM');
  }
  for (let sent = 0; sent < JOBS_AFTER; sent += 1) {
    await sleep(JOB_INTERVAL_MS);
    await world.submit(others[0], job());
  }
  await sleep(6_000);
  return broken ? BROKEN : HELD;
});
