import { once } from 'node:events';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { afterEach, beforeEach, expect, test } from '@jest/globals';
import { DEFAULT_CALLER_LIMITS, ManualClock } from '@turmerichoist/core';
import {
  GuardedServer,
  ListenerGuard,
  NoMetrics,
  sendResponse,
  silentLogger,
} from '@turmerichoist/runtime';

// Each test is named after the failure that it guards against.

const MAX_BODY_BYTES = 1_000;
/** Longer than a connection with an unread body stays open without any bytes. */
const SLOW_MS = 1_300;
/** Longer than the interval of the sweep. */
const PAUSE_MS = 1_100;
/** More than the kernel takes for a caller that does not read. */
const LONG_BYTES = 16_000_000;
const SLOW = 'GET /slow HTTP/1.1\r\nhost: a\r\n\r\n';
const POST = 'POST / HTTP/1.1\r\nhost: a\r\n';

let stop: AbortController;
let clock: ManualClock;
let guarded: GuardedServer;
/** Methods of the requests of this test whose response has closed. */
let closed: string[] = [];
let sockets: Socket[] = [];

beforeEach(async () => {
  stop = new AbortController();
  clock = new ManualClock();
  const closedNow: string[] = [];
  closed = closedNow;
  const guard = new ListenerGuard({
    limits: { memoryMb: 250, fileDescriptors: 4_100 },
    clock,
    metrics: new NoMetrics(),
    log: silentLogger,
    signal: stop.signal,
  });
  guarded = new GuardedServer({
    guard,
    maxConnections: 2,
    limits: () => DEFAULT_CALLER_LIMITS,
    keepAliveMs: 20_000,
    onRequest: (req, res) => {
      res.once('close', () => {
        closedNow.push(req.method ?? '');
      });
      if (req.url === '/slow') {
        setTimeout(() => {
          sendResponse(req, res, 200, 'slow');
        }, SLOW_MS);
        return;
      }
      if (req.url === '/early') {
        res.end('early');
        return;
      }
      if (req.url === '/long') {
        sendResponse(req, res, 200, 'x'.repeat(LONG_BYTES));
        return;
      }
      if (req.method === 'GET') {
        sendResponse(req, res, 200, 'read');
        return;
      }
      void guard.bodies.read(req, res, { maxBytes: MAX_BODY_BYTES, factor: 1 }).then((body) => {
        sendResponse(req, res, body.isOk() ? 200 : 400, body.isOk() ? 'ok' : body.error.kind);
      });
    },
  });
  guarded.server.listen(0, '127.0.0.1');
  await once(guarded.server, 'listening');
});

afterEach(async () => {
  stop.abort();
  sockets.forEach((socket) => socket.destroy());
  sockets = [];
  guarded.server.close();
  await once(guarded.server, 'close');
});

/** Opens a connection that sends this text. */
async function open(text: string): Promise<Socket> {
  const { port } = guarded.server.address() as AddressInfo;
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  sockets.push(socket);
  await once(socket, 'connect');
  socket.write(text);
  return socket;
}

async function read(socket: Socket): Promise<string> {
  const [chunk] = (await once(socket, 'data')) as [Buffer];
  return chunk.toString();
}

test('a caller that waits for 100 is told to send a body that is refused', async () => {
  const text = await read(
    await open(`${POST}expect: 100-continue\r\ncontent-length: 2000\r\n\r\n`),
  );
  expect(text).toMatch(/^HTTP\/1.1 400 /);
  expect(text).toContain('body-too-large');
});

test('a caller that waits for 100 gets no response', async () => {
  const socket = await open(`${POST}expect: 100-continue\r\ncontent-length: 2\r\n\r\n`);
  expect(await read(socket)).toMatch(/^HTTP\/1.1 100 /);
  socket.write('ab');
  expect(await read(socket)).toMatch(/^HTTP\/1.1 200 /);
});

test('a chunked body over the limit is read to its end', async () => {
  const chunk = `258\r\n${'x'.repeat(600)}\r\n`;
  const socket = await open(`${POST}transfer-encoding: chunked\r\n\r\n${chunk}${chunk}`);
  const text = await read(socket);
  expect(text).toContain('body-too-large');
  expect(text.toLowerCase()).toContain('connection: close');
});

test('a short body that is refused costs the caller its connection', async () => {
  const socket = await open(`${POST}content-length: 2000\r\n\r\n${'x'.repeat(2_000)}`);
  expect(await read(socket)).toContain('body-too-large');
  socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
  expect(await read(socket)).toMatch(/^HTTP\/1.1 200 /);
});

