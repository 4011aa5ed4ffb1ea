import PQueue from 'p-queue';
import { Pool, type Dispatcher } from 'undici';
import {
  Ok,
  fail,
  type AppError,
  type Clock,
  type Millis,
  type Random,
  type Result,
} from '@turmerichoist/core';
import { sleep } from '@turmerichoist/runtime';
import { CallLimiter, type CallLimiterSettings } from '../../state/call-limiter.js';
import { callTimeout } from './call-timeout.js';

/**
 * Budgets of one entry. The table service takes about 300 writes and 2,000 reads a second for all 8
 * entries, so 8 entries at these rates leave a fifth of it to restarts and operators.
 */
export const WRITE_BUDGET_PER_S = 30;
export const READ_BUDGET_PER_S = 200;
export const WRITE_BURST = 10;
export const READ_BURST = 50;
export const WRITE_CONCURRENCY = 4;
export const READ_CONCURRENCY = 8;
/** Four calls may time out one after the other within the term of a session (8,000 ms). */
export const CALL_TIMEOUT_MS = 2_000;
export const CONNECT_TIMEOUT_MS = 1_000;
export const BACKOFF_BASE_MS = 50;
export const BACKOFF_CAP_MS = 5_000;
/** Calls that may wait for a connection before further ones are refused. */
export const MAX_WAITING_CALLS = 256;

/** Failures that happen before any byte of the call leaves. */
export const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const TOO_MANY_REQUESTS = 429;
const UNAVAILABLE = 503;

export interface TransportOptions {
  /** Base address, `http://host:port`. */
  readonly url: string;
  readonly clock: Clock;
  /** Jitter of the back-off. Entries must use different seeds. */
  readonly random: Random;
  /** Closes all connections when it fires. */
  readonly signal: AbortSignal;
  readonly callTimeoutMs?: Millis;
  readonly writeBudgetPerS?: number;
  readonly readBudgetPerS?: number;
  /** Upper bound of every back-off. Default `BACKOFF_CAP_MS`. */
  readonly backoffCapMs?: Millis;
  /** Reads in flight at once, waiting ones included. Default `READ_CONCURRENCY`. */
  readonly readConcurrency?: number;
}

export interface HttpCall {
  readonly kind: 'read' | 'write';
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  readonly body?: string | Uint8Array;
  readonly contentType?: string;
  /** Time that the service may wait by design before it answers, added to the time-out. */
  readonly waitMs?: Millis;
}

export interface HttpAnswer {
  readonly status: number;
  readonly bytes: Uint8Array;
}

interface Lane {
  readonly gate: CallLimiter;
  readonly queue: PQueue;
}

/**
 * Calls to one platform service: bounded concurrency, a rate budget, back-off, and a time-out on
 * each call. A time-out retires the whole generation of connections, because a connection whose
 * state was lost on the way stays silent while new ones work.
 * Errors: `store-unavailable` when the call had no effect, `outcome-unknown` when a write may have
 * had one.
 */
export class StoreTransport {
  readonly #options: TransportOptions;
  readonly #timeoutMs: Millis;
  readonly #lanes: Readonly<Record<HttpCall['kind'], Lane>>;
  #pool: Pool;
  #generation = 1;

  constructor(options: TransportOptions) {
    this.#options = options;
    this.#timeoutMs = options.callTimeoutMs ?? CALL_TIMEOUT_MS;
    this.#pool = this.#newPool();
    const { writeBudgetPerS = WRITE_BUDGET_PER_S, readBudgetPerS = READ_BUDGET_PER_S } = options;
    this.#lanes = {
      write: this.#lane(writeBudgetPerS, WRITE_BURST, WRITE_CONCURRENCY),
      read: this.#lane(readBudgetPerS, READ_BURST, options.readConcurrency ?? READ_CONCURRENCY),
    };
    options.signal.addEventListener('abort', () => void this.#pool.destroy(), { once: true });
  }

  /** Number of the connection generation in use, counted from 1. */
  get generation(): number {
    return this.#generation;
  }

