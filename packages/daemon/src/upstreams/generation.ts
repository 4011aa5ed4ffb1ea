import { Pool } from 'undici';
import type { Clock, Millis, RequestId } from '@turmerichoist/core';
import { Attempt, type AttemptEnd } from './attempt.js';
import type { AnswerSink, OutgoingRequest, UpstreamTarget } from './messages.js';

/**
 * Idle connections are closed after this time. A connection that went silent while idle is thus
 * never given a request, and a new connection costs one round trip only.
 */
const IDLE_CLOSE_MS = 1_000;

/** Longest pause between two parts of an answer. */
const PROGRESS_TIMEOUT_MS = 5_000;

const CONNECT_TIMEOUT_MS = 1_000;

export interface Send {
  readonly id: RequestId;
  readonly request: OutgoingRequest;
  readonly sink: AnswerSink;
  readonly deadline: Millis;
  readonly onEnd: (end: AttemptEnd) => void;
}

/** The connections to one upstream that were opened since the path was last suspected. */
export class Generation {
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
      keepAliveTimeout: IDLE_CLOSE_MS,
      keepAliveMaxTimeout: IDLE_CLOSE_MS,
      bodyTimeout: PROGRESS_TIMEOUT_MS,
      connect: { timeout: CONNECT_TIMEOUT_MS },
    });
  }

  get attempts(): ReadonlyMap<RequestId, Attempt> {
    return this.#attempts;
  }

  /** Starts an attempt. `onEnd` is called exactly once. */
  send(send: Send): void {
    const { id, request, sink } = send;
    const onEnd = (end: AttemptEnd): void => {
      this.#attempts.delete(id);
      send.onEnd(end);
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
        headersTimeout: Math.max(1, Math.ceil(send.deadline - this.#clock.now())),
      },
      attempt,
    );
  }

  /** Gives out no new work and closes the connections once the open attempts have ended. */
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
