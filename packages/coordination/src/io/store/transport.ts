import PQueue from 'p-queue';
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
import type { CallLimiterSettings } from '../../state/call-limiter.js';
import { PartedLimiter } from '../../state/parted-limiter.js';
import type { StoreContactObserver } from '../../state/store-contact.js';
import type { StoreCallObserver, StoreCallOutcome } from './call-stats.js';
import { callTimeout, type CallTimeout } from './call-timeout.js';
import { DirectPath } from './direct-path.js';
import {
  TOO_MANY_REQUESTS,
  UNAVAILABLE,
  type Exchange,
  type HttpCall,
  type HttpResponse,
} from './store-path.js';
import { DIRECT_ONLY, type StoreRoutes } from './store-routes.js';

/**
 * Rate budgets of one member. The table service handles about 300 writes and 2,000 reads per second
 * for all 8 members; 8 members at these rates leave a fifth of that for restarts and operators.
 */
export const WRITE_BUDGET_PER_S = 30;
export const READ_BUDGET_PER_S = 200;
export const WRITE_BURST = 10;
export const READ_BURST = 50;
export const WRITE_CONCURRENCY = 4;
export const READ_CONCURRENCY = 8;
/** Four consecutive calls may time out within the lifetime of a session (8,000 ms). */
export const CALL_TIMEOUT_MS = 2_000;
export const BACKOFF_BASE_MS = 50;
export const BACKOFF_CAP_MS = 5_000;
/** Maximum number of calls waiting for a connection; further ones are refused. */
export const MAX_QUEUED_CALLS = 256;

export interface TransportOptions {
  /** Base URL, `http://host:port`. */
  readonly url: string;
  readonly clock: Clock;
  /** Source of the backoff jitter. Members must use different seeds. */
  readonly random: Random;
  /** Closes all connections when it is aborted. */
  readonly signal: AbortSignal;
  readonly callTimeoutMs?: Millis;
  readonly writeBudgetPerS?: number;
  readonly readBudgetPerS?: number;
  /** Upper bound of any backoff. Default `BACKOFF_CAP_MS`. */
  readonly backoffCapMs?: Millis;
  /** Maximum number of concurrent writes. Default `WRITE_CONCURRENCY`. */
  readonly writeConcurrency?: number;
  /** Maximum number of concurrent reads, including those that wait. Default `READ_CONCURRENCY`. */
  readonly readConcurrency?: number;
  /** Told of each finished call. */
  readonly observer?: StoreCallObserver;
  /** Told when calls are sent and answered. */
  readonly contact?: StoreContactObserver;
  /** Chooses the way of each call. Default: straight to the service. */
  readonly routes?: StoreRoutes;
}

interface LimitedQueue {
  readonly limiter: PartedLimiter;
  readonly queue: PQueue;
}

/**
 * HTTP calls to one platform service, with bounded concurrency, a rate budget, backoff and a
 * time-out per call. A time-out replaces the whole connection pool by a new generation: after the
 * network lost the state of a connection, it stays silent while new ones work. Long polls over the
 * former generation are given up then, as they would be silent for as long as they wait.
 * Errors: `store-unavailable` when the call had no effect, `outcome-unknown` when a write may have
 * had one.
 */
export class StoreTransport {
  readonly #options: TransportOptions;
  readonly #timeoutMs: Millis;
  readonly #concurrency: Readonly<Record<HttpCall['kind'], number>>;
  readonly #queues: Readonly<Record<HttpCall['kind'], LimitedQueue>>;
  readonly #routes: StoreRoutes;
  readonly #direct: DirectPath;
  /** Number of the route under which the limiters have recorded failures. */
  #limitedRoute: number;
  /** Long polls under way over the current connections. */
  readonly #longPolls = new Set<CallTimeout>();

