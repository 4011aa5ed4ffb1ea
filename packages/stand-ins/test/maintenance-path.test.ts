import { afterAll, beforeAll, expect, test } from '@jest/globals';
import type { Entry } from '@turmerichoist/daemon';
import {
  renderSettings,
  startEntry,
  startPlatform,
  startWorker,
  type StandInPlatform,
  type Worker,
} from '@turmerichoist/stand-ins';
import { request } from 'undici';
import { HOST, freePort, waitFor } from './support.js';

const TOKEN = 'operator-token';
const POOL = 'web';
const MAX_UNAVAILABLE = 1;
const SAMPLE_MS = 5;

interface Member {
  readonly name: string;
  readonly url: string;
  readonly entry: Entry;
}

interface WaitExplanation {
  readonly waitsFor: { readonly type: string; readonly [name: string]: unknown } | null;
  readonly progress?: { readonly total: number; readonly remaining: number };
}

let platform: StandInPlatform;
let workers: readonly Worker[] = [];
let members: readonly Member[] = [];
/** Highest number of workers that were sampled as unavailable at the same time. */
let peakUnavailable = 0;
let sampler: NodeJS.Timeout;

const listedInstances: Parameters<StandInPlatform['instances']['setInstances']>[0][number][] = [];

async function startMember(name: string, zone: string): Promise<Member> {
  const [port, peerPort] = [await freePort(), await freePort()];
  listedInstances.push({ id: name, address: `${HOST}:${peerPort}`, zone, state: 'live' });
  platform.instances.setInstances(listedInstances);
  const entryOptions = { member: name, zone, port, peerPort, operatorToken: TOKEN, drainMs: 100 };
  const entry = await startEntry(renderSettings(platform, entryOptions));
  return { name, url: `http://${HOST}:${port}`, entry };
}

async function api<T>({ url }: Member, path: string, body?: unknown): Promise<T> {
  const res = await request(`${url}/api/v1/${path}`, {
    method: body === undefined ? 'GET' : 'POST',
    headers: { authorization: `Bearer ${TOKEN}`, 'content-type': 'application/json' },
    ...(body === undefined ? {} : { body: JSON.stringify(body) }),
  });
  const text = await res.body.text();
  if (res.statusCode !== 200) {
    throw new Error(`${path}: ${res.statusCode} ${text}`);
  }
  return JSON.parse(text) as T;
}

async function apply(member: Member, ...documents: readonly unknown[]): Promise<void> {
  await api(member, 'apply', { documents });
}

function planDocument(name: string, racks: readonly string[]): unknown {
  return { kind: 'plan', name, spec: { select: { racks }, maxParallel: 4 } };
}

function instanceDocument(i: number, cordoned: boolean): unknown {
  const address = workers[i]?.address;
  const size = { processors: 4, memoryMb: 1_024 };
  const spec = { pool: POOL, zone: 'zone-a', rack: `rack-${i}`, address, ...size, cordoned };
  return { kind: 'instance', name: `worker-${i}`, spec };
}

/** Reads the owner of the pool from the table service. */
async function readPoolOwner(): Promise<string | undefined> {
  const body = JSON.stringify({ keys: [`owner/pool/${POOL}`] });
  const headers = { 'content-type': 'application/json' };
  const res = await request(`${platform.table.url}/v1/read`, { method: 'POST', headers, body });
  const { rows } = (await res.body.json()) as {
    readonly rows: readonly { readonly value: { readonly member: string } }[];
  };
  return rows[0]?.value.member;
}

function explainWait(member: Member, kind: string, name: string): Promise<WaitExplanation> {
  return api<WaitExplanation>(member, `why/${kind}/${name}`);
}

/** Waits until the plan has no instance left, waits for nothing, and all workers are available. */
function waitUntilFinished(member: Member, name: string, ms: number): Promise<WaitExplanation> {
  return waitFor(`the end of plan ${name}`, ms, async () => {
    const explanation = await explainWait(member, 'plan', name);
    const done = explanation.progress?.remaining === 0 && explanation.waitsFor === null;
    return done && workers.every(({ available }) => available) ? explanation : undefined;
  });
}

