import type { Millis } from '@turmerichoist/core';
import { MAX_RELAYED_BODY_BYTES, type MessageOf } from '../../state/peers/index.js';
import { CallBudget } from '../../state/relay/index.js';
import { callTimeout } from '../store/call-timeout.js';
import type { Exchange, HttpCall, StorePath } from '../store/store-path.js';
import { MAX_RELAYED_BYTES, MAX_RELAYED_CALLS } from './relay-client.js';

/** Bounds of what this member relays for all others together. */
const MAX_SERVED_CALLS = 4 * MAX_RELAYED_CALLS;
const MAX_SERVED_BYTES = 4 * MAX_RELAYED_BYTES;
/** Time after which a relayed call is given up; callers do so earlier. */
const SERVED_CALL_TIMEOUT_MS: Millis = 2_000;
const NO_BYTES = new Uint8Array(0);

export interface RelayServerOptions {
  /** This member's own path to the store. */
  readonly direct: StorePath;
  /** Whether this member is in touch with the store by itself. */
  readonly mayServe: () => boolean;
  /** Sends one cheap call straight to the store; tells whether it was carried out. */
  readonly probe: () => Promise<boolean>;
}

export type StoreAnswer = MessageOf<'store-answer'>;

/**
 * Sends store calls of other members straight to the store. A member that is not in touch by itself
 * refuses, so that a call passes through one member at most.
 */
export class RelayServer {
  readonly #options: RelayServerOptions;
  readonly #budget = new CallBudget({ calls: MAX_SERVED_CALLS, bytes: MAX_SERVED_BYTES });
  #served = 0;

  constructor(options: RelayServerOptions) {
    this.#options = options;
  }

  /** Number of calls served so far. */
  get served(): number {
    return this.#served;
  }

  /**
   * Checks whether this member can relay now. The store may have begun to turn it away at the same
   * time as the member that asks.
   */
  async check(): Promise<boolean> {
    return this.#options.mayServe() && (await this.#options.probe()) && this.#options.mayServe();
  }

  /** Sends one call; when the signal is aborted, the answer is no longer awaited. */
  async serve(message: MessageOf<'store-call'>, signal: AbortSignal): Promise<StoreAnswer> {
    const { id, body, waitMs } = message;
    const bytes = body?.length ?? 0;
    if (!this.#options.mayServe() || !this.#budget.take(bytes)) {
      return { type: 'store-answer', id, outcome: 'refused', status: 0, body: NO_BYTES };
    }
    this.#served += 1;
    const timeout = callTimeout(signal, SERVED_CALL_TIMEOUT_MS + (waitMs ?? 0));
    const exchange = await this.#options.direct.exchange(toCall(message), timeout.signal);
    timeout.clear();
    this.#budget.release(bytes);
    return toAnswer(id, exchange);
  }
}

function toCall({ kind, method, path, body, contentType, waitMs }: MessageOf<'store-call'>) {
  return {
    kind,
    method,
    path,
    ...(body === null ? {} : { body }),
    ...(contentType === null ? {} : { contentType }),
    ...(waitMs === null ? {} : { waitMs }),
  } satisfies HttpCall;
}

function toAnswer(id: number, exchange: Exchange): StoreAnswer {
  const none = { type: 'store-answer', id, status: 0, body: NO_BYTES } as const;
  if (exchange.isErr()) {
    return { ...none, outcome: exchange.error.sent ? 'unanswered' : 'refused' };
  }
  const { status, bytes } = exchange.value;
  return bytes.length > MAX_RELAYED_BODY_BYTES
    ? { ...none, outcome: 'unanswered' }
    : { ...none, outcome: 'answered', status, body: bytes };
}
