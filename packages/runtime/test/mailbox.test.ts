import { expect, test } from '@jest/globals';
import { Mailbox } from '@turmerichoist/runtime';

function createCollectingMailbox(signal = new AbortController().signal, capacity = 100) {
  const received: number[] = [];
  const errors: unknown[] = [];
  const mailbox = new Mailbox<number>({
    receive: async (message) => {
      await Promise.resolve();
      if (message < 0) {
        throw new Error('negative');
      }
      received.push(message);
    },
    onError: (err) => errors.push(err),
    signal,
    capacity,
  });
  return { mailbox, received, errors };
}

test('messages are handled one at a time and in order, including those posted during handling', async () => {
  const { mailbox, received } = createCollectingMailbox();
  mailbox.post(1);
  mailbox.post(2);
  await Promise.resolve();
  mailbox.post(3);
  await mailbox.idle();
  expect(received).toEqual([1, 2, 3]);
});

test('a rejected handler does not prevent the handling of later messages', async () => {
  const { mailbox, received, errors } = createCollectingMailbox();
  mailbox.post(-1);
  mailbox.post(4);
  await mailbox.idle();
  expect([received, errors.length]).toEqual([[4], 1]);
});

test('a full mailbox refuses messages instead of growing without bound', () => {
  const { mailbox } = createCollectingMailbox(undefined, 2);
  expect([mailbox.post(1), mailbox.post(2), mailbox.post(3)]).toEqual([true, true, false]);
});

test('no message is handled after the signal is aborted', async () => {
  const controller = new AbortController();
  const { mailbox, received } = createCollectingMailbox(controller.signal);
  mailbox.post(1);
  controller.abort();
  await mailbox.idle();
  expect([received, mailbox.post(2)]).toEqual([[], false]);
});
