import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import polka from 'polka';
import { appError, type Millis } from '@turmerichoist/core';
import { sendError, sendJson } from './responses.js';

/**
 * Longer than the idle time-out of common load balancers, so that they close idle connections
 * first.
 */
const KEEP_ALIVE_MS: Millis = 75_000;

/** A caller must send all header fields within this time. */
const HEADERS_TIMEOUT_MS: Millis = 10_000;

const MAX_HEADER_BYTES = 16_384;

export type HttpHandler = (req: IncomingMessage, res: ServerResponse) => Promise<void> | void;

export interface HttpRoutes {
  readonly callers: HttpHandler;
  readonly tasks: HttpHandler;
  readonly operators: HttpHandler;
  readonly ready: () => boolean;
  readonly onError: (err: unknown) => void;
}

/** Owns the listener for callers and operators. */
export class HttpServer {
  readonly #server: Server;
  #stopping = false;

  constructor(routes: HttpRoutes) {
    const http = createServer({
      keepAliveTimeout: KEEP_ALIVE_MS,
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: 0,
      maxHeaderSize: MAX_HEADER_BYTES,
    });
    const app = polka({
      server: http,
      onNoMatch: (_req, res) => {
        sendError(res, appError('unknown-route'));
      },
    });
    const wrap = (handler: HttpHandler) => this.#withErrorHandling(handler, routes.onError);
    app.all('/q/*', wrap(routes.callers));
    app.all('/tasks', wrap(routes.tasks));
    app.all('/tasks/*', wrap(routes.tasks));
    app.all('/api/v1/*', wrap(routes.operators));
    app.get('/healthz', (_req, res) => {
      sendJson(res, 200, { ok: true });
    });
    app.get('/readyz', (_req, res) => {
      const ready = !this.#stopping && routes.ready();
      sendJson(res, ready ? 200 : 503, { ready });
    });
    http.on('request', (req, res) => {
      app.handler(req as never, res);
    });
    this.#server = http;
  }

  /** Starts listening. Resolves with `host:port`. */
  listen(host: string, port: number): Promise<string> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, () => {
        resolve(`${host}:${(this.#server.address() as AddressInfo).port}`);
      });
    });
  }

  /** From now on readiness is false and each response asks the caller to close the connection. */
  announceStop(): void {
    this.#stopping = true;
  }

  /** Accepts no new connections and closes idle ones. Resolves when all connections have ended. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => {
        resolve();
      });
    });
  }

  /** Destroys all open connections. */
  destroy(): void {
    this.#server.closeAllConnections();
  }

  #withErrorHandling(handler: HttpHandler, onError: (err: unknown) => void): HttpHandler {
    return async (req, res) => {
      if (this.#stopping) {
        res.setHeader('connection', 'close');
      }
      try {
        await handler(req, res);
      } catch (err) {
        onError(err);
        if (res.headersSent) {
          res.destroy();
        } else {
          sendError(res, appError('internal'));
        }
      }
    };
  }
}
