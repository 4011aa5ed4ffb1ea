import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import polka from 'polka';
import { Pool } from 'undici';
import { Configuration, parseEndpoint, RequestDecider, SeededRandom } from '@turmerichoist/core';
import { HttpServer, RequestPipeline, sha256Hex } from '@turmerichoist/daemon';
import { ListenerGuard, NoMetrics, silentLogger, SystemClock } from '@turmerichoist/runtime';
import { parseResource } from '../requests/parse-resource.js';

/** API key of the only team of the benchmark. */
export const BENCHMARK_KEY = 'benchmark-key';

const HOST = '127.0.0.1';
const ANSWER = Buffer.alloc(256, 'x');
const SLOTS = 512;

function portOf(server: { address(): unknown }): number {
  return (server.address() as AddressInfo).port;
}

/** Starts an upstream that immediately answers with 256 bytes. Resolves with its port. */
export function serveUpstream(): Promise<number> {
  const server = createServer((req, res) => {
    req.resume();
    res.writeHead(200, { 'content-length': ANSWER.length });
    res.end(ANSWER);
  });
  return new Promise((resolve) => {
    server.listen(0, HOST, () => {
      resolve(portOf(server));
    });
  });
}

/** Starts a minimal reverse proxy of polka and undici, the baseline. Resolves with its port. */
export function servePlain(upstreamPort: number): Promise<number> {
  const pool = new Pool(`http://${HOST}:${upstreamPort}`, { connections: SLOTS, pipelining: 1 });
  const forward = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const answer = await pool.request({ method: 'GET', path: req.url ?? '/' });
    res.writeHead(answer.statusCode, answer.headers);
    answer.body.pipe(res);
  };
  const app = polka();
  app.get('*', (req, res) => {
    void forward(req, res);
  });
  return new Promise((resolve) => {
    app.listen(0, HOST, () => {
      resolve(portOf(app.server as unknown as { address(): unknown }));
    });
  });
}

function configuration(upstreamPort: number): Configuration {
  const keys = [{ id: 'k', sha256: sha256Hex(BENCHMARK_KEY) }];
  const address = `${HOST}:${upstreamPort}`;
  return Configuration.of(1, [
    parseResource('zone', 'z', { region: 'r' }),
    parseResource('pool', 'p', { size: 1, budget: { maxUnavailable: 0 } }),
    parseResource('queue', 'q', { pool: 'p' }),
    parseResource('team', 't', { share: 1, limit: { requests: SLOTS }, keys }),
    parseResource('upstream', 'u', {
      pool: 'p',
      zone: 'z',
      address,
      slots: SLOTS,
      connections: SLOTS,
    }),
  ]);
}

/** Starts the request path of an entry with a fixed configuration. Resolves with its port. */
export async function serveEntry(upstreamPort: number): Promise<number> {
  const signal = new AbortController().signal;
  const path = new RequestPipeline({
    context: { log: silentLogger, signal },
    clock: new SystemClock(),
    decider: new RequestDecider({ random: new SeededRandom(1) }),
    metrics: new NoMetrics(),
    maxOpen: SLOTS * 2,
  });
  path.configure(configuration(upstreamPort));
  path.post({ type: 'freshness', until: Number.MAX_SAFE_INTEGER });
  const units = new Map([['t', SLOTS]]);
  path.post({ type: 'grants-changed', units, validUntil: Number.MAX_SAFE_INTEGER });
  const guard = new ListenerGuard({
    limits: { memoryMb: 1_024, fileDescriptors: 8_192 },
    clock: new SystemClock(),
    metrics: new NoMetrics(),
    log: silentLogger,
    signal,
  });
  const server = new HttpServer({
    guard,
    callers: (req, res, bodies) => path.front.accept(req, res, bodies),
    tasks: () => undefined,
    operators: () => undefined,
    ready: () => true,
    onError: (err) => {
      console.error(err);
    },
  });
  const address = await server.listen(HOST, 0);
  return parseEndpoint(address).port;
}
