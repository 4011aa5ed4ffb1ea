import type { Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import polka from 'polka';
import { Connections, readBody } from '../http/index.js';
import { FaultInjector, type RequestKind, type PlatformFaults } from './faults.js';

export interface ListenOptions {
  readonly host: string;
  /** 0 picks a free port. */
  readonly port: number;
}

/** A running platform stand-in. */
export interface PlatformServer {
  /** `host:port`. */
  readonly address: string;
  /** `http://host:port`. */
  readonly url: string;
  readonly faults: FaultInjector;
  /**
   * Ignores requests and sends no responses on the connections that are open now. They stay open,
   * and new connections work.
   */
  silenceConnections(): void;
  close(): Promise<void>;
}

export interface RouteResponse {
  readonly status: number;
  readonly body: Uint8Array | string;
}

export interface RouteRequest {
  readonly path: string;
  readonly query: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

/**
 * Handles one request synchronously: its effect is complete on return, so that a fault can be
 * injected exactly before or after it.
 */
export type RouteHandler = (request: RouteRequest) => RouteResponse;

export interface Route {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
  readonly pattern: string;
  readonly kind: RequestKind;
  readonly handle: RouteHandler;
}

export function jsonResponse(status: number, body: unknown): RouteResponse {
  return { status, body: JSON.stringify(body) };
}

/** Calls the route handlers of one stand-in and injects its faults. */
class FaultyServer {
  readonly faults = new FaultInjector();
  readonly connections = new Connections();

  async serve(route: Route, req: polka.Request, res: ServerResponse): Promise<void> {
    const body = await readBody(req);
    if (this.connections.isSilent(req.socket)) {
      return;
    }
    const url = new URL(req.url ?? '/', 'http://stand-in');
    const request = { path: url.pathname, query: Object.fromEntries(url.searchParams), body };
    const refusal = this.#refusal(route.kind);
    const response = refusal ?? (await this.#handle(route, request));
    if (refusal === undefined && route.kind === 'write' && this.faults.consume('loseAnswers')) {
      req.socket.destroy();
      return;
    }
    await this.#delay(this.faults.current.lateMs);
    if (!this.connections.isSilent(req.socket)) {
      res.writeHead(response.status, { 'content-type': 'application/json' });
      res.end(response.body);
    }
  }

  #refusal(kind: RequestKind): RouteResponse | undefined {
    const admitted = this.faults.admit(kind, performance.now());
    if (this.faults.current.down) {
      return jsonResponse(503, { error: 'down' });
    }
    return admitted ? undefined : jsonResponse(429, { error: 'rate limit' });
  }

  async #handle(route: Route, request: RouteRequest): Promise<RouteResponse> {
    await this.#delay(this.faults.current.slowMs);
    if (route.kind === 'write' && this.faults.consume('repeatRequests')) {
      route.handle(request);
    }
    return route.handle(request);
  }

  async #delay(ms: number): Promise<void> {
    if (ms > 0) {
      await delay(ms, undefined, { ref: false });
    }
  }
}

function createFaultHandler(server: FaultyServer, silence: () => void) {
  return (req: polka.Request, res: ServerResponse): void => {
    void readBody(req).then((body) => {
      const { silenceConnections, clear, ...faults } = JSON.parse(body.toString()) as {
        silenceConnections?: boolean;
        clear?: boolean;
      } & Partial<PlatformFaults>;
      if (clear === true) {
        server.faults.clear();
      }
      server.faults.set(faults);
      res.end(JSON.stringify(server.faults.current));
      if (silenceConnections === true) {
        silence();
      }
    });
  };
}

/**
 * Starts a stand-in that serves the given routes and `POST /faults`, whose JSON body has any fields
 * of `PlatformFaults`, `clear` and `silenceConnections`.
 */
export async function startServer(
  options: ListenOptions,
  createRoutes: (faults: FaultInjector) => readonly Route[],
): Promise<PlatformServer> {
  const server = new FaultyServer();
  const app = polka();
  const silence = (): void => {
    server.connections.silence();
  };
  for (const route of createRoutes(server.faults)) {
    app.add(route.method, route.pattern, (req, res) => {
      server.serve(route, req as unknown as polka.Request, res).catch(() => {
        req.socket.destroy();
      });
    });
  }
  app.post('/faults', createFaultHandler(server, silence) as never);
  await new Promise<void>((resolve, reject) => {
    app.listen(options.port, options.host);
    (app.server as unknown as Server).once('listening', resolve).once('error', reject);
  });
  const http = app.server as unknown as Server;
  server.connections.track(http);
  const address = `${options.host}:${(http.address() as AddressInfo).port}`;
  return {
    address,
    url: `http://${address}`,
    faults: server.faults,
    silenceConnections: silence,
    close: () => server.connections.close(http),
  };
}
