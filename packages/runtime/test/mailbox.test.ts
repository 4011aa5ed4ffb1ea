import { expect, test } from '@jest/globals';
import { Mailbox } from '@turmerichoist/runtime';

function collecting(signal = new AbortController().signal, capacity = 100) {
  const seen: number[] = [];
  const faults: unknown[] = [];
  const mailbox = new Mailbox<number>({
    receive: async (message) => {
      await Promise.resolve();
      if (message < 0) {
        throw new Error('negative');
      }
      seen.push(message);
    },
    onFault: (err) => faults.push(err),
    signal,
    capacity,
  });
  return { mailbox, seen, faults };
}

test('messages are handled one at a time and in order, also those posted while one is handled', async () => {
  const { mailbox, seen } = collecting();
  mailbox.post(1);
  mailbox.post(2);
  await Promise.resolve();
  mailbox.post(3);
  await mailbox.idle();
  expect(seen).toEqual([1, 2, 3]);
});

test('a handler that fails does not stop the messages after it', async () => {
  const { mailbox, seen, faults } = collecting();
  mailbox.post(-1);
  mailbox.post(4);
  await mailbox.idle();
  expect([seen, faults.length]).toEqual([[4], 1]);
});

test('a full mailbox refuses messages instead of growing without bound', () => {
  const { mailbox } = collecting(undefined, 2);
  expect([mailbox.post(1), mailbox.post(2), mailbox.post(3)]).toEqual([true, true, false]);
});

test('nothing is handled after the signal has fired', async () => {
  const stop = new AbortController();
  const { mailbox, seen } = collecting(stop.signal);
  mailbox.post(1);
  stop.abort();
  await mailbox.idle();
  expect([seen, mailbox.post(2)]).toEqual([[], false]);
});
