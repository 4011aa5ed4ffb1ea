import { timingSafeEqual } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import { fail, Ok, type AppError, type Result } from '@turmerichoist/core';
import { bearerToken, sha256Hex } from '../requests/arrival.js';
import type { Settings } from '../settings/index.js';

/** Recognises operators by their tokens. */
export class Operators {
  readonly #operators: Settings['operators'];

  constructor(operators: Settings['operators']) {
    this.#operators = operators;
  }

  /** Name of the operator whose token came with the request. Fails with `operator-rejected`. */
  authenticate(headers: IncomingHttpHeaders): Result<string, AppError> {
    const token = bearerToken(headers);
    if (token === undefined) {
      return fail('operator-rejected', 'no token');
    }
    const shown = Buffer.from(sha256Hex(token), 'hex');
    // Every digest is compared, so that the time taken does not tell which one is close.
    const found = this.#operators.filter((operator) =>
      timingSafeEqual(shown, Buffer.from(operator.tokenSha256, 'hex')),
    );
    const operator = found[0];
    return operator === undefined ? fail('operator-rejected') : Ok(operator.name);
  }
}
