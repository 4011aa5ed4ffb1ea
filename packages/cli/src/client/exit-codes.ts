import type { ApiError } from './api-client.js';

/** Exit codes of the command-line client. */
export const EXIT_CODES = {
  ok: 0,
  failed: 1,
  usage: 2,
  notFound: 3,
  conflict: 4,
  unavailable: 5,
} as const;

/** Maps a failed request to an exit code. */
export function exitCodeFor(error: ApiError): number {
  if (error.status === 404) {
    return EXIT_CODES.notFound;
  }
  if (error.status === 409) {
    return EXIT_CODES.conflict;
  }
  return error.status === 0 || error.status >= 500 ? EXIT_CODES.unavailable : EXIT_CODES.failed;
}
