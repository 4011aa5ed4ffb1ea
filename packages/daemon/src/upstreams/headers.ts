import type { IncomingHttpHeaders } from 'node:http';
import type { LoadReport } from '@turmerichoist/core';
import type { HeaderFields } from './messages.js';

/** Header fields that apply to one connection only and are not forwarded. */
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

/** Request fields that the entry consumes or that are set anew for the upstream; not forwarded. */
const REQUEST_ONLY = new Set([
  'authorization',
  'host',
  'content-length',
  'x-deadline-ms',
  'x-class',
]);

/** Fields of the control protocol that are removed from an upstream's response. */
const RESPONSE_ONLY = new Set(['x-load', 'x-leaving', 'x-not-run', 'x-outcome']);

/** Names of the hop-by-hop fields that the `connection` header lists. */
function connectionHeaderNames(headers: IncomingHttpHeaders): ReadonlySet<string> {
  const names = (headers.connection ?? '').split(',').map((name) => name.trim().toLowerCase());
  return new Set(names);
}

function filterHeaders(headers: IncomingHttpHeaders, dropped: ReadonlySet<string>): HeaderFields {
  const alsoDropped = connectionHeaderNames(headers);
  const kept: Record<string, string | readonly string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    const drop = HOP_BY_HOP.has(name) || dropped.has(name) || alsoDropped.has(name);
    if (value !== undefined && !drop) {
      kept[name] = value;
    }
  }
  return kept;
}

/** The caller's header fields that are forwarded to the upstream. They exclude the team key. */
export function forwardedRequestHeaders(headers: IncomingHttpHeaders): HeaderFields {
  return filterHeaders(headers, REQUEST_ONLY);
}

/** The upstream's header fields that are forwarded to the caller. */
export function forwardedResponseHeaders(headers: IncomingHttpHeaders): HeaderFields {
  return filterHeaders(headers, RESPONSE_ONLY);
}

/** Parses `x-load: running/slots`. Returns undefined when it is absent or malformed. */
export function parseLoadReport(headers: IncomingHttpHeaders): LoadReport | undefined {
  const match = /^(\d{1,6})\/(\d{1,6})$/.exec(String(headers['x-load'] ?? ''));
  return match === null ? undefined : { running: Number(match[1]), slots: Number(match[2]) };
}

/** Whether the end of the response body can be told from a broken connection. */
export function hasFraming(method: string, status: number, headers: IncomingHttpHeaders): boolean {
  const bodiless = method === 'HEAD' || status === 204 || status === 304;
  const chunked = /\bchunked\b/i.test(headers['transfer-encoding'] ?? '');
  return bodiless || chunked || headers['content-length'] !== undefined;
}
