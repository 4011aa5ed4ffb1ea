import { Err, Ok } from '@turmerichoist/core';
import {
  MAX_RELAYED_BODY_BYTES,
  type MessageOf,
  type PeerMessage,
} from '../../state/peers/index.js';
import { CallBudget } from '../../state/relay/index.js';
import type { Exchange, HttpCall, StorePath } from '../store/store-path.js';

/** Calls and bytes of requests that one member has relayed at the same time. */
export const MAX_RELAYED_CALLS = 64;
export const MAX_RELAYED_BYTES = 4 * MAX_RELAYED_BODY_BYTES;

type Method = MessageOf<'store-call'>['method'];
const METHODS: ReadonlySet<string> = new Set<Method>(['GET', 'POST', 'PUT', 'DELETE']);

interface PendingCall {
  readonly bytes: number;
  readonly resolve: (exchange: Exchange) => void;
}

function notSent(detail: string): Exchange {
  return Err({ sent: false, detail: `relay: ${detail}` });
}

function unanswered(detail: string): Exchange {
  return Err({ sent: true, detail: `relay: ${detail}` });
}

/** Sends store calls through another member, over one link. */
export class RelayClient implements StorePath {
  readonly #send: (message: PeerMessage) => void;
  readonly #budget = new CallBudget({ calls: MAX_RELAYED_CALLS, bytes: MAX_RELAYED_BYTES });
  readonly #pending = new Map<number, PendingCall>();
  #nextId = 1;
  #ended = false;

  constructor(send: (message: PeerMessage) => void) {
    this.#send = send;
  }

  /** Number of calls without an answer. */
  get pending(): number {
    return this.#pending.size;
  }

  exchange(call: HttpCall, signal: AbortSignal): Promise<Exchange> {
    const body = call.body === undefined ? undefined : Buffer.from(call.body);
    const bytes = body?.length ?? 0;
    if (this.#ended || signal.aborted) {
      return Promise.resolve(notSent('no link'));
    }
    if (!METHODS.has(call.method) || bytes > MAX_RELAYED_BODY_BYTES || !this.#budget.take(bytes)) {
      return Promise.resolve(notSent('call exceeds a bound'));
    }
    const id = this.#nextId;
    this.#nextId += 1;
    return new Promise((resolvePromise) => {
      const onAbort = (): void => {
        this.#send({ type: 'store-cancel', id });
        this.#end(id, unanswered('given up'));
      };
      const resolve = (exchange: Exchange): void => {
        signal.removeEventListener('abort', onAbort);
        resolvePromise(exchange);
      };
      signal.addEventListener('abort', onAbort, { once: true });
      this.#pending.set(id, { bytes, resolve });
      this.#send(toMessage(id, call, body));
    });
  }

  onAnswer({ id, outcome, status, body }: MessageOf<'store-answer'>): void {
    switch (outcome) {
      case 'answered':
        this.#end(id, Ok({ status, bytes: body }));
        break;
      case 'refused':
        this.#end(id, notSent('refused'));
        break;
      case 'unanswered':
        this.#end(id, unanswered('no answer'));
    }
  }

  /** Ends all calls, since the link has ended; the store may have received any of them. */
  close(): void {
    this.#ended = true;
    for (const id of this.#pending.keys()) {
      this.#end(id, unanswered('link lost'));
    }
  }

  #end(id: number, exchange: Exchange): void {
    const call = this.#pending.get(id);
    if (call !== undefined) {
      this.#pending.delete(id);
      this.#budget.release(call.bytes);
      call.resolve(exchange);
    }
  }
}

function toMessage(
  id: number,
  { kind, method, path, contentType, waitMs }: HttpCall,
  body: Uint8Array | undefined,
): MessageOf<'store-call'> {
  return {
    type: 'store-call',
    id,
    kind,
    method: method as Method,
    path,
    body: body ?? null,
    contentType: contentType ?? null,
    waitMs: waitMs === undefined ? null : Math.round(waitMs),
  };
}
