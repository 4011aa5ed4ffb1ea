import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  errorResponse,
  appError,
  Configuration,
  fail,
  Ok,
  TeamKeyIndex,
  type AppError,
  type Clock,
  type Millis,
  type RequestDecision,
  type RequestEvent,
  type RequestId,
  type Result,
} from '@turmerichoist/core';
import {
  Actor,
  type ActorContext,
  type BodyReader,
  type Metrics,
  type Recipient,
} from '@turmerichoist/runtime';
import { sendError } from '../http/responses.js';
import type { UpstreamMessage } from '../upstreams/index.js';
import { parseCallerFields, type CallerFields } from './caller-fields.js';
import { Exchange } from './exchange.js';

const RETRY_WHEN_FULL_MS: Millis = 1_000;

export type FrontendMessage =
  RequestDecision | { readonly type: 'config-changed'; readonly cfg: Configuration };

export interface FrontendOptions {
  readonly clock: Clock;
  readonly dispatcher: Recipient<RequestEvent>;
  readonly upstreams: Recipient<UpstreamMessage>;
  readonly metrics: Metrics;
  /** Maximum number of open requests. */
  readonly maxOpen: number;
}

/** Ensures that a request with an idempotency key runs at most once. */
export interface IdempotencyGuard {
  /**
   * Reserves a key. Errors: `idempotency-running`, `idempotency-done`, `idempotency-unavailable`.
   */
  claim(key: string): Promise<Result<void, AppError>>;
  /** Ends the reservation. `mayHaveRun` tells whether the request may have run. */
  settle(key: string, mayHaveRun: boolean): Promise<void>;
}

interface OpenRequest {
  readonly exchange: Exchange;
  readonly path: string;
  /** Idempotency key that this request has claimed. */
  claimedKey: string | undefined;
  /** Whether the request may have run at an upstream. */
  mayHaveRun: boolean;
}

interface RequestTarget {
  readonly queue: string;
  /** Path and query of the request to the upstream. */
  readonly path: string;
}

/**
 * Owns the open requests of callers: claims their idempotency keys, starts attempts and sends
 * errors.
 */
export class Frontend extends Actor<FrontendMessage> {
  readonly #options: FrontendOptions;
  readonly #open = new Map<RequestId, OpenRequest>();
  #cfg = Configuration.empty;
  #keys = new TeamKeyIndex(Configuration.empty);
  #lastId = 0;
  #idleWaiters: (() => void)[] = [];
  #idempotencyGuard: IdempotencyGuard | undefined;

  constructor(context: ActorContext, options: FrontendOptions) {
    super('front', context);
    this.#options = options;
  }

  /** Sets the guard for idempotency keys. Without one, requests that have a key are refused. */
  setIdempotencyGuard(guard: IdempotencyGuard): void {
    this.#idempotencyGuard = guard;
  }

  /** Number of requests without a complete response. */
  get open(): number {
    return this.#open.size;
  }

  /** Resolves when no request is open. */
  whenIdle(): Promise<void> {
    return this.#open.size === 0
      ? Promise.resolve()
      : new Promise((resolve) => this.#idleWaiters.push(resolve));
  }

  /** Handles a request of a caller, whose path starts with `/q/<queue>`. */
  async accept(req: IncomingMessage, res: ServerResponse, bodies: BodyReader): Promise<void> {
    const fields = parseCallerFields(req.headers);
    if (fields.isErr()) {
      sendError(res, fields.error);
      return;
    }
    if (this.#open.size >= this.#options.maxOpen) {
      sendError(res, appError('queue-full', undefined, RETRY_WHEN_FULL_MS));
      return;
    }
    const arrivedAt = this.#options.clock.now();
    const target = parseTarget(req.url ?? '/');
    const exchange = new Exchange(req, res, bodies);
    const id = this.#register(exchange, target.path, res);
    const queue = this.#cfg.spec('queue', target.queue);
    if (queue !== undefined && !queue.open && !this.#isKeyKnown(fields.value)) {
      // The dispatcher refuses the request, so its body need not be read.
      exchange.skipBody();
    } else if (queue !== undefined) {
      const body = await exchange.prepareBody(queue.maxBodyBytes);
      if (body.isErr()) {
        this.#refuse(id, body.error);
        return;
      }
    }
    const claimed = await this.#claimKey(id, target.queue, fields.value);
    if (claimed.isErr()) {
      this.#refuse(id, claimed.error);
      return;
    }
    this.#postArrival(id, target.queue, fields.value, arrivedAt);
  }

  protected receive(message: FrontendMessage): void {
    switch (message.type) {
      case 'config-changed':
        this.#cfg = message.cfg;
        this.#keys = new TeamKeyIndex(message.cfg);
        break;
      case 'send':
        this.#send(message);
        break;
      case 'refuse':
        this.#refuse(message.id, message.err);
        break;
      case 'abort':
        this.#options.upstreams.post({ type: 'abort', id: message.id });
        break;
    }
  }

  #isKeyKnown({ keySha256 }: CallerFields): boolean {
    return keySha256 !== undefined && this.#keys.teamOf(keySha256) !== undefined;
  }

