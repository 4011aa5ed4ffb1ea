import type {
  FreshnessPeerMessage,
  FreshnessMessage,
  FreshnessReport,
  JsonValue,
} from '@turmerichoist/coordination';
import {
  fail,
  Ok,
  type AppError,
  type MemberId,
  type Millis,
  type Result,
} from '@turmerichoist/core';
import type { Recipient } from '@turmerichoist/runtime';
import { z } from 'zod';
import type { AskPeer } from '../peers/index.js';

const PING_TIMEOUT_MS: Millis = 1_000;

const pingBody = z.strictObject({ nonce: z.int() });
const reportBody = z.strictObject({
  incarnation: z.string(),
  revision: z.int().min(0),
  confirmedAgeMs: z.number().min(0).exactOptional(),
  storeDown: z.boolean(),
  changePending: z.boolean(),
});

interface PendingPing {
  readonly from: MemberId;
  readonly nonce: number;
  readonly resolve: (answer: Result<JsonValue, AppError>) => void;
}

/** Sends the pings of the freshness rule as requests between peers. */
export class FreshnessTransport implements Recipient<FreshnessPeerMessage> {
  readonly #ask: AskPeer;
  readonly #tracker: () => Recipient<FreshnessMessage>;
  readonly #signal: AbortSignal;
  #pendingPings: readonly PendingPing[] = [];

  constructor(ask: AskPeer, tracker: () => Recipient<FreshnessMessage>, signal: AbortSignal) {
    this.#ask = ask;
    this.#tracker = tracker;
    this.#signal = signal;
  }

  post(frame: FreshnessPeerMessage): boolean {
    if (frame.type === 'ping') {
      void this.#ping(frame.to, frame.nonce);
      return true;
    }
    const found = this.#pendingPings.find(
      ({ from, nonce }) => from === frame.to && nonce === frame.nonce,
    );
    this.#pendingPings = this.#pendingPings.filter((each) => each !== found);
    found?.resolve(Ok(frame.report as unknown as JsonValue));
    return found !== undefined;
  }

  /** Handles a ping from a peer. Errors: `bad-request`, `not-ready`. */
  handle(from: MemberId, body: JsonValue): Promise<Result<JsonValue, AppError>> {
    const parsed = pingBody.safeParse(body);
    if (!parsed.success) {
      return Promise.resolve(fail('bad-request', 'the body of the ping is invalid'));
    }
    const { nonce } = parsed.data;
    return new Promise((resolve) => {
      this.#pendingPings = [...this.#pendingPings, { from, nonce, resolve }];
      if (!this.#tracker().post({ type: 'ping', from, nonce })) {
        resolve(fail('not-ready'));
      }
    });
  }

  async #ping(to: MemberId, nonce: number): Promise<void> {
    const answer = await this.#ask(to, { nonce }, PING_TIMEOUT_MS, this.#signal);
    const parsed = reportBody.safeParse(answer.unwrapOr(null));
    if (parsed.success) {
      const report: FreshnessReport = parsed.data;
      this.#tracker().post({ type: 'pong', from: to, nonce, report });
    }
  }
}
