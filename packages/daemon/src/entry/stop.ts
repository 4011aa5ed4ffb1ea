import type { Millis } from '@turmerichoist/core';
import { sleep } from '@turmerichoist/runtime';
import type { Entry } from './entry.js';

/** Time that the return of roles, grants and the session may take together. */
const RELEASE_MS: Millis = 5_000;

async function within(work: Promise<unknown>, ms: Millis): Promise<void> {
  const done = new AbortController();
  await Promise.race([work, sleep(ms, done.signal)]);
  done.abort();
}

/**
 * Stops an entry in the order that cuts nothing: readiness off, time for the balancer, no new
 * connections, open requests finish, then roles, grants and the session are given back.
 */
export async function stopEntry(entry: Entry, unitsReturned: Promise<void>): Promise<void> {
  const { settings, log } = entry.options;
  const { ownership, broker, session } = entry.coordination;
  entry.server.announceStop();
  entry.coordination.announceStop();
  log.info('stopping', { drainMs: settings.drainMs });
  const rolesReleased = new Promise<void>((resolve) => {
    ownership.post({ type: 'stop', done: resolve });
  });
  await sleep(settings.drainMs, new AbortController().signal);
  const closed = entry.server.close();
  await within(entry.path.front.whenIdle(), settings.stopMs - settings.drainMs);
  if (entry.path.front.open > 0) {
    log.warn('requests still open at the end of the stop time', { open: entry.path.front.open });
  }
  broker.post({ type: 'stopping' });
  await within(Promise.all([rolesReleased, unitsReturned]), RELEASE_MS);
  session.post({ type: 'stop' });
  await within(session.idle(), RELEASE_MS);
  await within(closed, RELEASE_MS);
  log.info('stopped');
}