  constructor(options: TransportOptions) {
    this.#options = options;
    this.#timeoutMs = options.callTimeoutMs ?? CALL_TIMEOUT_MS;
    this.#concurrency = {
      write: options.writeConcurrency ?? WRITE_CONCURRENCY,
      read: options.readConcurrency ?? READ_CONCURRENCY,
    };
    const { url, signal } = options;
    const connections = this.#concurrency.write + this.#concurrency.read;
    this.#direct = new DirectPath({ url, connections, signal });
    this.#routes = options.routes ?? DIRECT_ONLY;
    this.#limitedRoute = this.#routes.number;
    const { writeBudgetPerS = WRITE_BUDGET_PER_S, readBudgetPerS = READ_BUDGET_PER_S } = options;
    this.#queues = {
      write: this.#newQueue(writeBudgetPerS, WRITE_BURST, this.#concurrency.write),
      read: this.#newQueue(readBudgetPerS, READ_BURST, this.#concurrency.read),
    };
  }

  /** Number of the current connection generation, starting at 1. */
  get generation(): number {
    return this.#direct.generation;
  }

  async call(call: HttpCall, signal: AbortSignal): Promise<Result<HttpResponse, AppError>> {
    this.#forgetFailuresOfFormerRoute();
    const { limiter, queue } = this.#queues[call.kind];
    const startedAt = this.#options.clock.now();
    if (queue.size >= MAX_QUEUED_CALLS) {
      this.#observe(call, 'held-back', startedAt);
      return fail('store-unavailable', 'too many waiting calls');
    }
    return queue.add(() => this.#admit(call, limiter, signal, startedAt));
  }

  /** Failures on one way say nothing about another. */
  #forgetFailuresOfFormerRoute(): void {
    if (this.#limitedRoute !== this.#routes.number) {
      this.#limitedRoute = this.#routes.number;
      this.#queues.read.limiter.forgetFailures();
      this.#queues.write.limiter.forgetFailures();
    }
  }

  #observe({ kind, waitMs }: HttpCall, outcome: StoreCallOutcome, startedAt: Millis): void {
    const ms = this.#options.clock.now() - startedAt;
    this.#options.observer?.onCall({ kind: waitMs === undefined ? kind : 'feed', outcome, ms });
  }

  /** Runs when a connection is free, so that queued calls are refused once a backoff has begun. */
  async #admit(
    call: HttpCall,
    limiter: PartedLimiter,
    signal: AbortSignal,
    calledAt: Millis,
  ): Promise<Result<HttpResponse, AppError>> {
    const admission = limiter.admit(call, this.#options.clock.now());
    if (admission.type === 'refuse') {
      this.#observe(call, 'held-back', calledAt);
      return fail('store-unavailable', 'backing off', Math.ceil(admission.retryAfterMs));
    }
    if (admission.delayMs > 0) {
      await sleep(admission.delayMs, signal);
    }
    return this.#send(call, limiter, signal, calledAt);
  }

  async #send(
    call: HttpCall,
    limiter: PartedLimiter,
    signal: AbortSignal,
    calledAt: Millis,
  ): Promise<Result<HttpResponse, AppError>> {
    if (signal.aborted || this.#options.signal.aborted) {
      limiter.abandoned(call.part);
      return fail('store-unavailable', 'given up before sending');
    }
    const startedAt = this.#options.clock.now();
    const { generation } = this.#direct;
    const route = this.#routes.number;
    const timeout = callTimeout(signal, this.#timeoutMs + (call.waitMs ?? 0));
    if (call.waitMs !== undefined) {
      this.#longPolls.add(timeout);
    }
    const exchange = await this.#exchangeObserved(call, timeout.signal);
    timeout.clear();
    this.#longPolls.delete(timeout);
    if (exchange.isOk()) {
      this.#observe(call, outcomeOf(exchange.value), calledAt);
      return this.#recordResponse(call, exchange.value, limiter, startedAt);
    }
    this.#observe(call, 'unanswered', calledAt);
    const { sent, detail } = exchange.error;
    const givenUp = generation !== this.#direct.generation && !timeout.expired();
    if (isAborted(signal) || route !== this.#routes.number || givenUp) {
      limiter.abandoned(call.part);
    } else {
      limiter.failed(call.part, startedAt, this.#options.clock.now());
      if (timeout.expired()) {
        this.#retire(generation);
      }
    }
    const kind = sent && call.kind === 'write' ? 'outcome-unknown' : 'store-unavailable';
    return fail(kind, `${timeout.expired() ? 'timeout' : 'error'}: ${detail}`);
  }

  #retire(generation: number): void {
    if (generation !== this.#direct.generation) {
      return;
    }
    this.#direct.retire(generation);
    this.#longPolls.forEach((longPoll) => {
      longPoll.abort();
    });
    this.#longPolls.clear();
  }

  /** Tells the observer of contact. A long poll says nothing about the store until it is answered. */
  async #exchangeObserved(call: HttpCall, signal: AbortSignal): Promise<Exchange> {
    const { contact, clock } = this.#options;
    const longPoll = call.waitMs !== undefined;
    if (!longPoll) {
      contact?.onSent(clock.now());
    }
    const exchange = await this.#routes.exchange(call, this.#direct, signal);
    if (exchange.isOk()) {
      contact?.onAnswered(clock.now(), longPoll);
    } else if (!longPoll) {
      contact?.onUnanswered(clock.now());
    }
    return exchange;
  }

  #recordResponse(
    { part }: HttpCall,
    response: HttpResponse,
    limiter: PartedLimiter,
    startedAt: Millis,
  ): Result<HttpResponse, AppError> {
    const now = this.#options.clock.now();
    switch (response.status) {
      case TOO_MANY_REQUESTS:
        limiter.rateLimited(part, startedAt, now);
        return fail('store-unavailable', `status ${response.status}`);
      case UNAVAILABLE:
        limiter.failed(part, startedAt, now);
        return fail('store-unavailable', `status ${response.status}`);
      default:
        limiter.succeeded(part, now);
        return Ok(response);
    }
  }

  #newQueue(budgetPerS: number, burst: number, concurrency: number): LimitedQueue {
    const settings: CallLimiterSettings = {
      budgetPerS,
      burst,
      maxWaitMs: this.#timeoutMs,
      backoffBaseMs: BACKOFF_BASE_MS,
      backoffCapMs: this.#options.backoffCapMs ?? BACKOFF_CAP_MS,
    };
    return {
      limiter: new PartedLimiter(settings, this.#options.random),
      queue: new PQueue({ concurrency }),
    };
  }
}

function outcomeOf({ status }: HttpResponse): StoreCallOutcome {
  if (status === TOO_MANY_REQUESTS) {
    return 'rate-limited';
  }
  return status === UNAVAILABLE ? 'unavailable' : 'answered';
}

function isAborted(signal: AbortSignal): boolean {
  return signal.aborted;
}
