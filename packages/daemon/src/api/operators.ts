import { timingSafeEqual } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import { fail, Ok, type AppError, type Result } from '@turmerichoist/core';
import { bearerToken, sha256Hex } from '../requests/caller-fields.js';
import type { Settings } from '../settings/index.js';

/** Authenticates operators by their bearer tokens. */
export class Operators {
  readonly #operators: Settings['operators'];

  constructor(operators: Settings['operators']) {
    this.#operators = operators;
  }

  /** Returns the name of the operator that the token belongs to. Fails with `operator-rejected`. */
  authenticate(headers: IncomingHttpHeaders): Result<string, AppError> {
    const token = bearerToken(headers);
    if (token === undefined) {
      return fail('operator-rejected', 'no token');
    }
    const shown = Buffer.from(sha256Hex(token), 'hex');
    // All digests are compared, each in constant time, so that timing does not reveal a near match.
    const matches = this.#operators.filter((operator) =>
      timingSafeEqual(shown, Buffer.from(operator.tokenSha256, 'hex')),
    );
    const operator = matches[0];
    return operator === undefined ? fail('operator-rejected') : Ok(operator.name);
  }
}
