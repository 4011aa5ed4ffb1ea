import { afterEach, beforeEach, expect, test } from '@jest/globals';
import { ManualClock, type LeaseOrder, type StopMode, type TaskId } from '@turmerichoist/core';
import { WorkerClient } from '@turmerichoist/daemon';
import { sleep } from '@turmerichoist/runtime';
import { startWorker, type Worker } from '@turmerichoist/stand-ins';

const capacity = { processors: 4, memoryMb: 1_000, accelerators: 1 };
const signal = new AbortController().signal;
const TTL_MS = 400;
let clock: ManualClock;
let worker: Worker;
let client: WorkerClient;

beforeEach(async () => {
  clock = new ManualClock();
  worker = await startWorker({ host: '127.0.0.1', port: 0, capacity, rebootMs: 50, clock });
  client = new WorkerClient({ worker: 'w1', address: worker.address, timeoutMs: 5_000 });
});

afterEach(async () => {
  await client.close();
  await worker.close();
});

function order(id: TaskId, sequence: number, command = 'run ms=5000', ttlMs = TTL_MS): LeaseOrder {
  const fence = { epoch: 1, sequence };
  const resources = { processors: 1, memoryMb: 10, accelerators: 0 };
  const validBeforeMs = Number.MAX_SAFE_INTEGER;
  return {
    id,
    fence,
    ttlMs,
    validBeforeMs,
    incarnation: '1',
    command,
    resources,
    resume: false,
  };
}

async function lease(given: LeaseOrder): Promise<string> {
  const replies = await client.lease([given], signal);
  return replies.map(([first]) => first?.reply ?? 'none').unwrapOr('error');
}

async function stop(given: LeaseOrder, mode: StopMode, epoch = 1): Promise<string> {
  const replies = await client.stop(epoch, given.id, given.fence, mode, signal);
  return replies.map(([first]) => first?.reply ?? 'none').unwrapOr('error');
}

async function finished(id: TaskId): Promise<string | undefined> {
  const report = (await client.report(0, signal)).unwrap();
  return report.finished.find((task) => task.id === id)?.outcome;
}

test('a task runs to its end and is reported once after the cursor', async () => {
  expect(await lease(order('a', 1, 'run ms=20'))).toBe('accepted');
  clock.advance(60);
  const report = (await client.report(0, signal)).unwrap();
  expect(report.finished.map((task) => task.outcome)).toEqual(['succeeded']);
  const next = (await client.report(report.cursor, signal)).unwrap();
  expect(next.finished).toEqual([]);
});

test('a lease with an older fence does not start a second copy', async () => {
  await lease(order('a', 5));
  expect(await lease(order('a', 4))).toBe('stale-fence');
  expect(await stop(order('a', 4), 'stop')).toBe('stale-fence');
  expect(worker.runs).toHaveLength(1);
});

test('a former owner can neither lease, renew nor stop after a later epoch was seen', async () => {
  await lease(order('a', 1));
  await stop(order('other', 1), 'stop', 2);
  expect(await lease(order('b', 9))).toBe('stale-fence');
  expect(await stop(order('a', 1), 'stop')).toBe('stale-fence');
  const renewed = await client.renew(1, [{ ...order('a', 1), throttled: false }], signal);
  expect(renewed.unwrap()[0]?.reply).toBe('stale-fence');
});

test('a task whose lease lapses stops by itself, and a renewed one goes on', async () => {
  await lease(order('lapses', 1, 'run ms=5000', 100));
  await lease(order('renewed', 2, 'run ms=5000', 100));
  await client.renew(1, [{ ...order('renewed', 2), ttlMs: 2_000, throttled: false }], signal);
  clock.advance(200);
  expect(await finished('lapses')).toBe('stopped');
  expect(await finished('renewed')).toBeUndefined();
});

test('a lease that was held up in a paused worker is not started afterwards', async () => {
  const { clockMs } = (await client.report(0, signal)).unwrap();
  worker.setFaults({ paused: true });
  const sent = client.lease([{ ...order('late', 1), validBeforeMs: clockMs + 100 }], signal);
  await sleep(50, signal);
  clock.advance(200);
  worker.setFaults({ paused: false });
  expect((await sent).unwrap()[0]?.reply).toBe('expired');
  expect(worker.runs).toEqual([]);
});

test('a lost answer is reported as an unknown outcome, not as one that did not run', async () => {
  worker.setFaults({ loseAnswers: true });
  const answer = await client.lease([order('a', 1)], signal);
  expect(answer.isErr() ? answer.error.kind : '').toBe('outcome-unknown');
  expect(worker.runs).toHaveLength(1);
});

test('a silent worker ends the call at its time-out and handles nothing', async () => {
  worker.setFaults({ silent: true });
  const impatient = new WorkerClient({ worker: 'w1', address: worker.address, timeoutMs: 200 });
  const answer = await impatient.lease([order('a', 1)], signal);
  await impatient.close();
  expect(answer.isErr() ? answer.error.kind : '').toBe('outcome-unknown');
  expect(worker.runs).toEqual([]);
});

test('an abort before the call is sent leaves the task unstarted', async () => {
  const answer = await client.lease([order('a', 1)], AbortSignal.abort());
  expect(answer.isErr() ? answer.error.kind : '').toBe('peer-unavailable');
  expect(worker.runs).toEqual([]);
});

test('faults are switched over HTTP, and a faulty worker fails everything it starts', async () => {
  const url = `http://${worker.address}/faults`;
  await fetch(url, { method: 'POST', body: JSON.stringify({ failAll: true, slowMs: 'x' }) });
  expect(worker.faults).toMatchObject({ failAll: true, slowMs: 0 });
  await lease(order('a', 1));
  expect(await finished('a')).toBe('failed');
});

test('a drained worker checkpoints what it can and takes nothing new', async () => {
  await lease(order('a', 1));
  await lease(order('b', 2, 'run ms=5000 checkpoint=no'));
  await client.drain(signal);
  expect(await lease(order('c', 3))).toBe('draining');
  expect([await finished('a'), await finished('b')]).toEqual(['checkpointed', undefined]);
});

test('a reboot ends every task and shows a new incarnation', async () => {
  const before = (await client.report(0, signal)).unwrap().incarnation;
  await lease(order('a', 1));
  await client.reboot(signal);
  await sleep(300, signal);
  const report = (await client.report(0, signal)).unwrap();
  expect([report.running, report.incarnation === before]).toEqual([[], false]);
  expect(await lease(order('meant-for-the-former-run', 2))).toBe('expired');
});

test('accelerators are never given twice', async () => {
  const whole = { processors: 1, memoryMb: 1, accelerators: 1 };
  expect(await lease({ ...order('a', 1), resources: whole })).toBe('accepted');
  expect(await lease({ ...order('b', 2), resources: whole })).toBe('busy');
});

test('a throttle is reported and ends with a renewal that does not ask for it', async () => {
  await lease(order('a', 1));
  await stop(order('a', 1), 'throttle');
  const report = (await client.report(0, signal)).unwrap();
  expect(report.running[0]?.throttled).toBe(true);
  await client.renew(1, [{ ...order('a', 1), throttled: false }], signal);
  const lifted = (await client.report(0, signal)).unwrap();
  expect(lifted.running[0]?.throttled).toBe(false);
});