  async call(call: HttpCall, signal: AbortSignal): Promise<Result<HttpAnswer, AppError>> {
    const { gate, queue } = this.#lanes[call.kind];
    if (queue.size >= MAX_WAITING_CALLS) {
      return fail('store-unavailable', 'too many waiting calls');
    }
    return queue.add(() => this.#admit(call, gate, signal));
  }

  /** Runs when a connection is free, so that calls that waited don't go to a service in back-off. */
  async #admit(
    call: HttpCall,
    gate: CallLimiter,
    signal: AbortSignal,
  ): Promise<Result<HttpAnswer, AppError>> {
    const admission = gate.admit(this.#options.clock.now());
    if (admission.type === 'refuse') {
      return fail('store-unavailable', 'backing off', Math.ceil(admission.retryAfterMs));
    }
    if (admission.delayMs > 0) {
      await sleep(admission.delayMs, signal);
    }
    return this.#send(call, gate, signal);
  }

  async #send(
    call: HttpCall,
    gate: CallLimiter,
    signal: AbortSignal,
  ): Promise<Result<HttpAnswer, AppError>> {
    if (signal.aborted || this.#options.signal.aborted) {
      gate.abandoned();
      return fail('store-unavailable', 'given up before sending');
    }
    const startedAt = this.#options.clock.now();
    const generation = this.#generation;
    const timeout = callTimeout(signal, this.#timeoutMs + (call.waitMs ?? 0));
    try {
      const answer = await this.#exchange(call, timeout.signal);
      return this.#judge(answer, gate, startedAt);
    } catch (err) {
      return this.#failure(call, err, timeout.expired() ? 'timeout' : 'error', () => {
        if (signal.aborted) {
          gate.abandoned();
          return;
        }
        gate.failed(startedAt, this.#options.clock.now());
        if (timeout.expired()) {
          this.#retire(generation);
        }
      });
    } finally {
      timeout.clear();
    }
  }

  async #exchange(call: HttpCall, signal: AbortSignal): Promise<HttpAnswer> {
    const { statusCode, body } = await this.#pool.request({
      method: call.method,
      path: call.path,
      signal,
      ...(call.body === undefined ? {} : { body: call.body }),
      ...(call.contentType === undefined ? {} : { headers: { 'content-type': call.contentType } }),
    });
    return { status: statusCode, bytes: await body.bytes() };
  }

  #judge(answer: HttpAnswer, gate: CallLimiter, startedAt: Millis): Result<HttpAnswer, AppError> {
    if (answer.status === TOO_MANY_REQUESTS || answer.status === UNAVAILABLE) {
      gate.failed(startedAt, this.#options.clock.now());
      return fail('store-unavailable', `status ${answer.status}`);
    }
    gate.succeeded();
    return Ok(answer);
  }

  #failure(
    call: HttpCall,
    err: unknown,
    reason: string,
    record: () => void,
  ): Result<HttpAnswer, AppError> {
    record();
    const code = (err as { code?: unknown }).code;
    const sent = typeof code !== 'string' || !NOT_SENT_CODES.has(code);
    const detail = `${reason}: ${typeof code === 'string' ? code : String(err)}`;
    return fail(sent && call.kind === 'write' ? 'outcome-unknown' : 'store-unavailable', detail);
  }

  #retire(generation: number): void {
    if (generation !== this.#generation || this.#options.signal.aborted) {
      return;
    }
    this.#generation += 1;
    const old = this.#pool;
    this.#pool = this.#newPool();
    // Calls that still run on the old connections end at the latest by their own time-out.
    old.close().catch(() => undefined);
  }

  #newPool(): Pool {
    return new Pool(this.#options.url, {
      connections: WRITE_CONCURRENCY + READ_CONCURRENCY,
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
    });
  }

  #lane(budgetPerS: number, burst: number, concurrency: number): Lane {
    const settings: CallLimiterSettings = {
      budgetPerS,
      burst,
      maxWaitMs: this.#timeoutMs,
      backoffBaseMs: BACKOFF_BASE_MS,
      backoffCapMs: this.#options.backoffCapMs ?? BACKOFF_CAP_MS,
    };
    return {
      gate: new CallLimiter(settings, this.#options.random),
      queue: new PQueue({ concurrency }),
    };
  }
}
