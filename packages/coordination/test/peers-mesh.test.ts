import { connect } from 'node:net';
import { afterEach, expect, test } from '@jest/globals';
import { parseEndpoint } from '@turmerichoist/core';
import {
  HEARTBEAT_MS,
  LINK_SILENT_MS,
  PROTOCOL_VERSION,
  encodeFrame,
  encodeMessage,
} from '@turmerichoist/coordination';
import {
  SilencingProxy,
  setView,
  startMember,
  waitUntil,
  type StartOptions,
  type TestMember,
} from './peers-support.js';

/** A silent link is detected within the limit plus one heartbeat, and redialed within a second. */
const REPLACED_WITHIN_MS = LINK_SILENT_MS + HEARTBEAT_MS + 1_000;

let startedParts: { stop(): void }[] = [];

afterEach(() => {
  for (const part of startedParts) {
    part.stop();
  }
  startedParts = [];
});

async function startTracked(id: string, options: StartOptions = {}): Promise<TestMember> {
  const started = await startMember(id, options);
  startedParts.push(started);
  return started;
}

async function startProxiedPair(): Promise<readonly [TestMember, TestMember, SilencingProxy]> {
  const [a, b] = [await startTracked('a'), await startTracked('b')];
  const proxy = new SilencingProxy();
  startedParts.push(proxy);
  setView([a, b], { b: await proxy.start(b.address) });
  await waitUntil(() => a.recorder.up.get('b') === true && b.recorder.up.get('a') === true, 2_000);
  return [a, b, proxy];
}

test('members that know the secret exchange broadcasts, requests and dated reports', async () => {
  const all = [await startTracked('a'), await startTracked('b'), await startTracked('c')];
  const [a, b, c] = all as [TestMember, TestMember, TestMember];
  setView(all);
  await waitUntil(() => all.every(({ recorder }) => recorder.up.size === 2), 2_000);
  b.mesh.publish({ type: 'head', revision: 7 });
  await waitUntil(
    () => a.recorder.broadcasts.length === 1 && c.recorder.broadcasts.length === 1,
    1_000,
  );
  const { signal } = new AbortController();
  const ask = { topic: 'idempotency', body: { key: 'k' } } as const;
  expect((await c.mesh.request('a', ask, 1_000, signal)).unwrap()).toEqual({ echoed: ask.body });
  const refused = await c.mesh.request('a', { ...ask, body: null }, 1_000, signal);
  expect(refused.isErr() && refused.error.kind).toBe('not-owner');
  const before = performance.now();
  await waitUntil(() => a.recorder.reports.some(({ member: id }) => id === 'b'), 3 * HEARTBEAT_MS);
  expect(a.recorder.reports.every(({ datedAt }) => datedAt > before - 3 * HEARTBEAT_MS)).toBe(true);
});

test('a request fails on time-out, on abort, when its link ends and without a link', async () => {
  const [a, b] = [await startTracked('a'), await startTracked('b')];
  setView([a, b]);
  await waitUntil(() => a.recorder.up.get('b') === true, 2_000);
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
  const [a, b] = [
    await startTracked('a'),
    await startTracked('b', { secret: Buffer.from('other') }),
  ];
  setView([a, b]);
  await waitUntil(() => (b.recorder.counts.get('peers.link_closed') ?? 0) > 0, 2_000);
  expect([a.recorder.links, b.recorder.links]).toEqual([[], []]);
});

test('a peer with the previous protocol version gets a link, an older one does not', async () => {
  const versions = [PROTOCOL_VERSION, PROTOCOL_VERSION - 1, PROTOCOL_VERSION - 2];
  const all = await Promise.all(
    versions.map((protocolVersion, i) => startTracked(`m${i}`, { protocolVersion })),
  );
  setView(all);
  await waitUntil(() => all.map(({ recorder }) => recorder.up.size).join() === '1,2,1', 2_000);
  all[0]?.mesh.publish({ type: 'want', wants: [{ team: 't', units: 3 }] });
  await waitUntil(() => all[1]?.recorder.broadcasts.length === 1, 1_000);
  expect(all[0]?.recorder.up.has('m2')).toBe(false);
});

test('a link that goes silent without closing is replaced within the limit', async () => {
  const [a, b, proxy] = await startProxiedPair();
  proxy.silence('both');
  // The next link may be up before the condition is polled, so check the recorded link events.
  const lost = () =>
    a.recorder.links.some((link) => link.startsWith('b ') && link.endsWith(' down'));
  await waitUntil(lost, LINK_SILENT_MS + HEARTBEAT_MS);
  const again = () => a.recorder.up.get('b') === true && b.recorder.up.get('a') === true;
  await waitUntil(again, REPLACED_WITHIN_MS);
  expect(proxy.connections).toBe(2);
});

test('a link that delivers in only one direction is replaced within the limit', async () => {
  const [a, b, proxy] = await startProxiedPair();
  proxy.silence('towards-server');
  await waitUntil(() => proxy.connections > 1, REPLACED_WITHIN_MS);
  await waitUntil(() => a.recorder.up.get('b') === true && b.recorder.up.get('a') === true, 1_000);
  const { signal } = new AbortController();
  const asked = await a.mesh.request('b', { topic: 'want', body: 2 }, 1_000, signal);
  expect(asked.isOk()).toBe(true);
});

test('malformed frames close the connection and do not affect the listener', async () => {
  const [a, b] = [await startTracked('a'), await startTracked('b')];
  const { port } = parseEndpoint(b.address);
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
  expect(b.recorder.counts.get('peers.link_closed')).toBe(broken.length);
  setView([a, b]);
  await waitUntil(() => a.recorder.up.get('b') === true, 2_000);
});

test('a broadcast reaches each member of a view of 16 exactly once', async () => {
  const ids = Array.from({ length: 16 }, (_, i) => i);
  const all = await Promise.all(ids.map((i) => startTracked(`m${i}`, { zone: `z${i % 4}` })));
  setView(all);
  await waitUntil(() => all.every(({ recorder }) => recorder.up.size >= 9), 5_000);
  await new Promise((resolve) => setTimeout(resolve, HEARTBEAT_MS));
  all[0]?.mesh.publish({ type: 'head', revision: 3 });
  const others = all.slice(1);
  await waitUntil(() => others.every(({ recorder }) => recorder.broadcasts.length > 0), 2_000);
  await new Promise((resolve) => setTimeout(resolve, 200));
  expect(others.map(({ recorder }) => recorder.broadcasts.length)).toEqual(others.map(() => 1));
});
