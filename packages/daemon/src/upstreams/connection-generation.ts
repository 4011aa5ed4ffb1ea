import { Pool } from 'undici';
import type { Clock, Millis, RequestId } from '@turmerichoist/core';
import { Attempt, type AttemptCompletion } from './attempt.js';
import type { ResponseSink, OutgoingRequest, UpstreamTarget } from './messages.js';

/**
 * Idle connections are closed after this time, so that no request is sent on a connection that went
 * silent while idle. Opening a new connection costs only one round trip.
 */
const IDLE_TIMEOUT_MS = 1_000;

/** Longest pause between two chunks of a response body. */
const BODY_TIMEOUT_MS = 5_000;

const CONNECT_TIMEOUT_MS = 1_000;

/** One attempt of a request, to be sent on a connection. */
export interface SendOptions {
  readonly id: RequestId;
  readonly request: OutgoingRequest;
  readonly sink: ResponseSink;
  readonly deadline: Millis;
  readonly onEnd: (end: AttemptCompletion) => void;
}

/** The connections to one upstream that were opened since the previous ones were found silent. */
export class ConnectionGeneration {
  readonly number: number;
  readonly #pool: Pool;
  readonly #clock: Clock;
  readonly #attempts = new Map<RequestId, Attempt>();
  #retired = false;

  constructor(number: number, target: UpstreamTarget, clock: Clock) {
    this.number = number;
    this.#clock = clock;
    this.#pool = new Pool(`http://${target.address}`, {
      connections: target.connections,
      pipelining: 1,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
      bodyTimeout: BODY_TIMEOUT_MS,
      connect: { timeout: CONNECT_TIMEOUT_MS },
    });
  }

  get attempts(): ReadonlyMap<RequestId, Attempt> {
    return this.#attempts;
  }

  /** Sends a request. `onEnd` is called exactly once. */
  send(options: SendOptions): void {
    const { id, request, sink } = options;
    const onEnd = (end: AttemptCompletion): void => {
      this.#attempts.delete(id);
      options.onEnd(end);
      this.#closeWhenIdle();
    };
    const attempt = new Attempt({ request, sink, clock: this.#clock, onEnd });
    this.#attempts.set(id, attempt);
    this.#pool.dispatch(
      {
        method: request.method,
        path: request.path,
        headers: request.headers as Record<string, string | string[]>,
        body: request.body,
        headersTimeout: Math.max(1, Math.ceil(options.deadline - this.#clock.now())),
      },
      attempt,
    );
  }

  /** Closes the connections once the open attempts have ended. Must not be sent to afterwards. */
  retire(): void {
    this.#retired = true;
    this.#closeWhenIdle();
  }

  async destroy(): Promise<void> {
    await this.#pool.destroy();
  }

  #closeWhenIdle(): void {
    if (this.#retired && this.#attempts.size === 0) {
      void this.#pool.destroy();
    }
  }
}
