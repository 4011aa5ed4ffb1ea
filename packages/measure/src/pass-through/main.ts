import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';
import { runLoad, type LoadResult } from './load.js';
import { serveEntry, servePlain, serveUpstream } from './servers.js';

const CALLERS = [1, 64, 512] as const;
const WARM_UP_MS = 1_000;
const MS_PER_S = 1_000;

const ROLES = {
  upstream: serveUpstream,
  plain: servePlain,
  entry: serveEntry,
} as const;

type Role = keyof typeof ROLES;

/** Runs a server, and answers each message of the parent with the processor time used so far. */
async function serve(role: Role, upstreamPort: number): Promise<void> {
  process.on('message', () => {
    const { user, system } = process.cpuUsage();
    process.send?.(user + system);
  });
  process.send?.(await ROLES[role](upstreamPort));
}

/** Processor time that a server has used, in microseconds. */
async function processorTimeUs(child: ChildProcess): Promise<number> {
  child.send('processor-time');
  const [microseconds] = (await once(child, 'message')) as [number];
  return microseconds;
}

interface ServerProcess {
  readonly child: ChildProcess;
  readonly port: number;
}

interface MeasuredLoad extends LoadResult {
  readonly microsecondsPerRequest: number;
}

async function measure(server: ServerProcess, callers: number, ms: number): Promise<MeasuredLoad> {
  const before = await processorTimeUs(server.child);
  const result = await runLoad(server.port, callers, ms);
  const used = (await processorTimeUs(server.child)) - before;
  return { ...result, microsecondsPerRequest: used / result.requests };
}

async function start(role: Role, upstreamPort = 0): Promise<ServerProcess> {
  const child = fork(fileURLToPath(import.meta.url), [role, String(upstreamPort)]);
  const [port] = (await once(child, 'message')) as [number];
  return { child, port };
}

function tableRow(callers: number, server: Role, result: MeasuredLoad): Record<string, unknown> {
  return {
    callers,
    server,
    'requests/s': Math.round(result.requestsPerSecond),
    'p50 ms': result.p50Ms.toFixed(2),
    'p99 ms': result.p99Ms.toFixed(2),
    'µs/request': Math.round(result.microsecondsPerRequest),
    failures: result.failures,
  };
}

/** Alternates between both servers, so that a change in the load of the host affects both alike. */
async function compare(rounds: number, ms: number): Promise<void> {
  const upstream = await start('upstream');
  const plain = await start('plain', upstream.port);
  const entry = await start('entry', upstream.port);
  const rows: Record<string, unknown>[] = [];
  for (const callers of CALLERS) {
    await runLoad(plain.port, callers, WARM_UP_MS);
    await runLoad(entry.port, callers, WARM_UP_MS);
    for (let round = 0; round < rounds; round += 1) {
      const plainResult = await measure(plain, callers, ms);
      const entryResult = await measure(entry, callers, ms);
      const ratio = (entryResult.requestsPerSecond / plainResult.requestsPerSecond).toFixed(3);
      const cost = (
        plainResult.microsecondsPerRequest / entryResult.microsecondsPerRequest
      ).toFixed(3);
      rows.push(tableRow(callers, 'plain', plainResult), {
        ...tableRow(callers, 'entry', entryResult),
        ratio,
        cost,
      });
    }
  }
  console.table(rows);
  for (const { child } of [entry, plain, upstream]) {
    child.kill();
  }
}

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: { seconds: { type: 'string', default: '2' }, rounds: { type: 'string', default: '2' } },
});
const [role, upstreamPort] = positionals;
if (role === undefined) {
  await compare(Number(values.rounds), Number(values.seconds) * MS_PER_S);
} else {
  await serve(role as Role, Number(upstreamPort));
}
