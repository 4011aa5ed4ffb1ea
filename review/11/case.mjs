import { performance } from 'node:perf_hooks';
import { BROKEN, HELD, NOT_RUN, pause, runCase } from '../lib-3/case.mjs';
import { HOST, newId, startInstallation } from '../lib-3/installation.mjs';

const CLOUD_SILENT_MS = 4_000;
const WAVE = 1;
const TASK_MS = 300;
/** Over twice the 3 s of the rule and the 4 s before them, after the cloud answers again. */
const WAIT_MS = 20_000;
const MAINTENANCE_MS = 2_000;

await runCase(import.meta.url, async (one) => {
  let executors = [];
  const installation = await startInstallation(one, {
    tenants: ['a'],
    executors: [
      { id: 'executor-1' },
      { id: 'executor-2' },
      { id: 'executor-3', service: 'other' },
      { id: 'executor-4', service: 'other' },
      { id: 'executor-5', service: 'other' },
    ],
    executorDefaults: { durationOf: () => TASK_MS },
    onUpkeep: (machine) => {
      const executor = executors.find(({ id }) => id === machine.id);
      executor.crash();
      one.store.remove('servers', machine.id);
      machine.state = 'upkeep';
      machine.id = '';
      // After its upkeep, a new executor joins the pool.
      void pause(MAINTENANCE_MS).then(async () => {
        await executor.start({ id: `${executor.id}-next` });
        machine.state = 'up';
        machine.id = executor.id;
      });
    },
  });
  const { members, cloud } = installation;
  executors = installation.executors;
  const call = { host: HOST, key: 'key-a' };
  const body = {
    spec: 'small',
    phases: [{ count: 2, cpu: 1_000, memMb: 64, estimateMs: TASK_MS }],
  };
  const submit = async () => {
    const path = `/a/${newId()}`;
    const { status } = await one.callAny(members, 'POST', path, { ...call, body });
    return { path, accepted: status === 200 };
  };
  const stateOf = async ({ path }) =>
    (await one.callAny(members, 'GET', path, call, 3_000)).body?.state;
  const first = await submit();
  await pause(3_000);
  if ((await stateOf(first)) !== 'completed') {
    return { code: NOT_RUN, why: 'the installation does not serve a first job' };
  }

  const machines = cloud.machines.filter(({ pool }) => pool === 'pool');
  machines.forEach((machine) => {
    machine.waves = [WAVE];
  });
  cloud.silent = one.trouble;
  one.record('wave', { machines: machines.map(({ machine }) => machine), silent: cloud.silent });
  one.store.put('op', `wave/${WAVE}`, {
    wave: WAVE,
    machines: machines.map(({ machine }) => machine),
    durationS: 26,
    cap: 2,
  });
  await pause(CLOUD_SILENT_MS);
  cloud.silent = false;
  one.record('cloud answers');
  await pause(1_000);

  const jobs = [await submit(), await submit()];
  const accepted = jobs.filter((job) => job.accepted);
  const until = performance.now() + WAIT_MS;
  const readStates = async () => {
    await pause(1_000);
    const read = [];
    for (const job of accepted) {
      read.push(await stateOf(job));
    }
    return read;
  };
  let states = await readStates();
  while (states.some((state) => state !== 'completed') && performance.now() < until) {
    states = await readStates();
  }
  const up = executors.filter((executor) => executor.up && executor.options.service === 'pool');
  const busy = up.filter(({ runs }) => runs.size > 0).length;
  const open = states.filter((state) => state !== 'completed');
  const upkeeps = machines.reduce((sum, { upkept = [] }) => sum + upkept.length, 0);
  const why =
    `${open.length} of ${accepted.length} accepted jobs not completed (${open.join(', ')}) after ` +
    `${WAIT_MS / 1_000} s; ${up.length} executors of the pool up, ${busy} of them busy; ` +
    `${upkeeps} upkeeps begun; status of the wave: ${JSON.stringify(one.store.get('status', `wave/${WAVE}`))}`;
  if (accepted.length === 0) {
    return { code: NOT_RUN, why };
  }
  const broken = open.length > 0 && up.length === machines.length && busy === 0;
  return { code: broken ? BROKEN : HELD, why };
});
