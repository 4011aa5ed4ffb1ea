import { createHash } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import {
  fail,
  Ok,
  WORK_CLASSES,
  type AppError,
  type Millis,
  type Result,
  type WorkClass,
} from '@turmerichoist/core';

/** Options that a caller sets by header fields. */
export interface CallerFields {
  readonly keySha256?: string;
  readonly workClass: WorkClass;
  /** Deadline of the request, in milliseconds from its arrival. */
  readonly deadlineMs?: Millis;
  readonly idempotencyKey?: string;
  /** Whether the request may run when its idempotency key can't be checked. */
  readonly bestEffortKey: boolean;
}

const BEARER = /^Bearer +(\S+)$/i;
const MAX_IDEMPOTENCY_KEY_CHARS = 200;

/** SHA-256 of a secret, in lower-case hexadecimal. */
export function sha256Hex(secret: string): string {
  return createHash('sha256').update(secret).digest('hex');
}

/** The bearer token of a request, if it has one. */
export function bearerToken(headers: IncomingHttpHeaders): string | undefined {
  return BEARER.exec(headers.authorization ?? '')?.[1];
}

function firstValue(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

function isWorkClass(text: string): text is WorkClass {
  return (WORK_CLASSES as readonly string[]).includes(text);
}

/** Parses the header fields of a caller. Fails with `bad-request`, naming the invalid field. */
export function parseCallerFields(headers: IncomingHttpHeaders): Result<CallerFields, AppError> {
  const workClass = firstValue(headers['x-class']) ?? 'normal';
  if (!isWorkClass(workClass)) {
    return fail('bad-request', `x-class: must be one of ${WORK_CLASSES.join(', ')}`);
  }
  const deadlineText = firstValue(headers['x-deadline-ms']);
  if (deadlineText !== undefined && !/^[1-9]\d{0,8}$/.test(deadlineText)) {
    return fail('bad-request', 'x-deadline-ms: must be a whole number of milliseconds above 0');
  }
  const idempotencyKey = firstValue(headers['idempotency-key']);
  if (idempotencyKey !== undefined && idempotencyKey.length > MAX_IDEMPOTENCY_KEY_CHARS) {
    return fail(
      'bad-request',
      `idempotency-key: must have at most ${MAX_IDEMPOTENCY_KEY_CHARS} characters`,
    );
  }
  const token = bearerToken(headers);
  return Ok({
    workClass,
    bestEffortKey: firstValue(headers['x-idempotency']) === 'best-effort',
    ...(token === undefined ? {} : { keySha256: sha256Hex(token) }),
    ...(deadlineText === undefined ? {} : { deadlineMs: Number(deadlineText) }),
    ...(idempotencyKey === undefined ? {} : { idempotencyKey }),
  });
}
