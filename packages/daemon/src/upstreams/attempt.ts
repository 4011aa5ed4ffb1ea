import type { IncomingHttpHeaders } from 'node:http';
import type { Dispatcher } from 'undici';
import type { AttemptResult, Clock, LoadReport, Millis } from '@turmerichoist/core';
import { forwardedResponseHeaders, hasFraming, parseLoadReport } from './headers.js';
import type { ResponseSink, OutgoingRequest } from './messages.js';

/** A request is aborted when its caller accepts no byte of the response for this long. */
const CALLER_STALL_TIMEOUT_MS = 5_000;

const HTTP_UNAVAILABLE = 503;

/** How an attempt ended, and what the response headers said about the upstream. */
export interface AttemptCompletion {
  readonly result: AttemptResult;
  readonly load?: LoadReport;
  readonly leaving: boolean;
}

export interface AttemptOptions {
  readonly request: OutgoingRequest;
  readonly sink: ResponseSink;
  readonly clock: Clock;
  readonly onEnd: (end: AttemptCompletion) => void;
}

/**
 * Why an attempt was aborted: a decision, a caller that stopped reading, or a silent connection.
 */
export type AbortCause = 'decision' | 'caller' | 'silent';

type Stage = 'waiting' | 'sent' | 'streaming' | 'refused' | 'ended';

/** Handles the undici events of one attempt and forwards the response to the caller. */
export class Attempt implements Dispatcher.DispatchHandler {
  readonly idempotent: boolean;
  readonly #options: AttemptOptions;
  #controller: Dispatcher.DispatchController | undefined;
  #stage: Stage = 'waiting';
  #abortCause: AbortCause | undefined;
  #load: LoadReport | undefined;
  #leaving = false;
  #lastProgress: Millis;
  #stalledCallerTimer: NodeJS.Timeout | undefined;

  constructor(options: AttemptOptions) {
    this.#options = options;
    this.idempotent = options.request.idempotent;
    this.#lastProgress = options.clock.now();
  }

  /** Time of the last progress of the request or the response on the connection. */
  get lastProgress(): Millis {
    return this.#lastProgress;
  }

  /** Whether the request was sent and the response headers have not arrived. */
  get awaitsResponse(): boolean {
    return this.#stage === 'sent';
  }

  /** Aborts the attempt. One that has not been sent ends at once as `not-sent`. */
  abort(cause: AbortCause): void {
    this.#abortCause = cause;
    if (this.#stage === 'waiting') {
      this.#complete({ type: 'not-sent' });
    }
    this.#controller?.abort(new Error('attempt aborted'));
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#abortCause !== undefined) {
      controller.abort(new Error('attempt aborted before it was sent'));
      return;
    }
    this.#stage = 'sent';
    this.#recordProgress();
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    this.#recordProgress();
    if (status < 200) {
      return;
    }
    this.#load = parseLoadReport(headers);
    this.#leaving = headers['x-leaving'] === 'true';
    if (status === HTTP_UNAVAILABLE && headers['x-not-run'] === 'true') {
      this.#stage = 'refused';
      return;
    }
    if (!hasFraming(this.#options.request.method, status, headers)) {
      controller.abort(new Error('the response has neither a content length nor chunked encoding'));
      return;
    }
    this.#stage = 'streaming';
    this.#options.sink.head(status, forwardedResponseHeaders(headers));
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#recordProgress();
    if (this.#stage !== 'streaming' || this.#options.sink.data(chunk)) {
      return;
    }
    controller.pause();
    this.#stalledCallerTimer = setTimeout(() => {
      this.abort('caller');
    }, CALLER_STALL_TIMEOUT_MS);
    this.#options.sink.onDrain(() => {
      clearTimeout(this.#stalledCallerTimer);
      this.#recordProgress();
      controller.resume();
    });
  }

  onResponseEnd(): void {
    if (this.#stage === 'refused') {
      this.#complete({ type: 'refused' });
      return;
    }
    this.#options.sink.end();
    this.#complete({ type: 'answered' });
  }

  onResponseError(_controller: Dispatcher.DispatchController, err: Error): void {
    switch (this.#stage) {
      case 'waiting':
        this.#complete({ type: 'not-sent' });
        break;
      case 'refused':
        this.#complete({ type: 'refused' });
        break;
      case 'ended':
        break;
      case 'streaming':
        this.#options.sink.abort();
        this.#complete({ type: 'cut' });
        break;
      default:
        this.#complete({ type: this.#failureType(err) });
    }
  }

  #failureType(err: Error): 'silent' | 'timed-out' | 'failed' {
    if (this.#abortCause === 'silent') {
      return 'silent';
    }
    return this.#abortCause === 'decision' || isTimeout(err) ? 'timed-out' : 'failed';
  }

  #recordProgress(): void {
    this.#lastProgress = this.#options.clock.now();
  }

  #complete(result: AttemptResult): void {
    if (this.#stage === 'ended') {
      return;
    }
    this.#stage = 'ended';
    clearTimeout(this.#stalledCallerTimer);
    const load = this.#load === undefined ? {} : { load: this.#load };
    this.#options.onEnd({ result, leaving: this.#leaving, ...load });
  }
}

function isTimeout(err: Error): boolean {
  const code = 'code' in err ? String(err.code) : '';
  return code === 'UND_ERR_HEADERS_TIMEOUT' || code === 'UND_ERR_BODY_TIMEOUT';
}
