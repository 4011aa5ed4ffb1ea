import { spawnSync } from 'node:child_process';
import { readFile } from 'node:fs/promises';
import { setTimeout as delay } from 'node:timers/promises';
import { parseAllDocuments } from 'yaml';
import type { Entry } from '@turmerichoist/daemon';
import { request } from 'undici';
import { startUpstream } from '../upstream/index.js';
import { startWorker } from '../worker/index.js';
import { renderSettings, startEntry, startPlatform } from './demo-system.js';

const EXAMPLE_FILE = 'examples/fleet.yaml';
const HOST = '127.0.0.1';
const OPERATOR_TOKEN = 'example-operator-token';
const READY_TIMEOUT_MS = 20_000;
const POLL_MS = 100;

const ENTRIES = [
  { member: 'entry-1', zone: 'zone-a', port: 8080, peerPort: 9080 },
  { member: 'entry-2', zone: 'zone-b', port: 8081, peerPort: 9081 },
] as const;

const USAGE_GUIDE = `
A small system is running: two entries, two upstreams, one worker, and stand-ins for the platform.
The resources of examples/fleet.yaml are applied. In another terminal, try:

  export TURMERICHOIST_TOKEN=${OPERATOR_TOKEN}
  alias turmerichoist='node packages/cli/bin/run.js'

  turmerichoist get                          # all resources
  turmerichoist config check examples/fleet.yaml --against server
  turmerichoist rollout status               # which entries have the newest configuration in force
  curl -i -H 'Authorization: Bearer key-blue' http://${HOST}:8080/q/site/hello
  curl -i -H 'Authorization: Bearer wrong' http://${HOST}:8081/q/site/hello   # refused: not run

  turmerichoist task submit 'run ms=500' --id t1 --pool web --token key-blue
  turmerichoist task get web:t1 --server http://${HOST}:8081 --token key-blue

  turmerichoist zone out zone-a --yes        # no task starts in zone-a any more
  turmerichoist audit                        # who changed what, and when
  turmerichoist zone in zone-a

Stop with Ctrl-C.
`;

async function waitFor(description: string, condition: () => Promise<boolean>): Promise<void> {
  const deadline = performance.now() + READY_TIMEOUT_MS;
  while (performance.now() < deadline) {
    if (await condition()) {
      return;
    }
    await delay(POLL_MS);
  }
  throw new Error(`${description} did not become ready within ${READY_TIMEOUT_MS} ms`);
}

/** Checks the example as an operator would, and ends the demo if it has a finding. */
function checkExample(): void {
  const args = ['packages/cli/bin/run.js', 'config', 'check', EXAMPLE_FILE, '--strict'];
  const { status } = spawnSync(process.execPath, args, { stdio: 'inherit' });
  if (status !== 0) {
    throw new Error(`turmerichoist config check ${EXAMPLE_FILE} ended with ${String(status)}`);
  }
}

async function applyExample(): Promise<boolean> {
  const documents = parseAllDocuments(await readFile(EXAMPLE_FILE, 'utf8'));
  const list = Array.isArray(documents) ? documents : [];
  const res = await request(`http://${HOST}:${ENTRIES[0].port}/api/v1/apply`, {
    method: 'POST',
    headers: { authorization: `Bearer ${OPERATOR_TOKEN}`, 'content-type': 'application/json' },
    body: JSON.stringify({ documents: list.map((doc) => doc.toJS() as unknown) }),
  });
  await res.body.dump();
  return res.statusCode === 200;
}

async function isRequestPathReady(): Promise<boolean> {
  const res = await request(`http://${HOST}:${ENTRIES[1].port}/q/site/hello`, {
    headers: { authorization: 'Bearer key-blue' },
  });
  await res.body.dump();
  return res.statusCode === 200;
}

async function startAll(): Promise<readonly Entry[]> {
  const platform = await startPlatform();
  await startUpstream({ name: 'web-1', host: HOST, port: 7101, workMs: 20 });
  await startUpstream({ name: 'web-2', host: HOST, port: 7102, workMs: 20 });
  const capacity = { processors: 32, memoryMb: 131_072, accelerators: 0 };
  await startWorker({ host: HOST, port: 7201, capacity });
  platform.instances.setInstances(
    ENTRIES.map(({ member, zone, peerPort }) => ({
      id: member,
      zone,
      address: `${HOST}:${peerPort}`,
      state: 'live',
    })),
  );
  const settingsTexts = ENTRIES.map((place) =>
    renderSettings(platform, { ...place, operatorToken: OPERATOR_TOKEN }),
  );
  return Promise.all(settingsTexts.map(startEntry));
}

checkExample();
const entries = await startAll();
await waitFor('the entries', () => Promise.resolve(entries.every(({ ready }) => ready)));
await waitFor('the example resources', applyExample);
await waitFor('the request path', isRequestPathReady);
process.stdout.write(USAGE_GUIDE);

const exitAfterStart = process.argv.includes('--once');
const stop = async (): Promise<void> => {
  await Promise.all(entries.map((entry) => entry.stop()));
  process.exit(0);
};
process.once('SIGINT', () => void stop());
process.once('SIGTERM', () => void stop());
if (exitAfterStart) {
  await stop();
}
