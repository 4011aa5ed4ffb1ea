import { Buffer } from 'node:buffer';
import http from 'node:http';

/** Reads a whole body as JSON; undefined without one. */
export async function readJson(stream) {
  const chunks = [];
  for await (const chunk of stream) {
    chunks.push(chunk);
  }
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? undefined : JSON.parse(text);
}

export function reply(res, status, body) {
  if (res.destroyed) {
    return;
  }
  const text = JSON.stringify(body);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  res.end(text);
}

/** Serves JSON on a loopback address. `handle` gets the request, its URL, its body and the response. */
export function serve(host, port, handle) {
  const server = http.createServer((req, res) => {
    const url = new URL(req.url, 'http://stand-in');
    readJson(req)
      .then((body) => handle({ req, url, body, res }))
      .catch(() => res.destroy());
  });
  server.keepAliveTimeout = 60_000;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve(server));
  });
}

/** Sends one call of a consumer. Resolves to the status (0 without an answer) and the body. */
export function call(address, method, path, { headers = {}, body, timeoutMs = 3_000 } = {}) {
  const [host, port] = address.split(':');
  const text = body === undefined ? undefined : JSON.stringify(body);
  return new Promise((resolve) => {
    const req = http.request({ host, port, method, path, agent: false });
    for (const [name, value] of Object.entries(headers)) {
      req.setHeader(name, value);
    }
    if (text !== undefined) {
      req.setHeader('content-type', 'application/json');
      req.setHeader('content-length', Buffer.byteLength(text));
    }
    req.setTimeout(timeoutMs, () => req.destroy(new Error('timeout')));
    req.on('error', (err) => resolve({ status: 0, body: undefined, error: String(err) }));
    req.on('response', (res) => {
      readJson(res).then(
        (answer) => resolve({ status: res.statusCode, body: answer }),
        (err) => resolve({ status: 0, body: undefined, error: String(err) }),
      );
    });
    req.end(text);
  });
}
