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

interface Tally {
  readonly times: Histogram;
  done: number;
  failures: number;
}

async function caller(pool: Pool, path: string, until: number, tally: Tally): Promise<void> {
  const headers = { authorization: `Bearer ${BENCHMARK_KEY}` };
  while (performance.now() < until) {
    const start = performance.now();
    const res = await pool.request({ method: 'GET', path, headers });
    await res.body.arrayBuffer();
    tally.times.recordValue(Math.round((performance.now() - start) * MICROSECONDS_PER_MS));
    tally.done += 1;
    tally.failures += res.statusCode === 200 ? 0 : 1;
  }
}

/** Sends requests from `callers` concurrent callers, each the next one after its last answer. */
export async function runLoad(port: number, callers: number, ms: number): Promise<LoadResult> {
  const pool = new Pool(`http://127.0.0.1:${port}`, { connections: callers, pipelining: 1 });
  const tally: Tally = { times: build(), done: 0, failures: 0 };
  const start = performance.now();
  const all = Array.from({ length: callers }, () => caller(pool, '/q/q/x', start + ms, tally));
  await Promise.all(all);
  const seconds = (performance.now() - start) / 1_000;
  await pool.destroy();
  return {
    requests: tally.done,
    requestsPerSecond: tally.done / seconds,
    p50Ms: tally.times.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
    p99Ms: tally.times.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
    failures: tally.failures,
  };
}
