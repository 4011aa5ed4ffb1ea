import { build, type Histogram } from 'hdr-histogram-js';
import { Pool } from 'undici';
import { BENCHMARK_KEY } from './servers.js';

const MICROSECONDS_PER_MS = 1_000;

export interface LoadResult {
  readonly requests: number;
  readonly requestsPerSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly failures: number;
}

interface LoadTally {
  readonly latenciesUs: Histogram;
  done: number;
  failures: number;
}

async function sendRequests(
  pool: Pool,
  path: string,
  until: number,
  tally: LoadTally,
): Promise<void> {
  const headers = { authorization: `Bearer ${BENCHMARK_KEY}` };
  while (performance.now() < until) {
    const start = performance.now();
    const res = await pool.request({ method: 'GET', path, headers });
    await res.body.arrayBuffer();
    tally.latenciesUs.recordValue(Math.round((performance.now() - start) * MICROSECONDS_PER_MS));
    tally.done += 1;
    tally.failures += res.statusCode === 200 ? 0 : 1;
  }
}

/** Closed-loop load: each of `callers` sends its next request when its last one is answered. */
export async function runLoad(port: number, callers: number, ms: number): Promise<LoadResult> {
  const pool = new Pool(`http://127.0.0.1:${port}`, { connections: callers, pipelining: 1 });
  const tally: LoadTally = { latenciesUs: build(), done: 0, failures: 0 };
  const start = performance.now();
  const all = Array.from({ length: callers }, () =>
    sendRequests(pool, '/q/q/x', start + ms, tally),
  );
  await Promise.all(all);
  const seconds = (performance.now() - start) / 1_000;
  await pool.destroy();
  return {
    requests: tally.done,
    requestsPerSecond: tally.done / seconds,
    p50Ms: tally.latenciesUs.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
    p99Ms: tally.latenciesUs.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
    failures: tally.failures,
  };
}