function bootCounts(): readonly number[] {
  return workers.map(({ boot }) => boot);
}

function firstMember(): Member {
  const [member] = members;
  if (member === undefined) {
    throw new Error('no entry is running');
  }
  return member;
}

beforeAll(async () => {
  platform = await startPlatform();
  const capacity = { processors: 4, memoryMb: 1_024, accelerators: 0 };
  workers = await Promise.all(
    Array.from({ length: 4 }, () => startWorker({ host: HOST, port: 0, capacity, rebootMs: 100 })),
  );
  members = [await startMember('entry-1', 'zone-a'), await startMember('entry-2', 'zone-b')];
  const instances = workers.map((_, i) => instanceDocument(i, false));
  const pool = { size: 4, budget: { maxUnavailable: MAX_UNAVAILABLE } };
  await waitFor('the resources to be applied', 15_000, async () => {
    const zone = { kind: 'zone', name: 'zone-a', spec: { region: 'region-1' } };
    await apply(firstMember(), zone, { kind: 'pool', name: POOL, spec: pool }, ...instances);
    return true;
  });
  sampler = setInterval(() => {
    peakUnavailable = Math.max(
      peakUnavailable,
      workers.filter(({ available }) => !available).length,
    );
  }, SAMPLE_MS);
}, 30_000);

afterAll(async () => {
  clearInterval(sampler);
  await Promise.all(members.map(({ entry }) => entry.stop()));
  await Promise.all([platform, ...workers].map((each) => each.close()));
}, 30_000);

test('a plan reboots each instance of its racks once and stays within the budget', async () => {
  const before = bootCounts();
  await apply(firstMember(), planDocument('first', ['rack-0', 'rack-1', 'rack-2']));
  await waitUntilFinished(firstMember(), 'first', 25_000);
  // Guards against a reboot that is sent twice and an instance that is left out.
  expect(bootCounts().map((boot, i) => boot - (before[i] ?? 0))).toEqual([1, 1, 1, 0]);
  expect(peakUnavailable).toBe(MAX_UNAVAILABLE);
}, 40_000);

test('a plan waits while a drained instance uses the budget, and both entries report the reason', async () => {
  await apply(firstMember(), instanceDocument(3, true));
  await waitFor('the instance to be drained', 10_000, async () => {
    const { waitsFor } = await explainWait(firstMember(), 'instance', 'worker-3');
    return waitsFor?.type === 'operator-hold' ? true : undefined;
  });
  const before = bootCounts();
  await apply(firstMember(), planDocument('second', ['rack-0']));
  for (const member of members) {
    const reason = await waitFor('a wait reason', 10_000, async () => {
      const { waitsFor } = await explainWait(member, 'plan', 'second');
      return waitsFor ?? undefined;
    });
    expect(reason).toMatchObject({ type: 'budget', pool: POOL, limit: MAX_UNAVAILABLE });
  }
  expect(bootCounts()).toEqual(before);
  await apply(firstMember(), instanceDocument(3, false));
  await waitUntilFinished(firstMember(), 'second', 20_000);
  expect(bootCounts().map((boot, i) => boot - (before[i] ?? 0))).toEqual([1, 0, 0, 0]);
  expect(peakUnavailable).toBe(MAX_UNAVAILABLE);
}, 60_000);

test('a plan continues at another entry when its owner stops, without a second reboot', async () => {
  const before = bootCounts();
  await apply(firstMember(), planDocument('survivor', ['rack-0', 'rack-1', 'rack-2', 'rack-3']));
  await waitFor('the first disruption', 10_000, () =>
    Promise.resolve(workers.some(({ available }) => !available) || undefined),
  );
  const owner = await readPoolOwner();
  const stopped = members.find(({ name }) => name === owner);
  members = members.filter(({ name }) => name !== owner);
  expect(members).toHaveLength(1);
  await stopped?.entry.stop();
  await waitUntilFinished(firstMember(), 'survivor', 30_000);
  expect(bootCounts().map((boot, i) => boot - (before[i] ?? 0))).toEqual([1, 1, 1, 1]);
  expect(peakUnavailable).toBe(MAX_UNAVAILABLE);
}, 60_000);
