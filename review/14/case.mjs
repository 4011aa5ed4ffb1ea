import { BROKEN, HELD, NOT_RUN, pause, runCase } from '../lib-3/case.mjs';
import { HOST, newId, startInstallation } from '../lib-3/installation.mjs';

const CAP_CPU = 16_000;
/** `quotaOverage` of the site. */
const OVERAGE = 0.1;
const TASK_CPU = 1_000;
/** The limit of the rule: the cap, its overage, and one task more. */
const MOST_CPU = CAP_CPU * (1 + OVERAGE) + TASK_CPU;
const TASKS = CAP_CPU / TASK_CPU;
const TASK_MS = 60_000;
/** A stop takes at most `stopTimeoutMs`, 900. */
const STOP_MS = 600;
const TAKEOVER_MS = 15_000;
/** `for_s` of `node_kill` in the site file: the process starts again then. */
const DOWN_MS = 3_500;

await runCase(import.meta.url, async (one) => {
  let executors = [];
  let mostCpu = 0;
  const over = [];
  const running = () => executors.reduce((sum, { runs }) => sum + runs.size, 0);
  const installation = await startInstallation(one, {
    tenants: ['a'],
    manifestChange: { tenants: { cap: { cpu: CAP_CPU, memMb: 0, gpu: 0 } } },
    executors: [{ id: 'executor-1' }, { id: 'executor-2' }],
    executorDefaults: {
      stopMs: STOP_MS,
      needOf: () => ({ cpu: TASK_CPU }),
      durationOf: () => TASK_MS,
      onRunStart: (executor, { task, attempt }) => {
        const cpu = running() * TASK_CPU;
        mostCpu = Math.max(mostCpu, cpu);
        if (cpu > MOST_CPU) {
          over.push(task);
          one.record('start above the limit', { executor: executor.id, task, attempt, cpu });
        }
      },
    },
  });
  const { members } = installation;
  executors = installation.executors;
  const call = { host: HOST, key: 'key-a' };
  const step = { count: TASKS, cpu: TASK_CPU, memMb: 64, estimateMs: TASK_MS };
  const submit = async () => {
    const path = `/a/${newId()}`;
    const body = { spec: 'batch', phases: [step] };
    const { status } = await one.callAny(members, 'POST', path, { ...call, body });
    return { path, accepted: status === 200 };
  };
  const first = await submit();
  await pause(2_000);
  const second = await submit();
  await pause(2_000);
  if (!first.accepted || !second.accepted || running() !== TASKS) {
    return { code: NOT_RUN, why: `${running()} tasks run` };
  }

  const leader = one.leader();
  const others = members.filter((member) => member !== leader);
  if (one.trouble) {
    one.signal(leader, 'SIGKILL');
  }
  const cancelled = await one.callAny(others, 'DELETE', first.path, call);
  if (cancelled.status !== 200) {
    return { code: NOT_RUN, why: 'the first job is not cancelled' };
  }
  await pause(DOWN_MS);
  if (one.trouble) {
    one.spawnMember(leader);
  }
  await pause(TAKEOVER_MS - DOWN_MS);
  const why =
    `${over.length} starts above ${MOST_CPU} thousandths of a core, at most ${mostCpu} running; ` +
    `${running()} tasks run at the end`;
  return { code: over.length > 0 ? BROKEN : HELD, why };
});