test('a body of many pieces is not put together', async () => {
  const socket = await open(`${POST}content-length: 4\r\n\r\na`);
  for (const piece of ['b', 'c', 'd']) {
    await new Promise((resolve) => setImmediate(resolve));
    socket.write(piece);
  }
  expect(await read(socket)).toMatch(/^HTTP\/1.1 200 /);
});

test('a body with an invalid chunk gets no response', async () => {
  const socket = await open(`${POST}transfer-encoding: chunked\r\n\r\n`);
  await new Promise((resolve) => setTimeout(resolve, 20));
  socket.write('zz\r\n');
  expect(await read(socket)).toMatch(/^HTTP\/1.1 400 /);
});

test('idle connections keep a new caller out', async () => {
  const first = await open('');
  await open('');
  const closed = once(first, 'close');
  const third = await open('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
  expect(await read(third)).toMatch(/^HTTP\/1.1 200 /);
  await closed;
  expect(guarded.connections).toBe(2);
});

test('header fields that never end keep a connection, or an idle one is closed with them', async () => {
  const idle = await open('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
  await read(idle);
  const slow = await open('GET / HTTP/1.1\r\nhost: a\r\n');
  await new Promise((resolve) => setTimeout(resolve, 50));
  guarded.sweep(clock.now());
  clock.advance(DEFAULT_CALLER_LIMITS.headerTimeoutMs);
  guarded.sweep(clock.now());
  expect(await read(slow)).toMatch(/^HTTP\/1.1 408 /);
  idle.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
  expect(await read(idle)).toMatch(/^HTTP\/1.1 200 /);
});

test('a request of too many header fields is served', async () => {
  const socket = await open(`GET / HTTP/1.1\r\nhost: a\r\n${'x: y\r\n'.repeat(200)}\r\n`);
  expect(await read(socket)).toMatch(/^HTTP\/1.1 431 /);
});

test('a refusal closes the connection before an earlier request is answered', async () => {
  const socket = await open(`${SLOW}${POST}content-length: 2000\r\n\r\n`);
  expect(await read(socket)).toContain('slow');
});

test('a request that waits for an earlier one is held after its caller has gone', async () => {
  const socket = await open(`${SLOW}${POST}content-length: 2\r\n\r\nab`);
  await new Promise((resolve) => setTimeout(resolve, 50));
  socket.destroy();
  await new Promise((resolve) => setTimeout(resolve, 50));
  expect(closed.toSorted()).toEqual(['GET', 'POST']);
  expect(guarded.connections).toBe(0);
});

test('a pause of the process costs a caller whose header fields have arrived', async () => {
  const socket = await open('GET / HTTP/1.1\r\nhost: a\r\n');
  await new Promise((resolve) => setTimeout(resolve, 50));
  guarded.sweep(clock.now());
  // Timers are due before input is read when the pause ends after the phase of immediates.
  await new Promise((resolve) => setImmediate(resolve));
  clock.advance(DEFAULT_CALLER_LIMITS.headerTimeoutMs);
  socket.write('\r\n');
  const pause = new Int32Array(new SharedArrayBuffer(4));
  Atomics.wait(pause, 0, 0, PAUSE_MS);
  expect(await read(socket)).toMatch(/^HTTP\/1.1 200 /);
});

test('a body that arrives after its response is taken for slow header fields', async () => {
  const socket = await open('POST /early HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\na');
  expect(await read(socket)).toContain('early');
  socket.write('b');
  await new Promise((resolve) => setTimeout(resolve, 50));
  guarded.sweep(clock.now());
  clock.advance(DEFAULT_CALLER_LIMITS.headerTimeoutMs);
  guarded.sweep(clock.now());
  socket.write('cdGET / HTTP/1.1\r\nhost: a\r\n\r\n');
  expect(await read(socket)).toMatch(/^HTTP\/1.1 200 /);
});

test('a long response to a slow caller is cut, or one that is never read is kept', async () => {
  const socket = await open('GET /long HTTP/1.1\r\nhost: a\r\n\r\n');
  socket.pause();
  await new Promise((resolve) => setTimeout(resolve, 50));
  guarded.sweep(clock.now());
  clock.advance(60_000);
  guarded.sweep(clock.now());
  await new Promise((resolve) => setTimeout(resolve, 50));
  expect(guarded.connections).toBe(1);
  clock.advance(LONG_BYTES);
  guarded.sweep(clock.now());
  await new Promise((resolve) => setTimeout(resolve, 50));
  expect(guarded.connections).toBe(0);
});
