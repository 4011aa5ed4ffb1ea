import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Millis } from '@turmerichoist/core';
import { hasBody } from './body-reader.js';

/** Bytes of an unread body that are discarded, so that the caller gets the response. */
const DISCARDED_BYTES = 524_288;
/** Time for which a connection with an unread body stays open without any bytes. */
const LINGER_MS: Millis = 1_000;
/** Up to this declared length, the connection is kept after the body was discarded. */
const KEPT_BODY_BYTES = 65_536;

/**
 * Sends a response of known length, also before the body of its request has been received. Of the
 * rest of the body only a bounded part is read, after which the connection is closed.
 */
export function sendResponse(
  req: IncomingMessage,
  res: ServerResponse,
  status: number,
  text: string,
): void {
  res.setHeader('content-length', Buffer.byteLength(text));
  if (isReceived(req)) {
    res.writeHead(status);
    res.end(text);
    return;
  }
  const { expect, 'content-length': declared } = req.headers;
  if (expect !== undefined || declared === undefined || Number(declared) > KEPT_BODY_BYTES) {
    res.setHeader('connection', 'close');
  }
  res.writeHead(status);
  res.write(text);
  discard(req, res);
}

/** Whether no more of the body is to come. */
function isReceived(req: IncomingMessage): boolean {
  return req.complete || !hasBody(req);
}

function discard(req: IncomingMessage, res: ServerResponse): void {
  if (res.socket === null) {
    // Responses to earlier requests on the connection are due, which closing it would cut off.
    res.once('socket', () => {
      discard(req, res);
    });
    return;
  }
  const { socket } = req;
  let bytes = 0;
  const destroy = (): void => {
    socket.destroy();
  };
  socket.setTimeout(LINGER_MS);
  socket.once('timeout', destroy);
  req.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > DISCARDED_BYTES) {
      destroy();
    }
  });
  req.once('end', () => {
    socket.off('timeout', destroy);
    socket.setTimeout(0);
    res.end();
  });
  req.resume();
}
