/** A small JSON server and client over HTTP/1.1 on loopback. */
import { Buffer } from 'node:buffer';
import { Agent, createServer, request } from 'node:http';

/** Connections are kept open, as those of consumers are. */
const agent = new Agent({ keepAlive: true, maxSockets: 64 });

async function readBody(stream) {
  const chunks = [];
  for await (const chunk of stream) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString();
}

async function answer(req, res, handle) {
  const url = new URL(req.url ?? '/', 'http://stand-in');
  const text = await readBody(req);
  const reply = await handle({
    method: req.method,
    path: url.pathname,
    query: url.searchParams,
    headers: req.headers,
    body: text === '' ? undefined : JSON.parse(text),
  });
  const body = JSON.stringify(reply.body ?? {});
  res.writeHead(reply.status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  res.end(body);
}

/** Serves JSON; resolves to the server. */
export async function serveJson(handle, { host = '127.0.0.1', port = 0 } = {}) {
  const server = createServer((req, res) => {
    answer(req, res, handle).catch(() => res.destroy());
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return server;
}

/** Sends one call; resolves to its status and body, or to status 0 without an answer. */
export function call({ host, port, method, path, headers = {}, body, timeoutMs = 3_000 }) {
  return new Promise((resolve) => {
    const text = body === undefined ? undefined : JSON.stringify(body);
    const req = request({
      host,
      port,
      method,
      path,
      timeout: timeoutMs,
      agent,
      headers: {
        ...headers,
        ...(text === undefined
          ? {}
          : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }),
      },
    });
    req.on('response', (res) => {
      readBody(res).then(
        (received) => {
          resolve({
            status: res.statusCode,
            body: received === '' ? undefined : JSON.parse(received),
          });
        },
        () => {
          resolve({ status: 0 });
        },
      );
    });
    req.on('timeout', () => req.destroy());
    req.on('error', () => {
      resolve({ status: 0 });
    });
    req.end(text);
  });
}
