import {
  Configuration,
  parseDocument,
  RequestDecider,
  SeededRandom,
  type Resource,
} from '@turmerichoist/core';
import { HttpServer, RequestPipeline, sha256Hex } from '@turmerichoist/daemon';
import { ListenerGuard, NoMetrics, silentLogger, SystemClock } from '@turmerichoist/runtime';
import { startUpstream, type Upstream, type UpstreamOptions } from '@turmerichoist/stand-ins';

export const KEY = 'key-of-team-a';

export function resource(kind: string, name: string, spec: unknown): Resource {
  return { ...parseDocument({ kind, name, spec }).unwrap(), version: 1 };
}

function configuration(addresses: readonly string[], slots: number): Configuration {
  const keys = [{ id: 'k1', sha256: sha256Hex(KEY) }];
  return Configuration.of(1, [
    resource('zone', 'zone-a', { region: 'r' }),
    resource('pool', 'web', { size: addresses.length, budget: { maxUnavailable: 1 } }),
    resource('queue', 'site', { pool: 'web', maxDeadlineMs: 8_000, maxBodyBytes: 8_388_608 }),
    resource('team', 'a', { share: 1, limit: { requests: 100 }, keys }),
    ...addresses.map((address, i) =>
      resource('upstream', `up-${i}`, { pool: 'web', zone: 'zone-a', address, slots }),
    ),
  ]);
}

export interface Fixture {
  readonly url: string;
  readonly pipeline: RequestPipeline;
  readonly upstreams: readonly Upstream[];
  readonly cfg: Configuration;
  close(): Promise<void>;
}

/** Starts the request actors of one entry on real sockets, with `count` upstream stand-ins. */
export async function startFixture(
  count: number,
  options: Partial<UpstreamOptions> = {},
): Promise<Fixture> {
  const names = Array.from({ length: count }, (_, i) => `up-${i}`);
  const upstreams = await Promise.all(
    names.map((name) => startUpstream({ name, host: '127.0.0.1', port: 0, ...options })),
  );
  const stop = new AbortController();
  const clock = new SystemClock();
  const pipeline = new RequestPipeline({
    context: { log: silentLogger, signal: stop.signal },
    clock,
    decider: new RequestDecider({ random: new SeededRandom(1) }),
    metrics: new NoMetrics(),
    maxOpen: 1_000,
  });
  const cfg = configuration(
    upstreams.map((upstream) => upstream.address),
    options.slots ?? 8,
  );
  pipeline.configure(cfg);
  pipeline.post({ type: 'freshness', until: Number.MAX_SAFE_INTEGER });
  const units = new Map([['a', 100]]);
  pipeline.post({ type: 'grants-changed', units, validUntil: Number.MAX_SAFE_INTEGER });
  const unused = (): void => undefined;
  const guard = new ListenerGuard({
    limits: { memoryMb: 1_024, fileDescriptors: 8_192 },
    clock: new SystemClock(),
    metrics: new NoMetrics(),
    log: silentLogger,
    signal: stop.signal,
  });
  const server = new HttpServer({
    guard,
    callers: (req, res, bodies) => pipeline.front.accept(req, res, bodies),
    tasks: unused,
    operators: unused,
    ready: () => true,
    onError: (err) => {
      throw err;
    },
  });
  const address = await server.listen('127.0.0.1', 0);
  const close = async (): Promise<void> => {
    stop.abort();
    server.destroy();
    await server.close();
    await Promise.all(upstreams.map((upstream) => upstream.close()));
  };
  return { url: `http://${address}`, pipeline, upstreams, cfg, close };
}
