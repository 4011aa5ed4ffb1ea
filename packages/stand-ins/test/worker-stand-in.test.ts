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

function leaseOrder(
  id: TaskId,
  sequence: number,
  command = 'run ms=5000',
  ttlMs = TTL_MS,
): LeaseOrder {
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

async function lease(order: LeaseOrder): Promise<string> {
  const replies = await client.lease([order], signal);
  return replies.map(([first]) => first?.reply ?? 'none').unwrapOr('error');
}

async function stop(order: LeaseOrder, mode: StopMode, epoch = 1): Promise<string> {
  const replies = await client.stop(epoch, order.id, order.fence, mode, signal);
  return replies.map(([first]) => first?.reply ?? 'none').unwrapOr('error');
}

async function finishedOutcome(id: TaskId): Promise<string | undefined> {
  const report = (await client.report(0, signal)).unwrap();
  return report.finished.find((task) => task.id === id)?.outcome;
}

test('a finished task is reported until the cursor has passed it', async () => {
  expect(await lease(leaseOrder('a', 1, 'run ms=20'))).toBe('accepted');
  clock.advance(60);
  const report = (await client.report(0, signal)).unwrap();
  expect(report.finished.map((task) => task.outcome)).toEqual(['succeeded']);
  const next = (await client.report(report.cursor, signal)).unwrap();
  expect(next.finished).toEqual([]);
});

test('a lease with an older fence does not start a second run', async () => {
  await lease(leaseOrder('a', 5));
  expect(await lease(leaseOrder('a', 4))).toBe('stale-fence');
  expect(await stop(leaseOrder('a', 4), 'stop')).toBe('stale-fence');
  expect(worker.runs).toHaveLength(1);
});

test('a former owner cannot lease, renew or stop once a later epoch was seen', async () => {
  await lease(leaseOrder('a', 1));
  await stop(leaseOrder('other', 1), 'stop', 2);
  expect(await lease(leaseOrder('b', 9))).toBe('stale-fence');
  expect(await stop(leaseOrder('a', 1), 'stop')).toBe('stale-fence');
  const renewed = await client.renew(1, [{ ...leaseOrder('a', 1), throttled: false }], signal);
  expect(renewed.unwrap()[0]?.reply).toBe('stale-fence');
});

test('a task stops when its lease expires, and continues when the lease is renewed', async () => {
  await lease(leaseOrder('expiring', 1, 'run ms=5000', 100));
  await lease(leaseOrder('renewed', 2, 'run ms=5000', 100));
  await client.renew(1, [{ ...leaseOrder('renewed', 2), ttlMs: 2_000, throttled: false }], signal);
  clock.advance(200);
  expect(await finishedOutcome('expiring')).toBe('stopped');
  expect(await finishedOutcome('renewed')).toBeUndefined();
});

test('a lease that was delayed in a paused worker past its validity is not started', async () => {
  const { clockMs } = (await client.report(0, signal)).unwrap();
  worker.setFaults({ paused: true });
  const sent = client.lease([{ ...leaseOrder('late', 1), validBeforeMs: clockMs + 100 }], signal);
  await sleep(50, signal);
  clock.advance(200);
  worker.setFaults({ paused: false });
  expect((await sent).unwrap()[0]?.reply).toBe('expired');
  expect(worker.runs).toEqual([]);
});

test('a lost response is reported as an unknown outcome, not as not run', async () => {
  worker.setFaults({ loseAnswers: true });
  const result = await client.lease([leaseOrder('a', 1)], signal);
  expect(result.isErr() ? result.error.kind : '').toBe('outcome-unknown');
  expect(worker.runs).toHaveLength(1);
});

test('a call to a silent worker times out, and the worker handles nothing', async () => {
  worker.setFaults({ silent: true });
  const shortTimeoutClient = new WorkerClient({
    worker: 'w1',
    address: worker.address,
    timeoutMs: 200,
  });
  const result = await shortTimeoutClient.lease([leaseOrder('a', 1)], signal);
  await shortTimeoutClient.close();
  expect(result.isErr() ? result.error.kind : '').toBe('outcome-unknown');
  expect(worker.runs).toEqual([]);
});

test('a call that is aborted before it is sent does not start the task', async () => {
  const result = await client.lease([leaseOrder('a', 1)], AbortSignal.abort());
  expect(result.isErr() ? result.error.kind : '').toBe('peer-unavailable');
  expect(worker.runs).toEqual([]);
});

test('faults can be set over HTTP, and `failAll` fails every task at its start', async () => {
  const url = `http://${worker.address}/faults`;
  await fetch(url, { method: 'POST', body: JSON.stringify({ failAll: true, slowMs: 'x' }) });
  expect(worker.faults).toMatchObject({ failAll: true, slowMs: 0 });
  await lease(leaseOrder('a', 1));
  expect(await finishedOutcome('a')).toBe('failed');
});

test('a draining worker checkpoints the tasks that support it and refuses new leases', async () => {
  await lease(leaseOrder('a', 1));
  await lease(leaseOrder('b', 2, 'run ms=5000 checkpoint=no'));
  await client.drain(signal);
  expect(await lease(leaseOrder('c', 3))).toBe('draining');
  expect([await finishedOutcome('a'), await finishedOutcome('b')]).toEqual([
    'checkpointed',
    undefined,
  ]);
});

test('a reboot ends every task and changes the incarnation', async () => {
  const before = (await client.report(0, signal)).unwrap().incarnation;
  await lease(leaseOrder('a', 1));
  await client.reboot(signal);
  await sleep(300, signal);
  const report = (await client.report(0, signal)).unwrap();
  expect([report.running, report.incarnation === before]).toEqual([[], false]);
  expect(await lease(leaseOrder('former-incarnation', 2))).toBe('expired');
});

test('an accelerator is never assigned to two tasks', async () => {
  const oneAccelerator = { processors: 1, memoryMb: 1, accelerators: 1 };
  expect(await lease({ ...leaseOrder('a', 1), resources: oneAccelerator })).toBe('accepted');
  expect(await lease({ ...leaseOrder('b', 2), resources: oneAccelerator })).toBe('busy');
});

test('a throttled task is reported as such until a renewal lifts the throttle', async () => {
  await lease(leaseOrder('a', 1));
  await stop(leaseOrder('a', 1), 'throttle');
  const report = (await client.report(0, signal)).unwrap();
  expect(report.running[0]?.throttled).toBe(true);
  await client.renew(1, [{ ...leaseOrder('a', 1), throttled: false }], signal);
  const afterRenewal = (await client.report(0, signal)).unwrap();
  expect(afterRenewal.running[0]?.throttled).toBe(false);
});
