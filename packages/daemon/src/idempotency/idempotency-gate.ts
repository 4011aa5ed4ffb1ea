import {
  fail,
  HomeMembershipHistory,
  homeMember,
  IdempotencyTable,
  Ok,
  type AppError,
  type Clock,
  type MemberId,
  type Millis,
  type Result,
} from '@turmerichoist/core';
import type { JsonValue } from '@turmerichoist/coordination';
import { z } from 'zod';
import type { AskPeer } from '../peers/index.js';

/** Time-out of a request to the home entry of a key. */
const HOME_TIMEOUT_MS: Millis = 1_000;

const requestBody = z.discriminatedUnion('op', [
  z.strictObject({ op: z.literal('claim'), key: z.string() }),
  z.strictObject({ op: z.literal('settle'), key: z.string(), mayHaveRun: z.boolean() }),
]);

type KeyRequest = z.output<typeof requestBody>;

export interface IdempotencyGateOptions {
  readonly self: MemberId;
  readonly clock: Clock;
  readonly ask: AskPeer;
  readonly signal: AbortSignal;
}

/**
 * Ensures that a request with an idempotency key runs at most once, whichever entries get its
 * repeats.
 */
export class IdempotencyGate {
  readonly #options: IdempotencyGateOptions;
  readonly #table = new IdempotencyTable();
  readonly #history: HomeMembershipHistory;
  #members: readonly MemberId[] = [];

  constructor(options: IdempotencyGateOptions) {
    this.#options = options;
    this.#history = new HomeMembershipHistory(options.self);
  }

  membersChanged(members: readonly MemberId[]): void {
    this.#members = members;
    this.#history.membersChanged(members, this.#options.clock.now());
  }

  /**
   * Reserves a key. Errors: `idempotency-running`, `idempotency-done`, and
   * `idempotency-unavailable` when its home can't be reached or its table does not cover the
   * window.
   */
  async claim(key: string): Promise<Result<void, AppError>> {
    const home = homeMember(key, this.#members);
    if (home === undefined) {
      return fail('idempotency-unavailable', 'the member list has not been read yet');
    }
    const answer = await this.#send(home, { op: 'claim', key });
    const unreachable = answer.isErr() && answer.error.kind === 'peer-unavailable';
    return unreachable
      ? fail('idempotency-unavailable', 'the home entry of the key did not reply')
      : answer.map(() => undefined);
  }

  /** Ends the reservation of a key. */
  async settle(key: string, mayHaveRun: boolean): Promise<void> {
    const home = homeMember(key, this.#members);
    if (home !== undefined) {
      // Losing this call is safe: the home treats a key that is not settled as run.
      await this.#send(home, { op: 'settle', key, mayHaveRun });
    }
  }

  /** Handles a request of another entry. Errors: those of `claim`, and `bad-request`. */
  handle(body: JsonValue): Result<JsonValue, AppError> {
    const parsed = requestBody.safeParse(body);
    return parsed.success
      ? this.#handleLocally(parsed.data)
      : fail('bad-request', parsed.error.message);
  }

  async #send(home: MemberId, request: KeyRequest): Promise<Result<JsonValue, AppError>> {
    const { self, ask, signal } = this.#options;
    return home === self
      ? this.#handleLocally(request)
      : ask(home, request, HOME_TIMEOUT_MS, signal);
  }

  #handleLocally(request: KeyRequest): Result<JsonValue, AppError> {
    const now = this.#options.clock.now();
    if (request.op === 'settle') {
      this.#table.settle(request.key, request.mayHaveRun, now);
      return Ok(null);
    }
    if (!this.#history.coversWindow(request.key, now)) {
      return fail('idempotency-unavailable', 'its home joined within the window');
    }
    return this.#table.claim(request.key, now).map(() => null);
  }
}
