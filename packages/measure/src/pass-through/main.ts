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

async function serve(role: Role, upstreamPort: number): Promise<void> {
  process.send?.(await ROLES[role](upstreamPort));
}

async function start(role: Role, upstreamPort = 0): Promise<{ child: ChildProcess; port: number }> {
  const child = fork(fileURLToPath(import.meta.url), [role, String(upstreamPort)]);
  const [port] = (await once(child, 'message')) as [number];
  return { child, port };
}

function row(callers: number, server: Role, result: LoadResult): Record<string, unknown> {
  return {
    callers,
    server,
    'requests/s': Math.round(result.requestsPerSecond),
    'p50 ms': result.p50Ms.toFixed(2),
    'p99 ms': result.p99Ms.toFixed(2),
    failures: result.failures,
  };
}

/** Alternates between both servers, so that a change of the machine's load hits both alike. */
async function compare(rounds: number, ms: number): Promise<void> {
  const upstream = await start('upstream');
  const plain = await start('plain', upstream.port);
  const entry = await start('entry', upstream.port);
  const rows: Record<string, unknown>[] = [];
  for (const callers of CALLERS) {
    await runLoad(plain.port, callers, WARM_UP_MS);
    await runLoad(entry.port, callers, WARM_UP_MS);
    for (let round = 0; round < rounds; round += 1) {
      const base = await runLoad(plain.port, callers, ms);
      const ours = await runLoad(entry.port, callers, ms);
      const ratio = (ours.requestsPerSecond / base.requestsPerSecond).toFixed(3);
      rows.push(row(callers, 'plain', base), { ...row(callers, 'entry', ours), ratio });
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
