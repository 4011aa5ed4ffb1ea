// JSON over HTTP/1.1 on loopback, for the stand-ins and for callers.
import { Buffer } from 'node:buffer';
import { Agent, createServer, request } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { URLSearchParams } from 'node:url';

/** Body of a request or a response; undefined without one or if it is not JSON. */
async function readJson(stream) {
  const chunks = [];
  for await (const chunk of stream) {
    chunks.push(chunk);
  }
  try {
    return JSON.parse(Buffer.concat(chunks).toString('utf8'));
  } catch {
    return undefined;
  }
}

/**
 * Serves JSON at an address. `handle` gets method, path, query, headers and body, and returns status
 * and body; undefined ends the connection without an answer.
 */
export async function serveJson(host, port, handle) {
  const server = createServer({ keepAliveTimeout: 60_000 }, async (req, res) => {
    try {
      const [path, query = ''] = req.url.split('?');
      const body = await readJson(req);
      const call = { method: req.method, path, headers: req.headers, body };
      const answer = await handle({
        ...call,
        query: new URLSearchParams(query),
        socket: req.socket,
      });
      if (answer === undefined) {
        req.socket.destroy();
        return;
      }
      const text = JSON.stringify(answer.body ?? {});
      res.writeHead(answer.status, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
      });
      res.end(text);
    } catch {
      req.socket.destroy();
    }
  });
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return {
    address: `${host}:${server.address().port}`,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

const agent = new Agent({ keepAlive: true });

/** Sends one call. Resolves to status and body; status 0 if there was no complete answer in time. */
export function callJson(address, method, path, { headers = {}, body, timeoutMs = 3_000 } = {}) {
  const [host, port] = address.split(':');
  const text = body === undefined ? undefined : JSON.stringify(body);
  const type = text === undefined ? {} : { 'content-type': 'application/json' };
  return new Promise((resolve) => {
    const req = request({ host, port, method, path, agent, headers: { ...type, ...headers } });
    const timer = setTimeout(() => req.destroy(), timeoutMs);
    const done = (answer) => {
      clearTimeout(timer);
      resolve(answer);
    };
    req.on('response', (res) => {
      readJson(res).then(
        (answer) => done({ status: res.statusCode, body: answer, headers: res.headers }),
        () => done({ status: 0 }),
      );
    });
    req.on('error', () => done({ status: 0 }));
    req.end(text);
  });
}
