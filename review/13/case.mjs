import { performance } from 'node:perf_hooks';
import { BROKEN, HELD, NOT_RUN, pause, runCase } from '../lib-3/case.mjs';
import { HOST, newId, startInstallation } from '../lib-3/installation.mjs';

/** One of them crashes, less than the `share` of `srv_crash`, .14. */
const EXECUTORS = 8;
const TASKS = 300;
const TASK_CPU = 100;
const LASTING_CPU = 1_000;
/** Less than the longest `srv_crash` with `dark` of the sites, 7.8 s. */
const DARK_MS = 5_500;
const CANCEL_MS = 3_000;
const WATCH_MS = 8_000;

await runCase(import.meta.url, async (one) => {
  let cancelledAt = Infinity;
  const late = [];
  const lasting = newId('1a');
  const wide = newId('2b');
  const { members, executors } = await startInstallation(one, {
    tenants: ['a'],
    executors: Array.from({ length: EXECUTORS }, (_, index) => ({ id: `executor-${index + 1}` })),
    executorDefaults: {
      needOf: (task) => ({ cpu: task.startsWith(lasting) ? LASTING_CPU : TASK_CPU }),
      durationOf: (task) => (task.startsWith(lasting) ? Infinity : 20_000),
      onRunStart: (executor, { task, attempt }) => {
        const afterMs = performance.now() - cancelledAt;
        if (task.startsWith(wide) && afterMs > CANCEL_MS) {
          late.push(task);
          one.record('start after the cancelling', {
            executor: executor.id,
            life: executor.life,
            task,
            attempt,
            afterMs: Math.round(afterMs),
          });
        }
      },
    },
  });
  const call = { host: HOST, key: 'key-a' };
  const submit = (id, phase) =>
    one.callAny(members, 'POST', `/a/${id}`, { ...call, body: { spec: 'w', phases: [phase] } });
  await submit(lasting, { count: 1, cpu: LASTING_CPU, memMb: 64, longRunning: true });
  await pause(3_000);
  // Finite tasks go where the least is free, so the wide job goes to the executor with the lasting task.
  const executor = executors.find(({ runs }) => runs.size > 0);
  if (executor === undefined) {
    return { code: NOT_RUN, why: 'the lasting task does not run' };
  }

  if (one.trouble) {
    executor.goDark();
  }
  const step = { count: TASKS, cpu: TASK_CPU, memMb: 16, estimateMs: 20_000 };
  const handed = await submit(wide, step);
  await pause(50);
  const cancelled = await one.callAny(members, 'DELETE', `/a/${wide}`, call);
  if (handed.status !== 200 || cancelled.status !== 200) {
    return { code: NOT_RUN, why: `submission ${handed.status}, cancelling ${cancelled.status}` };
  }
  cancelledAt = performance.now();
  await pause(DARK_MS);
  if (one.trouble) {
    executor.returnFromDark();
  }
  await pause(WATCH_MS);
  const why = `${late.length} starts later than ${CANCEL_MS} ms after the cancelling was acknowledged`;
  return { code: late.length > 0 ? BROKEN : HELD, why };
});
