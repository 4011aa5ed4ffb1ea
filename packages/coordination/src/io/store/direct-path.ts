import { Pool } from 'undici';
import { Err, Ok, type Millis } from '@turmerichoist/core';
import type { Exchange, ExchangeFailure, HttpCall, StorePath } from './store-path.js';

export const CONNECT_TIMEOUT_MS: Millis = 1_000;

/** Codes of errors that occur before any byte of the request is sent. */
export const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

export interface DirectPathOptions {
  /** Base URL, `http://host:port`. */
  readonly url: string;
  /** Maximum number of connections. */
  readonly connections: number;
  /** Closes all connections when it is aborted. */
  readonly signal: AbortSignal;
}

/**
 * Connections of this process to a service. They are replaced together by a new generation after a
 * time-out: after the network lost the state of a connection, it stays silent while new ones work.
 */
export class DirectPath implements StorePath {
  readonly #options: DirectPathOptions;
  #pool: Pool;
  #generation = 1;

  constructor(options: DirectPathOptions) {
    this.#options = options;
    this.#pool = this.#newPool();
    options.signal.addEventListener('abort', () => void this.#pool.destroy(), { once: true });
  }

  /** Number of the current connection generation, starting at 1. */
  get generation(): number {
    return this.#generation;
  }

  async exchange(call: HttpCall, signal: AbortSignal): Promise<Exchange> {
    try {
      const { statusCode, body } = await this.#pool.request({
        method: call.method,
        path: call.path,
        signal,
        ...(call.body === undefined ? {} : { body: call.body }),
        ...(call.contentType === undefined
          ? {}
          : { headers: { 'content-type': call.contentType } }),
      });
      return Ok({ status: statusCode, bytes: await body.bytes() });
    } catch (err) {
      return Err(toFailure(err));
    }
  }

  /** Replaces the connections of a generation after a call on it has timed out. */
  retire(generation: number): void {
    if (generation !== this.#generation || this.#options.signal.aborted) {
      return;
    }
    this.#generation += 1;
    const old = this.#pool;
    this.#pool = this.#newPool();
    // Calls in flight on the old connections end by their own time-out at the latest.
    old.close().catch(() => undefined);
  }

  #newPool(): Pool {
    const { url, connections } = this.#options;
    return new Pool(url, { connections, pipelining: 1, connect: { timeout: CONNECT_TIMEOUT_MS } });
  }
}

function toFailure(err: unknown): ExchangeFailure {
  const code = (err as { code?: unknown }).code;
  return typeof code === 'string'
    ? { sent: !NOT_SENT_CODES.has(code), detail: code }
    : { sent: true, detail: String(err) };
}
