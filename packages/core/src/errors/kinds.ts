/** What a caller may conclude from an error response about whether its request ran. */
export type Outcome = 'not-run' | 'unknown' | 'none';

/** Response to one kind of error. */
export interface ErrorResponse {
  /** HTTP status code. */
  readonly status: number;
  readonly outcome: Outcome;
  readonly text: string;
  /** What the caller or operator can do about it. */
  readonly nextStep: string;
}

const notRun = (status: number, text: string, nextStep: string): ErrorResponse => ({
  status,
  outcome: 'not-run',
  text,
  nextStep,
});

const unknown = (status: number, text: string, nextStep: string): ErrorResponse => ({
  status,
  outcome: 'unknown',
  text,
  nextStep,
});

const none = (status: number, text: string, nextStep: string): ErrorResponse => ({
  status,
  outcome: 'none',
  text,
  nextStep,
});

const RETRY_LATER = 'Send it again after the time in Retry-After.';
const CHECK_OUTCOME = 'Check the effect before sending it again, or use an idempotency key.';

/** All error kinds and the response to each. */
export const ERROR_TABLE = {
  'bad-request': none(400, 'The request is malformed.', 'Correct the named field.'),
  'bad-document': none(422, 'A resource document is invalid.', 'Correct the named fields.'),
  'unknown-route': none(404, 'There is no such route.', 'See the API page.'),
  'not-found': none(404, 'There is no such resource.', 'List the resources of this kind.'),
  'body-too-large': notRun(413, 'The body exceeds the limit.', 'Send a smaller body.'),
  'header-fields-too-large': notRun(
    431,
    'The request has too many header fields.',
    'Send fewer header fields.',
  ),
  'request-too-slow': notRun(
    408,
    'The request was not received in time.',
    'Send it again over a faster connection.',
  ),
  overloaded: notRun(503, 'The process has no room for the request.', RETRY_LATER),
  'unknown-queue': notRun(404, 'There is no such queue.', 'Check the queue name in the path.'),
  'key-missing': notRun(401, 'The queue requires a team key.', 'Send Authorization: Bearer <key>.'),
  'key-rejected': notRun(403, 'The key is unknown or withdrawn.', 'Ask an operator for a key.'),
  'operator-rejected': none(401, 'The operator token is missing or wrong.', 'Check the token.'),
  'team-limit': notRun(429, 'The team is at its upper limit.', RETRY_LATER),
  'deadline-unreachable': notRun(503, 'The work cannot start in time.', RETRY_LATER),
  'deadline-passed': notRun(504, 'The deadline passed before the work started.', RETRY_LATER),
  'queue-full': notRun(503, 'The queue of this entry is full.', RETRY_LATER),
  'no-upstream': notRun(503, 'No upstream of the queue takes work.', RETRY_LATER),
  'config-stale': notRun(
    503,
    'This entry cannot confirm its configuration.',
    'Send it to another entry.',
  ),
  'not-ready': notRun(503, 'This entry is starting or stopping.', 'Send it to another entry.'),
  'idempotency-unavailable': notRun(
    503,
    'The holder of this idempotency key cannot be asked.',
    'Send it again later, or with x-idempotency: best-effort.',
  ),
  'idempotency-running': unknown(
    409,
    'A request with this idempotency key is still running.',
    'Wait for its answer.',
  ),
  'idempotency-done': unknown(
    409,
    'A request with this idempotency key has already run.',
    'Do not send it again; its answer went to the first sender.',
  ),
  'caller-gone': none(499, 'The caller closed the connection.', 'None.'),
  'upstream-failed': unknown(502, 'The upstream failed while it had the request.', CHECK_OUTCOME),
  'upstream-timeout': unknown(504, 'The upstream did not answer in time.', CHECK_OUTCOME),
  'upstream-refused': notRun(503, 'Every upstream refused the request before it ran.', RETRY_LATER),
  'version-conflict': none(409, 'The resource was changed meanwhile.', 'Read it and apply again.'),
  'revision-gone': none(
    410,
    'That revision is no longer kept.',
    'List again and watch from there.',
  ),
  'outcome-unknown': unknown(
    504,
    'The outcome of the change is unknown.',
    'Read it before repeating.',
  ),
  'store-unavailable': none(503, 'The table service cannot be reached.', 'Try again later.'),
  'store-rejected': none(500, 'The table service rejected the call.', 'Report this as a fault.'),
  'session-lapsed': none(503, 'The session of this entry has lapsed.', 'Try another entry.'),
  'not-owner': none(503, 'This entry does not own that role.', 'Try again; the owner changed.'),
  'task-infeasible': notRun(422, 'No worker can ever run this task.', 'Lower its resources.'),
  'job-unknown': none(410, 'There is no such job.', 'Check the id of the job.'),
  'frame-invalid': none(400, 'A peer sent an invalid frame.', 'Check versions and the secret.'),
  'peer-unavailable': none(503, 'The peer cannot be reached.', 'Try again later.'),
  'settings-invalid': none(500, 'The settings are invalid.', 'Correct the named lines.'),
  internal: unknown(500, 'An unexpected fault occurred.', 'Report this with its request id.'),
} as const satisfies Readonly<Record<string, ErrorResponse>>;

export type ErrorKind = keyof typeof ERROR_TABLE;

/** Returns the response to an error of this kind. */
export function errorResponse(kind: ErrorKind): ErrorResponse {
  return ERROR_TABLE[kind];
}
