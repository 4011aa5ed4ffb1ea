import { z } from 'zod';
import { Ok, fail, type AppError, type Result } from '@turmerichoist/core';
import type { JsonValue, Row, TableStore, Transaction, TxnOutcome } from '../../store/index.js';
import { decodeJson } from './decode.js';
import type { HttpCall } from './store-path.js';
import { StoreTransport, type TransportOptions } from './transport.js';

const CONFLICT = 409;
const OK = 200;

const outcomeSchema = z.discriminatedUnion('committed', [
  z.object({ committed: z.literal(true), versions: z.record(z.string(), z.int()) }),
  z.object({ committed: z.literal(false), failed: z.array(z.string()) }),
]);
const rowsSchema = z.object({
  rows: z.array(z.object({ key: z.string(), version: z.int(), value: z.custom<JsonValue>() })),
});

/** HTTP client of the platform's table service. Errors as in `TableStore`. */
export class HttpTableStore implements TableStore {
  readonly #transport: StoreTransport;

  constructor(options: TransportOptions) {
    this.#transport = new StoreTransport(options);
  }

  /** Number of the current connection generation, starting at 1. */
  get generation(): number {
    return this.#transport.generation;
  }

  async commit(txn: Transaction, signal: AbortSignal): Promise<Result<TxnOutcome, AppError>> {
    const body = JSON.stringify(txn);
    const called = await this.#transport.call(
      { kind: 'write', method: 'POST', path: '/v1/txn', body },
      signal,
    );
    return called.andThen(({ status, bytes }) =>
      status === OK || status === CONFLICT
        ? decodeJson(bytes, outcomeSchema)
        : fail(status >= 500 ? 'outcome-unknown' : 'store-rejected', `status ${status}`),
    );
  }

  read(keys: readonly string[], signal: AbortSignal): Promise<Result<readonly Row[], AppError>> {
    const body = JSON.stringify({ keys });
    return this.#rows({ kind: 'read', method: 'POST', path: '/v1/read', body }, signal);
  }

  range(
    prefix: string,
    after: string,
    limit: number,
    signal: AbortSignal,
  ): Promise<Result<readonly Row[], AppError>> {
    const query = new URLSearchParams({ prefix, after, limit: String(limit) });
    const path = `/v1/range?${query.toString()}`;
    return this.#rows({ kind: 'read', method: 'GET', path }, signal);
  }

  async #rows(call: HttpCall, signal: AbortSignal): Promise<Result<readonly Row[], AppError>> {
    const called = await this.#transport.call(call, signal);
    if (called.isErr()) {
      return called;
    }
    const { status, bytes } = called.value;
    if (status !== OK) {
      return fail(status >= 500 ? 'store-unavailable' : 'store-rejected', `status ${status}`);
    }
    return decodeJson(bytes, rowsSchema).andThen(({ rows }) => Ok(rows));
  }
}
