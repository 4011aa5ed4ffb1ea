import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  checkJsonShape,
  errorResponse,
  errorBody,
  fail,
  Ok,
  type AppError,
  type Result,
} from '@turmerichoist/core';
import { DECODED_FACTOR, sendResponse, type BodyReader } from '@turmerichoist/runtime';

const MS_PER_SECOND = 1_000;
/** Bounds of documents and tasks, whose bodies may have some MB. */
const JSON_SHAPE = { maxDepth: 64, maxValues: 500_000 };

/** A request whose body is to be read. */
export interface BodySource {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly bodies: BodyReader;
}

/** Sends a JSON response. */
export function sendJson(res: ServerResponse, status: number, body: unknown): void {
  res.setHeader('content-type', 'application/json');
  sendResponse(res.req, res, status, `${JSON.stringify(body)}\n`);
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

/**
 * Reads a JSON body of at most `maxBytes` within the budget for bodies. Errors: `bad-request`,
 * `body-too-large`, `overloaded`, `request-too-slow`.
 */
export async function readJson(
  { req, res, bodies }: BodySource,
  maxBytes: number,
): Promise<Result<unknown, AppError>> {
  const body = await bodies.read(req, res, { maxBytes, factor: DECODED_FACTOR });
  if (body.isErr()) {
    return body.error.kind === 'caller-gone' ? fail('bad-request', 'the body ended early') : body;
  }
  // The decoded value lives as long as the request.
  res.once('close', body.value.release);
  return checkJsonShape(body.value.bytes, JSON_SHAPE).andThen(() => decode(body.value.bytes));
}

function decode(bytes: Buffer): Result<unknown, AppError> {
  try {
    return Ok(JSON.parse(bytes.toString('utf8')) as unknown);
  } catch (err) {
    return fail('bad-request', (err as Error).message);
  }
}
