import type { IncomingHttpHeaders } from 'node:http';
import type { LoadReport } from '@turmerichoist/core';
import type { HeaderFields } from './messages.js';

/** Fields that belong to one connection and are not passed on. */
const HOP_BY_HOP = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);

/** Fields of the control protocol between callers and entries. */
const ENTRY_ONLY = new Set(['authorization', 'host', 'content-length', 'x-deadline-ms', 'x-class']);

const ANSWER_ONLY = new Set(['x-load', 'x-leaving', 'x-not-run', 'x-outcome']);

/** Field names that a `connection` header adds to the hop-by-hop ones. */
function listed(headers: IncomingHttpHeaders): ReadonlySet<string> {
  const names = (headers.connection ?? '').split(',').map((name) => name.trim().toLowerCase());
  return new Set(names);
}

function filtered(headers: IncomingHttpHeaders, dropped: ReadonlySet<string>): HeaderFields {
  const alsoDropped = listed(headers);
  const kept: Record<string, string | readonly string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    const drop = HOP_BY_HOP.has(name) || dropped.has(name) || alsoDropped.has(name);
    if (value !== undefined && !drop) {
      kept[name] = value;
    }
  }
  return kept;
}

/** The caller's header fields that go on to the upstream. The team key is not among them. */
export function requestHeaders(headers: IncomingHttpHeaders): HeaderFields {
  return filtered(headers, ENTRY_ONLY);
}

/** The upstream's header fields that go on to the caller. */
export function answerHeaders(headers: IncomingHttpHeaders): HeaderFields {
  return filtered(headers, ANSWER_ONLY);
}

/** Reads `x-load: running/slots`; undefined when it is absent or malformed. */
export function loadReport(headers: IncomingHttpHeaders): LoadReport | undefined {
  const match = /^(\d{1,6})\/(\d{1,6})$/.exec(String(headers['x-load'] ?? ''));
  return match === null ? undefined : { running: Number(match[1]), slots: Number(match[2]) };
}

/** Whether the end of the answer can be told from a connection that broke. */
export function hasFraming(method: string, status: number, headers: IncomingHttpHeaders): boolean {
  const bodiless = method === 'HEAD' || status === 204 || status === 304;
  const chunked = /\bchunked\b/i.test(headers['transfer-encoding'] ?? '');
  return bodiless || chunked || headers['content-length'] !== undefined;
}
