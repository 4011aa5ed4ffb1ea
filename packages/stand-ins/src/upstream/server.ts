import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import type { Millis } from '@turmerichoist/core';
import { Connections, readBody } from '../http/index.js';
import { NO_UPSTREAM_FAULTS, type UpstreamFaults } from './faults.js';

const DEFAULT_SLOTS = 8;
const DRIP_CHUNKS = 8;

export interface UpstreamOptions {
  readonly name: string;
  readonly host: string;
  /** 0 picks a free port. */
  readonly port: number;
  /** Requests handled concurrently; further ones are refused as not run. Default 8. */
  readonly slots?: number;
  /** Time that the handling of a request takes. Default 0. */
  readonly workMs?: Millis;
}

/** A request that an upstream stand-in handled. */
export interface UpstreamRequest {
  readonly method: string;
  readonly path: string;
  /** Value of the `x-request` header, by which a test identifies the request. */
  readonly request: string;
}

/** Response body: the request as the upstream received it. */
export interface UpstreamEcho extends UpstreamRequest {
  readonly upstream: string;
  readonly body: string;
}

/** A running upstream stand-in. */
export interface Upstream {
  /** `host:port`. */
  readonly address: string;
  /** Every handled request, in order of start. */
  readonly handledRequests: readonly UpstreamRequest[];
  /** Highest number of requests that were handled concurrently. */
  readonly peakRunning: number;
  /** Requests that are being handled now. */
  readonly running: number;
  setFaults(faults: Partial<UpstreamFaults>): void;
  setWorkMs(ms: Millis): void;
  /**
   * Ignores requests and sends no responses on the connections that are open now. They stay open,
   * and new connections work.
   */
  silenceConnections(): void;
  close(): Promise<void>;
}

class UpstreamServer {
  readonly handledRequests: UpstreamRequest[] = [];
  readonly connections = new Connections();
  faults = NO_UPSTREAM_FAULTS;
  workMs: Millis;
  running = 0;
  peakRunning = 0;
  readonly #name: string;
  readonly #slots: number;

  constructor(options: UpstreamOptions) {
    this.#name = options.name;
    this.#slots = options.slots ?? DEFAULT_SLOTS;
    this.workMs = options.workMs ?? 0;
  }

  async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (this.connections.isSilent(req.socket)) {
      return;
    }
    if (req.url === '/healthz') {
      res.end('ok');
      return;
    }
    if (this.running >= this.#slots) {
      this.#setHeaders(res);
      res.writeHead(503, { 'x-not-run': 'true' });
      res.end();
      return;
    }
    await this.#handleRequest(req, res);
  }

  async #handleRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const releaseSlot = this.#acquireSlot();
    this.peakRunning = Math.max(this.peakRunning, this.running);
    const request = {
      method: req.method ?? 'GET',
      path: req.url ?? '/',
      request: String(req.headers['x-request'] ?? ''),
    };
    this.handledRequests.push(request);
    try {
      const body = (await readBody(req)).toString('utf8');
      await delay(this.workMs);
      await this.#respond(res, { upstream: this.#name, ...request, body }, releaseSlot);
    } finally {
      releaseSlot();
    }
  }

  /** Occupies a slot until the returned function is called. Further calls have no effect. */
  #acquireSlot(): () => void {
    this.running += 1;
    let released = false;
    return () => {
      this.running -= released ? 0 : 1;
      released = true;
    };
  }

  async #respond(res: ServerResponse, echo: UpstreamEcho, releaseSlot: () => void): Promise<void> {
    const { fail, reset, truncate, dripMs } = this.faults;
    if (reset) {
      res.destroy();
      return;
    }
    if (res.socket === null || this.connections.isSilent(res.socket)) {
      return;
    }
    const text = JSON.stringify(echo);
    this.#setHeaders(res);
    res.writeHead(fail ? 500 : 200, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    if (truncate) {
      res.write(text.slice(0, text.length / 2), () => res.destroy());
      return;
    }
    await this.#writeBody(res, text, dripMs, releaseSlot);
    res.end();
  }

  async #writeBody(
    res: ServerResponse,
    text: string,
    dripMs: Millis,
    releaseSlot: () => void,
  ): Promise<void> {
    const chunkSize = dripMs === 0 ? text.length : Math.ceil(text.length / DRIP_CHUNKS);
    for (let offset = 0; offset < text.length; offset += chunkSize) {
      if (offset + chunkSize >= text.length) {
        // The caller may send its next request as soon as it has the last byte, so the slot must be
        // free before that byte is sent.
        releaseSlot();
      }
      res.write(text.slice(offset, offset + chunkSize));
      await delay(dripMs);
    }
  }

  #setHeaders(res: ServerResponse): void {
    res.setHeader('x-load', `${this.running}/${this.#slots}`);
    if (this.faults.leaving) {
      res.setHeader('x-leaving', 'true');
    }
  }
}

/** Starts an upstream stand-in, which echoes each request in its response. */
export async function startUpstream(options: UpstreamOptions): Promise<Upstream> {
  const server = new UpstreamServer(options);
  const http = createServer((req, res) => {
    server.handle(req, res).catch(() => {
      res.destroy();
    });
  });
  server.connections.track(http);
  await new Promise<void>((resolve) => {
    http.listen(options.port, options.host, resolve);
  });
  return {
    address: `${options.host}:${(http.address() as AddressInfo).port}`,
    handledRequests: server.handledRequests,
    get peakRunning() {
      return server.peakRunning;
    },
    get running() {
      return server.running;
    },
    setFaults: (faults) => {
      server.faults = { ...server.faults, ...faults };
    },
    setWorkMs: (ms) => {
      server.workMs = ms;
    },
    silenceConnections: () => {
      server.connections.silence();
    },
    close: () => server.connections.close(http),
  };
}