  #register(exchange: Exchange, path: string, res: ServerResponse): RequestId {
    this.#lastId += 1;
    const id = String(this.#lastId);
    const open: OpenRequest = { exchange, path, claimedKey: undefined, mayHaveRun: false };
    this.#open.set(id, open);
    res.once('close', () => {
      this.#open.delete(id);
      if (!res.writableFinished) {
        this.#options.dispatcher.post({ type: 'cancelled', id });
      }
      this.#countResponse(res);
      this.#settleKey(open);
      this.#resolveIdleWaiters();
    });
    return id;
  }

  async #claimKey(
    id: RequestId,
    queue: string,
    fields: CallerFields,
  ): Promise<Result<void, AppError>> {
    if (fields.idempotencyKey === undefined) {
      return Ok(undefined);
    }
    const key = `${queue}/${fields.keySha256 ?? ''}/${fields.idempotencyKey}`;
    const claim = (await this.#idempotencyGuard?.claim(key)) ?? fail('idempotency-unavailable');
    if (claim.isErr()) {
      const unavailable = claim.error.kind === 'idempotency-unavailable';
      return unavailable && fields.bestEffortKey ? Ok(undefined) : claim;
    }
    const open = this.#open.get(id);
    if (open === undefined) {
      await this.#idempotencyGuard?.settle(key, false);
      return fail('caller-gone');
    }
    open.claimedKey = key;
    return claim;
  }

  #settleKey({ claimedKey, mayHaveRun }: OpenRequest): void {
    if (claimedKey !== undefined) {
      void this.#idempotencyGuard?.settle(claimedKey, mayHaveRun);
    }
  }

  #countResponse(res: ServerResponse): void {
    const outcome = res.writableFinished ? String(res.statusCode) : 'broken';
    this.#options.metrics.count('requests', 1, { outcome });
  }

  #postArrival(id: RequestId, queue: string, fields: CallerFields, arrivedAt: Millis): void {
    const open = this.#open.get(id);
    if (open === undefined) {
      return;
    }
    const maxMs = this.#cfg.spec('queue', queue)?.maxDeadlineMs ?? 0;
    const deadline = arrivedAt + Math.min(fields.deadlineMs ?? maxMs, maxMs);
    const { workClass, keySha256 } = fields;
    const { idempotent } = open.exchange;
    const arrival = { id, queue, workClass, idempotent, deadline };
    const accepted = this.#options.dispatcher.post({
      type: 'arrived',
      arrival: keySha256 === undefined ? arrival : { ...arrival, keySha256 },
    });
    if (!accepted) {
      this.#refuse(id, appError('queue-full', undefined, RETRY_WHEN_FULL_MS));
    }
  }

  #send(decision: Extract<RequestDecision, { type: 'send' }>): void {
    const { id, upstream, deadline } = decision;
    const open = this.#open.get(id);
    const request = open?.exchange.takeOutgoingRequest(open.path);
    if (open === undefined || request === undefined) {
      this.#dropAttempt(id, upstream);
      return;
    }
    open.mayHaveRun = true;
    const sink = open.exchange;
    this.#options.upstreams.post({ type: 'send', id, upstream, request, sink, deadline });
  }

  /**
   * Ends an attempt that can't be sent: the caller is gone, or its streamed body was already sent.
   */
  #dropAttempt(id: RequestId, upstream: string): void {
    const { dispatcher } = this.#options;
    dispatcher.post({ type: 'attempt-ended', id, upstream, result: { type: 'not-sent' } });
    dispatcher.post({ type: 'cancelled', id });
    this.#refuse(id, appError('upstream-refused', 'a streamed body cannot be sent again'));
  }

  #refuse(id: RequestId, err: AppError): void {
    const open = this.#open.get(id);
    if (open === undefined) {
      return;
    }
    open.mayHaveRun &&= errorResponse(err.kind).outcome !== 'not-run';
    open.exchange.sendError(open.exchange.isOverLimit ? appError('body-too-large') : err);
  }

  #resolveIdleWaiters(): void {
    if (this.#open.size === 0) {
      const waiting = this.#idleWaiters;
      this.#idleWaiters = [];
      for (const resolve of waiting) {
        resolve();
      }
    }
  }
}

function parseTarget(url: string): RequestTarget {
  const [, , queue = '', ...rest] = url.split('/');
  const [name = '', query] = queue.split('?', 2);
  const pathAfterQueue = rest.length > 0 ? `/${rest.join('/')}` : '/';
  return { queue: name, path: query === undefined ? pathAfterQueue : `/?${query}` };
}
