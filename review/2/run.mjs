// An executor lists 500 ends at a time. A new leader takes the first list of an executor for all that
// it has to tell, and starts tasks again whose end `done` stands in a later list.
import { fileURLToPath } from 'node:url';
import { Caller, Installation, manifestOf, pause, until } from '../lib/installation.mjs';
import { Record } from '../lib/record.mjs';
import { findSecondRuns } from '../lib/rules.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const MEMBERS = 3;
const EXECUTORS = 2;
const JOBS = 40;
const TASKS = 60;
const TASK_MS = 1_500;
/** `for_s` of `node_kill` in the site file. */
const DOWN_MS = 3_500;
const START_MS = 15_000;
const WATCH_MS = 20_000;

const ROUTE = { name: 'q', host: 'q.example', pathPrefix: '/q/', service: 'pool' };
const TENANT = { name: 't', apiKeys: ['key-t'], weight: 1, cap: { cpu: 0, memMb: 0, gpu: 0 } };
const CAPACITY = { cpu: 32_000, memMb: 131_072, gpu: 0 };
const TAKES = { cpu: 25, memMb: 64 };

const record = new Record(fileURLToPath(new URL('record.txt', import.meta.url)));
const site = new Installation(record);

async function play() {
  await site.startPlatform();
  const manifest = { routes: [ROUTE], services: ['pool'], tenants: [TENANT] };
  site.store.put('op', 'config', manifestOf(1, manifest));
  const plan = () => ({ ms: TASK_MS, how: 'done' });
  for (let i = 0; i < EXECUTORS; i += 1) {
    const resources = () => TAKES;
    await site.addExecutor({ service: 'pool', capacity: CAPACITY, plan, resources });
  }
  if (!(await site.startMembers(MEMBERS))) {
    record.say('members did not get ready');
    return 2;
  }
  await pause(2_000);
  const caller = new Caller(site, record, ROUTE, 'key-t');
  const phases = [{ count: TASKS, ...TAKES, estimateMs: TASK_MS }];
  const ids = Array.from({ length: JOBS }, (_, i) => (i + 1).toString(16).padStart(16, '0'));
  const answers = await Promise.all(
    ids.map((id) => caller.callUntilAnswered('POST', id, { spec: 'small tasks', phases })),
  );
  if (answers.some(({ status }) => status !== 200)) {
    record.say('not all jobs were accepted');
    return 2;
  }
  const starts = () => site.events.filter(({ type }) => type === 'start').length;
  if (!(await until(() => starts() >= JOBS * TASKS, START_MS))) {
    record.say(`only ${starts()} tasks were started`);
    return 2;
  }
  record.say(`${starts()} tasks were started on ${EXECUTORS} executors`);
  if (TROUBLE) {
    const { leader } = site;
    record.say(`the leader ${leader.name} is killed`);
    leader.kill('SIGKILL', DOWN_MS);
  }
  await pause(WATCH_MS);
  const second = findSecondRuns(site.events);
  second.slice(0, 20).forEach((text) => record.write(`TWICE: ${text}`));
  record.say(`TWICE: ${second.length} starts of tasks after an end 'done' that was taken note of`);
  return second.length > 0 ? 1 : 0;
}

const code = await play().catch((err) => {
  record.say(`could not run: ${err.stack}`);
  return 2;
});
site.close();
await record.close();
process.exit(code);
