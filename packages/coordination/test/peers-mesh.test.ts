import { connect } from 'node:net';
import { afterEach, expect, test } from '@jest/globals';
import {
  HEARTBEAT_MS,
  LINK_SILENT_MS,
  PROTOCOL_VERSION,
  encodeFrame,
  encodeMessage,
} from '@turmerichoist/coordination';
import {
  SilencingProxy,
  introduce,
  startMember,
  until,
  type StartOptions,
  type TestMember,
} from './peers-support.js';

/** A silent link is noticed within the limit plus one check, and dialled anew within a second. */
const REPLACED_WITHIN_MS = LINK_SILENT_MS + HEARTBEAT_MS + 1_000;

let running: { stop(): void }[] = [];

afterEach(() => {
  for (const part of running) {
    part.stop();
  }
  running = [];
});

async function member(id: string, options: StartOptions = {}): Promise<TestMember> {
  const started = await startMember(id, options);
  running.push(started);
  return started;
}

async function proxied(): Promise<readonly [TestMember, TestMember, SilencingProxy]> {
  const [a, b] = [await member('a'), await member('b')];
  const proxy = new SilencingProxy();
  running.push(proxy);
  introduce([a, b], { b: await proxy.start(b.address) });
  await until(() => a.seen.up.get('b') === true && b.seen.up.get('a') === true, 2_000);
  return [a, b, proxy];
}

test('members that know the secret exchange broadcasts, requests and dated reports', async () => {
  const all = [await member('a'), await member('b'), await member('c')];
  const [a, b, c] = all as [TestMember, TestMember, TestMember];
  introduce(all);
  await until(() => all.every(({ seen }) => seen.up.size === 2), 2_000);
  b.mesh.publish({ type: 'head', revision: 7 });
  await until(() => a.seen.broadcasts.length === 1 && c.seen.broadcasts.length === 1, 1_000);
  const { signal } = new AbortController();
  const ask = { topic: 'idempotency', body: { key: 'k' } } as const;
  expect((await c.mesh.request('a', ask, 1_000, signal)).unwrap()).toEqual({ echoed: ask.body });
  const refused = await c.mesh.request('a', { ...ask, body: null }, 1_000, signal);
  expect(refused.isErr() && refused.error.kind).toBe('not-owner');
  const before = performance.now();
  await until(() => a.seen.reports.some(({ member: id }) => id === 'b'), 3 * HEARTBEAT_MS);
  expect(a.seen.reports.every(({ datedAt }) => datedAt > before - 3 * HEARTBEAT_MS)).toBe(true);
});

test('a request ends at its time-out, on abort and when its link ends', async () => {
  const [a, b] = [await member('a'), await member('b')];
  introduce([a, b]);
  await until(() => a.seen.up.get('b') === true, 2_000);
  const abort = new AbortController();
  const slow = { topic: 'submit', body: 1 } as const;
  const ends = [
    a.mesh.request('b', slow, 150, new AbortController().signal),
    a.mesh.request('b', slow, 5_000, abort.signal),
    a.mesh.request('b', slow, 5_000, new AbortController().signal),
    a.mesh.request('nobody', slow, 5_000, new AbortController().signal),
  ];
  setTimeout(() => {
    abort.abort();
  }, 50);
  setTimeout(b.stop, 300);
  const kinds = (await Promise.all(ends)).map((end) => end.isErr() && end.error.kind);
  expect(kinds).toEqual(Array(4).fill('peer-unavailable'));
});

test('a peer with another secret gets no link', async () => {
  const [a, b] = [await member('a'), await member('b', { secret: Buffer.from('other') })];
  introduce([a, b]);
  await until(() => (b.seen.counts.get('peers.link_closed') ?? 0) > 0, 2_000);
  expect([a.seen.links, b.seen.links]).toEqual([[], []]);
});

test('a build of the version before gets a link, an older one does not', async () => {
  const versions = [PROTOCOL_VERSION, PROTOCOL_VERSION - 1, PROTOCOL_VERSION - 2];
  const all = await Promise.all(
    versions.map((protocolVersion, i) => member(`m${i}`, { protocolVersion })),
  );
  introduce(all);
  await until(() => all.map(({ seen }) => seen.up.size).join() === '1,2,1', 2_000);
  all[0]?.mesh.publish({ type: 'want', wants: [{ team: 't', units: 3 }] });
  await until(() => all[1]?.seen.broadcasts.length === 1, 1_000);
  expect(all[0]?.seen.up.has('m2')).toBe(false);
});

test('a link that goes silent without closing is replaced in time', async () => {
  const [a, b, proxy] = await proxied();
  proxy.silence('both');
  // The next link may be up within one poll, so the record of the links is looked at.
  const lost = () => a.seen.links.some((link) => link.startsWith('b ') && link.endsWith(' down'));
  await until(lost, LINK_SILENT_MS + HEARTBEAT_MS);
  const again = () => a.seen.up.get('b') === true && b.seen.up.get('a') === true;
  await until(again, REPLACED_WITHIN_MS);
  expect(proxy.connections).toBe(2);
});

test('a link that delivers in one direction only is replaced in time', async () => {
  const [a, b, proxy] = await proxied();
  proxy.silence('towards-server');
  await until(() => proxy.connections > 1, REPLACED_WITHIN_MS);
  await until(() => a.seen.up.get('b') === true && b.seen.up.get('a') === true, 1_000);
  const { signal } = new AbortController();
  const asked = await a.mesh.request('b', { topic: 'want', body: 2 }, 1_000, signal);
  expect(asked.isOk()).toBe(true);
});

test('broken frames close the connection and leave the listener working', async () => {
  const [a, b] = [await member('a'), await member('b')];
  const port = Number(b.address.split(':')[1]);
  const frame = (version: number, text: string) =>
    encodeFrame(version, Buffer.from(text, 'hex')).unwrap();
  const broken = [
    Buffer.from([255, 255, 255, 255]),
    Buffer.from([0, 0, 8, 0, 2]),
    frame(9, 'a0'),
    frame(PROTOCOL_VERSION, 'ff'),
    encodeMessage({ type: 'head', revision: 1 }, PROTOCOL_VERSION).unwrap(),
  ];
  for (const bytes of broken) {
    const socket = connect({ host: '127.0.0.1', port });
    socket.write(bytes);
    await new Promise((resolve) => socket.resume().once('close', resolve));
  }
  expect(b.seen.counts.get('peers.link_closed')).toBe(broken.length);
  introduce([a, b]);
  await until(() => a.seen.up.get('b') === true, 2_000);
});

test('a broadcast reaches each member of a view of 16 exactly once', async () => {
  const ids = Array.from({ length: 16 }, (_, i) => i);
  const all = await Promise.all(ids.map((i) => member(`m${i}`, { zone: `z${i % 4}` })));
  introduce(all);
  await until(() => all.every(({ seen }) => seen.up.size >= 9), 5_000);
  await new Promise((resolve) => setTimeout(resolve, HEARTBEAT_MS));
  all[0]?.mesh.publish({ type: 'head', revision: 3 });
  const others = all.slice(1);
  await until(() => others.every(({ seen }) => seen.broadcasts.length > 0), 2_000);
  await new Promise((resolve) => setTimeout(resolve, 200));
  expect(others.map(({ seen }) => seen.broadcasts.length)).toEqual(others.map(() => 1));
});
