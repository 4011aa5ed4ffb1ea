import {
  Ok,
  fail,
  type AppError,
  type JobDirectory,
  type Millis,
  type QueueRoute,
  type Result,
  type TeamName,
} from '@turmerichoist/core';
import type { CallHead } from './ports.js';

const JOB_ID = /^[0-9a-f]{16}$/;
const RETRY_AFTER_MS: Millis = 1_000;

/** A call whose route and key are valid. */
export interface CheckedCall {
  readonly directory: JobDirectory;
  readonly route: QueueRoute;
  readonly team: TeamName;
  /** The path without the route's prefix. */
  readonly rest: string;
}

/** Checks route and key of a call. Errors: `not-ready`, `unknown-queue`, `key-missing`, `key-rejected`. */
export function checkHead(
  directory: JobDirectory | undefined,
  head: CallHead,
): Result<CheckedCall, AppError> {
  if (directory === undefined) {
    return fail('not-ready', 'no configuration has been loaded yet', RETRY_AFTER_MS);
  }
  const match = directory.resolve(head.host, head.path);
  if (match === undefined) {
    return fail('unknown-queue', head.path);
  }
  const { route, rest } = match;
  return resolveTeam(directory, route, head.key).map((team) => ({ directory, route, team, rest }));
}

/** Checks that a call is for one job. Errors: `bad-request`. */
export function requireJobId(call: CheckedCall): Result<CheckedCall, AppError> {
  return JOB_ID.test(call.rest)
    ? Ok(call)
    : fail('bad-request', 'the job id must be 16 hexadecimal digits');
}

/** Returns the team of an API key; empty for an open queue that is called without a valid key. */
function resolveTeam(
  directory: JobDirectory,
  route: QueueRoute,
  key: string | undefined,
): Result<TeamName, AppError> {
  const team = key === undefined ? undefined : directory.teamOf(key);
  if (team !== undefined) {
    return Ok(team);
  }
  if (route.open) {
    return Ok('');
  }
  return fail(key === undefined ? 'key-missing' : 'key-rejected', route.queue);
}
