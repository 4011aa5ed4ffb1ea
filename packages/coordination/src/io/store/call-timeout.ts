import type { Millis } from '@turmerichoist/core';

export interface CallTimeout {
  /** Aborted with the parent or on time-out. */
  readonly signal: AbortSignal;
  /** Whether the call timed out. */
  expired(): boolean;
  /** Aborts the call before it times out. */
  abort(): void;
  /** Releases the timer and the listener on the parent. */
  clear(): void;
}

/**
 * Creates a time-out for one call. Unlike `AbortSignal.any`, it leaves nothing registered on a
 * parent that lives as long as the process.
 */
export function callTimeout(parent: AbortSignal, ms: Millis): CallTimeout {
  const controller = new AbortController();
  let expired = false;
  const abort = (): void => {
    controller.abort();
  };
  const timer = setTimeout(() => {
    expired = true;
    controller.abort();
  }, ms);
  parent.addEventListener('abort', abort, { once: true });
  return {
    signal: controller.signal,
    expired: () => expired,
    abort,
    clear: () => {
      clearTimeout(timer);
      parent.removeEventListener('abort', abort);
    },
  };
}
