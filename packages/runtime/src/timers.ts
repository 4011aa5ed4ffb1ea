import type { Millis } from '@turmerichoist/core';

/** Calls `action` every `periodMs` until the signal is aborted. Does not keep the process alive. */
export function every(periodMs: Millis, signal: AbortSignal, action: () => void): void {
  if (signal.aborted) {
    return;
  }
  const timer = setInterval(action, periodMs);
  timer.unref();
  signal.addEventListener(
    'abort',
    () => {
      clearInterval(timer);
    },
    { once: true },
  );
}

/**
 * Calls `action` once the input that has already arrived has been read and handled. Promises alone
 * are settled before the next socket is read.
 */
export function afterArrivedInput(signal: AbortSignal, action: () => void): void {
  setImmediate(() => {
    if (!signal.aborted) {
      action();
    }
  });
}

/** Calls `action` once after `ms`, unless the signal is aborted. */
export function after(ms: Millis, signal: AbortSignal, action: () => void): void {
  setTimeout(() => {
    if (!signal.aborted) {
      action();
    }
  }, ms);
}

/** Waits for `ms`. Resolves early, without an error, when the signal is aborted. */
export function sleep(ms: Millis, signal: AbortSignal): Promise<void> {
  if (signal.aborted) {
    return Promise.resolve();
  }
  return new Promise((resolve) => {
    const end = (): void => {
      clearTimeout(timer);
      signal.removeEventListener('abort', end);
      resolve();
    };
    const timer = setTimeout(end, ms);
    signal.addEventListener('abort', end, { once: true });
  });
}

/** Returns a signal that is aborted with `parent` or after `ms`, whichever comes first. */
export function timeoutSignal(parent: AbortSignal, ms: Millis): AbortSignal {
  return AbortSignal.any([parent, AbortSignal.timeout(Math.max(0, Math.ceil(ms)))]);
}
