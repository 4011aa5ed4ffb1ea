import type { Millis } from '@turmerichoist/core';
import { sleep } from '@turmerichoist/runtime';
import type { HttpServer } from '../http/index.js';
import type { RequestPipeline } from '../requests/index.js';
import type { Coordination } from './coordination.js';
import type { EntryOptions } from './entry-options.js';

/** Time-out of each step that releases roles, grants, the session or connections. */
const RELEASE_TIMEOUT_MS: Millis = 5_000;

/** The parts of an entry that stop one after another. */
export interface StoppableEntry {
  readonly options: EntryOptions;
  readonly coordination: Coordination;
  readonly server: HttpServer;
  readonly pipeline: RequestPipeline;
}

async function withTimeout(work: Promise<unknown>, ms: Millis): Promise<void> {
  const done = new AbortController();
  await Promise.race([work, sleep(ms, done.signal)]);
  done.abort();
}

/**
 * Stops an entry without breaking requests: readiness goes off, the load balancer gets time to
 * notice, the listener closes, open requests finish, and then roles, grants and the session are
 * released.
 */
export async function stopEntry(
  entry: StoppableEntry,
  unitsReturned: Promise<void>,
): Promise<void> {
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
  await withTimeout(entry.pipeline.front.whenIdle(), settings.stopMs - settings.drainMs);
  if (entry.pipeline.front.open > 0) {
    log.warn('requests still open at the end of the stop time', {
      open: entry.pipeline.front.open,
    });
  }
  broker.post({ type: 'stopping' });
  await withTimeout(Promise.all([rolesReleased, unitsReturned]), RELEASE_TIMEOUT_MS);
  session.post({ type: 'stop' });
  await withTimeout(session.idle(), RELEASE_TIMEOUT_MS);
  await withTimeout(closed, RELEASE_TIMEOUT_MS);
  log.info('stopped');
}
