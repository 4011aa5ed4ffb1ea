import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import polka from 'polka';
import { DEFAULT_CALLER_LIMITS, appError, type CallerLimits } from '@turmerichoist/core';
import { GuardedServer, type BodyReader, type ListenerGuard } from '@turmerichoist/runtime';
import { sendError, sendJson } from './responses.js';

/**
 * Longer than the idle time-out of common load balancers, so that they close idle connections
 * first.
 */
const KEEP_ALIVE_MS = 75_000;

const LIMITS: CallerLimits = { ...DEFAULT_CALLER_LIMITS, headerTimeoutMs: 10_000 };

/** Connections of the listener for other entries. */
const PEER_CONNECTIONS = 64;

export type HttpHandler = (
  req: IncomingMessage,
  res: ServerResponse,
  bodies: BodyReader,
) => Promise<void> | void;

export interface HttpRoutes {
  readonly guard: ListenerGuard;
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
    const { guard } = routes;
    const app = polka({
      onNoMatch: (_req, res) => {
        sendError(res, appError('unknown-route'));
      },
    });
    const wrap = (handler: HttpHandler) => this.#withErrorHandling(handler, routes);
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
    this.#server = new GuardedServer({
      guard,
      maxConnections: guard.bounds.connections - PEER_CONNECTIONS,
      limits: () => LIMITS,
      keepAliveMs: KEEP_ALIVE_MS,
      onRequest: (req, res) => {
        app.handler(req as never, res);
      },
    }).server;
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

  #withErrorHandling(
    handler: HttpHandler,
    { onError, guard }: HttpRoutes,
  ): (req: IncomingMessage, res: ServerResponse) => Promise<void> {
    return async (req, res) => {
      if (this.#stopping) {
        res.setHeader('connection', 'close');
      }
      try {
        await handler(req, res, guard.bodies);
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
