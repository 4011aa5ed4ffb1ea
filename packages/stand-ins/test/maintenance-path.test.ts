import { afterAll, beforeAll, expect, test } from '@jest/globals';
import type { Entry } from '@turmerichoist/daemon';
import {
  settingsText,
  startEntry,
  startPlatform,
  startWorker,
  type StandInPlatform,
  type Worker,
} from '@turmerichoist/stand-ins';
import { request } from 'undici';
import { HOST, freePort, until } from './support.js';

const TOKEN = 'operator-token';
const POOL = 'web';
const BUDGET = 1;
const SAMPLE_MS = 5;

interface Member {
  readonly name: string;
  readonly url: string;
  readonly entry: Entry;
}

interface Why {
  readonly waitsFor: { readonly type: string; readonly [name: string]: unknown } | null;
  readonly progress?: { readonly total: number; readonly remaining: number };
}

let platform: StandInPlatform;
let workers: readonly Worker[] = [];
let members: readonly Member[] = [];
/** Highest number of workers that were seen unavailable at once. */
let worst = 0;
let sampler: NodeJS.Timeout;

const listed: Parameters<StandInPlatform['instances']['setInstances']>[0][number][] = [];

async function startMember(name: string, zone: string): Promise<Member> {
  const [port, peerPort] = [await freePort(), await freePort()];
  listed.push({ id: name, address: `${HOST}:${peerPort}`, zone, state: 'live' });
  platform.instances.setInstances(listed);
  const place = { member: name, zone, port, peerPort, operatorToken: TOKEN, drainMs: 100 };
  const entry = await startEntry(settingsText(platform, place));
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

function plan(name: string, racks: readonly string[]): unknown {
  return { kind: 'plan', name, spec: { select: { racks }, maxParallel: 4 } };
}

function instance(i: number, cordoned: boolean): unknown {
  const address = workers[i]?.address;
  const size = { processors: 4, memoryMb: 1_024 };
  const spec = { pool: POOL, zone: 'zone-a', rack: `rack-${i}`, address, ...size, cordoned };
  return { kind: 'instance', name: `worker-${i}`, spec };
}

/** The entry that the table service has on record as the owner of the pool. */
async function ownerOfPool(): Promise<string | undefined> {
  const body = JSON.stringify({ keys: [`owner/pool/${POOL}`] });
  const headers = { 'content-type': 'application/json' };
  const res = await request(`${platform.table.url}/v1/read`, { method: 'POST', headers, body });
  const { rows } = (await res.body.json()) as {
    readonly rows: readonly { readonly value: { readonly member: string } }[];
  };
  return rows[0]?.value.member;
}

function why(member: Member, kind: string, name: string): Promise<Why> {
  return api<Why>(member, `why/${kind}/${name}`);
}

/** Resolves when the plan has no instance left and none waits. */
function finished(member: Member, name: string, ms: number): Promise<Why> {
  return until(`end of ${name}`, ms, async () => {
    const answer = await why(member, 'plan', name);
    const done = answer.progress?.remaining === 0 && answer.waitsFor === null;
    return done && workers.every(({ available }) => available) ? answer : undefined;
  });
}

function boots(): readonly number[] {
  return workers.map(({ boot }) => boot);
}

function first(): Member {
  const [member] = members;
  if (member === undefined) {
    throw new Error('no entry runs');
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
  const instances = workers.map((_, i) => instance(i, false));
  const pool = { size: 4, budget: { maxUnavailable: BUDGET } };
  await until('applied resources', 15_000, async () => {
    const zone = { kind: 'zone', name: 'zone-a', spec: { region: 'region-1' } };
    await apply(first(), zone, { kind: 'pool', name: POOL, spec: pool }, ...instances);
    return true;
  });
  sampler = setInterval(() => {
    worst = Math.max(worst, workers.filter(({ available }) => !available).length);
  }, SAMPLE_MS);
}, 30_000);

afterAll(async () => {
  clearInterval(sampler);
  await Promise.all(members.map(({ entry }) => entry.stop()));
  await Promise.all([platform, ...workers].map((each) => each.close()));
}, 30_000);

test('a plan reboots each instance of its racks once and takes no more than the budget', async () => {
  const before = boots();
  await apply(first(), plan('first', ['rack-0', 'rack-1', 'rack-2']));
  await finished(first(), 'first', 25_000);
  // A reboot that is sent twice, or an instance that is left out, shows in these counts.
  expect(boots().map((boot, i) => boot - (before[i] ?? 0))).toEqual([1, 1, 1, 0]);
  expect(worst).toBe(BUDGET);
}, 40_000);

test('a plan waits while an operator has drained an instance, and either entry says for what', async () => {
  await apply(first(), instance(3, true));
  await until('drained instance', 10_000, async () => {
    const { waitsFor } = await why(first(), 'instance', 'worker-3');
    return waitsFor?.type === 'operator-hold' ? true : undefined;
  });
  const before = boots();
  await apply(first(), plan('second', ['rack-0']));
  for (const member of members) {
    const reason = await until('reason', 10_000, async () => {
      const { waitsFor } = await why(member, 'plan', 'second');
      return waitsFor ?? undefined;
    });
    expect(reason).toMatchObject({ type: 'budget', pool: POOL, limit: BUDGET });
  }
  expect(boots()).toEqual(before);
  await apply(first(), instance(3, false));
  await finished(first(), 'second', 20_000);
  expect(boots().map((boot, i) => boot - (before[i] ?? 0))).toEqual([1, 0, 0, 0]);
  expect(worst).toBe(BUDGET);
}, 60_000);

test('a plan goes on at another entry when its owner stops, without a second reboot', async () => {
  const before = boots();
  await apply(first(), plan('survivor', ['rack-0', 'rack-1', 'rack-2', 'rack-3']));
  await until('first disruption', 10_000, () =>
    Promise.resolve(workers.some(({ available }) => !available) || undefined),
  );
  const owner = await ownerOfPool();
  const stopped = members.find(({ name }) => name === owner);
  members = members.filter(({ name }) => name !== owner);
  expect(members).toHaveLength(1);
  await stopped?.entry.stop();
  await finished(first(), 'survivor', 30_000);
  expect(boots().map((boot, i) => boot - (before[i] ?? 0))).toEqual([1, 1, 1, 1]);
  expect(worst).toBe(BUDGET);
}, 60_000);
