import type { ServerResponse } from 'node:http';
import type { Revision } from '@turmerichoist/core';
import { sendError } from '../http/responses.js';
import type { ConfigurationAccess } from './configuration-access.js';

/** Period at which a watch sends an empty line, so that broken connections are detected. */
const KEEP_ALIVE_MS = 5_000;

/**
 * Streams every change after `from` as JSON lines, in order and without gaps, until either side
 * closes.
 */
export function watch(
  access: ConfigurationAccess,
  from: Revision,
  res: ServerResponse,
  signal: AbortSignal,
): void {
  const first = access.changesAfter(from);
  if (first.isErr()) {
    sendError(res, first.error);
    return;
  }
  const ended = new AbortController();
  const until = AbortSignal.any([signal, ended.signal]);
  res.writeHead(200, { 'content-type': 'application/x-ndjson' });
  let position = from;
  const send = (): void => {
    const changes = access.changesAfter(position);
    if (changes.isErr()) {
      res.destroy();
      return;
    }
    for (const change of changes.value) {
      res.write(`${JSON.stringify(change)}\n`);
      position = change.revision;
    }
  };
  const keepAlive = setInterval(() => res.write('\n'), KEEP_ALIVE_MS);
  keepAlive.unref();
  res.once('close', () => {
    clearInterval(keepAlive);
    ended.abort();
  });
  signal.addEventListener('abort', () => res.end(), { once: true, signal: ended.signal });
  access.onChange(send, until);
  send();
}
