import { fail, type AppError, type Result } from '@turmerichoist/core';
import type { Recipient } from '@turmerichoist/runtime';

/**
 * Sends a message that carries a reply function and waits for the reply. Fails with `not-ready`
 * when the recipient does not accept the message or when its own signal, `signal`, is aborted.
 */
export function ask<M, T>(
  recipient: Recipient<M>,
  signal: AbortSignal,
  buildMessage: (reply: (result: Result<T, AppError>) => void) => M,
): Promise<Result<T, AppError>> {
  return new Promise((resolve) => {
    const onAbort = (): void => {
      resolve(fail('not-ready', 'stopping'));
    };
    const reply = (result: Result<T, AppError>): void => {
      signal.removeEventListener('abort', onAbort);
      resolve(result);
    };
    signal.addEventListener('abort', onAbort, { once: true });
    if (!recipient.post(buildMessage(reply))) {
      reply(fail('not-ready', 'mailbox full or closed'));
    }
  });
}
