import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import polka from 'polka';
import { FaultSwitches, type CallKind, type PlatformFaults } from './faults.js';

export interface ListenOptions {
  readonly host: string;
  /** 0 picks a free port. */
  readonly port: number;
}

/** A stand-in that listens. */
export interface PlatformServer {
  /** `host:port`. */
  readonly address: string;
  /** `http://host:port`. */
  readonly url: string;
  readonly faults: FaultSwitches;
  /** From now on nothing arrives or leaves on the connections that are open; new ones work. */
  silenceConnections(): void;
  close(): Promise<void>;
}

export interface Answer {
  readonly status: number;
  readonly body: Uint8Array | string;
}

export interface Call {
  readonly path: string;
  readonly query: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

/** Handles one call. It has no effect before it is called and is complete when it returns. */
export type Handler = (call: Call) => Answer;

export interface Route {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
  readonly pattern: string;
  readonly kind: CallKind;
  readonly handle: Handler;
}

export function json(status: number, body: unknown): Answer {
  return { status, body: JSON.stringify(body) };
}

async function readBody(req: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}

/** Applies the fault switches around the handlers of one stand-in. */
class FaultyServer {
  readonly faults = new FaultSwitches();
  readonly #sockets = new Set<Socket>();
  readonly #silent = new WeakSet<Socket>();

  track(socket: Socket): void {
    this.#sockets.add(socket);
    socket.once('close', () => this.#sockets.delete(socket));
  }

  silence(): void {
    for (const socket of this.#sockets) {
      this.#silent.add(socket);
    }
  }

  destroyAll(): void {
    for (const socket of this.#sockets) {
      socket.destroy();
    }
  }

  async serve(route: Route, req: polka.Request, res: ServerResponse): Promise<void> {
    const body = await readBody(req);
    if (this.#silent.has(req.socket)) {
      return;
    }
    const url = new URL(req.url ?? '/', 'http://stand-in');
    const call = { path: url.pathname, query: Object.fromEntries(url.searchParams), body };
    const refusal = this.#refusal(route.kind);
    const answer = refusal ?? (await this.#handle(route, call));
    if (refusal === undefined && route.kind === 'write' && this.faults.take('loseAnswers')) {
      req.socket.destroy();
      return;
    }
    await this.#pause(this.faults.current.lateMs);
    if (!this.#silent.has(req.socket)) {
      res.writeHead(answer.status, { 'content-type': 'application/json' });
      res.end(answer.body);
    }
  }

  #refusal(kind: CallKind): Answer | undefined {
    const admitted = this.faults.admit(kind, performance.now());
    if (this.faults.current.down) {
      return json(503, { error: 'down' });
    }
    return admitted ? undefined : json(429, { error: 'rate limit' });
  }

  async #handle(route: Route, call: Call): Promise<Answer> {
    await this.#pause(this.faults.current.slowMs);
    if (route.kind === 'write' && this.faults.take('repeatRequests')) {
      route.handle(call);
    }
    return route.handle(call);
  }

  async #pause(ms: number): Promise<void> {
    if (ms > 0) {
      await delay(ms, undefined, { ref: false });
    }
  }
}

function faultRoute(server: FaultyServer, silence: () => void) {
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

/** Starts a stand-in with `routes` and `POST /faults`, which takes the fields of `PlatformFaults`,
 * `clear` and `silenceConnections`. */
export async function startServer(
  options: ListenOptions,
  routesOf: (faults: FaultSwitches) => readonly Route[],
): Promise<PlatformServer> {
  const server = new FaultyServer();
  const app = polka();
  const silence = (): void => {
    server.silence();
  };
  for (const route of routesOf(server.faults)) {
    app.add(route.method, route.pattern, (req, res) => {
      server.serve(route, req as unknown as polka.Request, res).catch(() => {
        req.socket.destroy();
      });
    });
  }
  app.post('/faults', faultRoute(server, silence) as never);
  await new Promise<void>((resolve, reject) => {
    app.listen(options.port, options.host);
    (app.server as unknown as Server).once('listening', resolve).once('error', reject);
  });
  const http = app.server as unknown as Server;
  http.on('connection', (socket: Socket) => {
    server.track(socket);
  });
  const address = `${options.host}:${(http.address() as AddressInfo).port}`;
  return {
    address,
    url: `http://${address}`,
    faults: server.faults,
    silenceConnections: silence,
    close: () =>
      new Promise((resolve) => {
        http.close(() => {
          resolve();
        });
        server.destroyAll();
      }),
  };
}
