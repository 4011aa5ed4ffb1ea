import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  errorResponse,
  errorBody,
  fail,
  Ok,
  type AppError,
  type Result,
} from '@turmerichoist/core';

const MS_PER_SECOND = 1_000;

/** Sends a JSON response. */
export function sendJson(res: ServerResponse, status: number, body: unknown): void {
  const text = `${JSON.stringify(body)}\n`;
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  res.end(text);
}

/** Sends the response that the error table defines for this kind of error. */
export function sendError(res: ServerResponse, err: AppError): void {
  const { status, outcome } = errorResponse(err.kind);
  if (outcome !== 'none') {
    res.setHeader('x-outcome', outcome);
  }
  if (err.retryAfterMs !== undefined) {
    res.setHeader('retry-after', Math.max(1, Math.ceil(err.retryAfterMs / MS_PER_SECOND)));
  }
  sendJson(res, status, errorBody(err));
}

/** Reads a JSON body of at most `maxBytes`. Fails with `bad-request` or `body-too-large`. */
export async function readJson(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Result<unknown, AppError>> {
  const chunks: Buffer[] = [];
  let total = 0;
  try {
    for await (const chunk of req) {
      total += (chunk as Buffer).length;
      if (total > maxBytes) {
        return fail('body-too-large', `at most ${maxBytes} bytes`);
      }
      chunks.push(chunk as Buffer);
    }
    return Ok(JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown);
  } catch (err) {
    return fail('bad-request', err instanceof SyntaxError ? err.message : 'the body ended early');
  }
}
