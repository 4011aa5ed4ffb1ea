import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import type { Millis } from '@turmerichoist/core';
import { NO_UPSTREAM_FAULTS, type UpstreamFaults } from './faults.js';

const DEFAULT_SLOTS = 8;
const DRIP_PARTS = 8;

export interface UpstreamOptions {
  readonly name: string;
  readonly host: string;
  /** 0 takes a free port. */
  readonly port: number;
  /** Requests handled at once; more are refused as not run. Default 8. */
  readonly slots?: number;
  /** Time that a request takes. Default 0. */
  readonly workMs?: Millis;
}

/** A request that ran on an upstream stand-in. */
export interface UpstreamRun {
  readonly method: string;
  readonly path: string;
  /** Value of the `x-request` header of the caller, to recognise its request. */
  readonly request: string;
}

/** Body of an answer: what the upstream saw. */
export interface UpstreamEcho extends UpstreamRun {
  readonly upstream: string;
  readonly body: string;
}

/** An upstream stand-in that listens. */
export interface Upstream {
  /** `host:port`. */
  readonly address: string;
  /** Every request that ran, in order of start. */
  readonly runs: readonly UpstreamRun[];
  /** Largest number of requests that ran at once. */
  readonly peak: number;
  /** Requests that run now. */
  readonly running: number;
  setFaults(faults: Partial<UpstreamFaults>): void;
  setWorkMs(ms: Millis): void;
  /** From now on nothing arrives or leaves on the connections that are open; new ones work. */
  silenceConnections(): void;
  close(): Promise<void>;
}

class UpstreamServer {
  readonly runs: UpstreamRun[] = [];
  readonly sockets = new Set<Socket>();
  faults = NO_UPSTREAM_FAULTS;
  workMs: Millis;
  running = 0;
  peak = 0;
  readonly #silent = new WeakSet<Socket>();
  readonly #name: string;
  readonly #slots: number;

  constructor(options: UpstreamOptions) {
    this.#name = options.name;
    this.#slots = options.slots ?? DEFAULT_SLOTS;
    this.workMs = options.workMs ?? 0;
  }

  silence(): void {
    for (const socket of this.sockets) {
      this.#silent.add(socket);
    }
  }

  async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (this.#silent.has(req.socket)) {
      return;
    }
    if (req.url === '/healthz') {
      res.end('ok');
      return;
    }
    if (this.running >= this.#slots) {
      this.#setFields(res);
      res.writeHead(503, { 'x-not-run': 'true' });
      res.end();
      return;
    }
    await this.#run(req, res);
  }

  async #run(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const done = this.#begin();
    this.peak = Math.max(this.peak, this.running);
    const run = {
      method: req.method ?? 'GET',
      path: req.url ?? '/',
      request: String(req.headers['x-request'] ?? ''),
    };
    this.runs.push(run);
    try {
      const body = await readText(req);
      await delay(this.workMs);
      await this.#answer(res, { upstream: this.#name, ...run, body }, done);
    } finally {
      done();
    }
  }

  /** Counts a request as running until the returned function is called for the first time. */
  #begin(): () => void {
    this.running += 1;
    let ended = false;
    return () => {
      this.running -= ended ? 0 : 1;
      ended = true;
    };
  }

  async #answer(res: ServerResponse, echo: UpstreamEcho, done: () => void): Promise<void> {
    const { fail, reset, truncate, dripMs } = this.faults;
    if (reset) {
      res.destroy();
      return;
    }
    if (res.socket === null || this.#silent.has(res.socket)) {
      return;
    }
    const text = JSON.stringify(echo);
    this.#setFields(res);
    res.writeHead(fail ? 500 : 200, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    if (truncate) {
      res.write(text.slice(0, text.length / 2), () => res.destroy());
      return;
    }
    await this.#write(res, text, dripMs, done);
    res.end();
  }

  async #write(res: ServerResponse, text: string, dripMs: Millis, done: () => void): Promise<void> {
    const size = dripMs === 0 ? text.length : Math.ceil(text.length / DRIP_PARTS);
    for (let at = 0; at < text.length; at += size) {
      if (at + size >= text.length) {
        // With its last byte the answer is whole, and the caller may send the next request.
        done();
      }
      res.write(text.slice(at, at + size));
      await delay(dripMs);
    }
  }

  #setFields(res: ServerResponse): void {
    res.setHeader('x-load', `${this.running}/${this.#slots}`);
    if (this.faults.leaving) {
      res.setHeader('x-leaving', 'true');
    }
  }
}

async function readText(req: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
}

async function closeServer(http: Server, sockets: ReadonlySet<Socket>): Promise<void> {
  for (const socket of sockets) {
    socket.destroy();
  }
  await new Promise<void>((resolve) => {
    http.close(() => {
      resolve();
    });
  });
}

/** Starts an upstream stand-in, which answers each request with what it saw. */
export async function startUpstream(options: UpstreamOptions): Promise<Upstream> {
  const server = new UpstreamServer(options);
  const http = createServer((req, res) => {
    server.handle(req, res).catch(() => {
      res.destroy();
    });
  });
  http.on('connection', (socket) => {
    server.sockets.add(socket);
    socket.once('close', () => server.sockets.delete(socket));
  });
  await new Promise<void>((resolve) => {
    http.listen(options.port, options.host, resolve);
  });
  return {
    address: `${options.host}:${(http.address() as AddressInfo).port}`,
    runs: server.runs,
    get peak() {
      return server.peak;
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
      server.silence();
    },
    close: () => closeServer(http, server.sockets),
  };
}
