import type { CallFailure } from './api-client.js';

/** Exit codes of the command line. */
export const EXIT = {
  ok: 0,
  failed: 1,
  usage: 2,
  notFound: 3,
  conflict: 4,
  unavailable: 5,
} as const;

/** The exit code for a failed call. */
export function exitCodeOf(failure: CallFailure): number {
  if (failure.status === 404) {
    return EXIT.notFound;
  }
  if (failure.status === 409) {
    return EXIT.conflict;
  }
  return failure.status === 0 || failure.status >= 500 ? EXIT.unavailable : EXIT.failed;
}
