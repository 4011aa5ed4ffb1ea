import type { IncomingHttpHeaders } from 'node:http';
import type { Dispatcher } from 'undici';
import type { AttemptResult, Clock, LoadReport, Millis } from '@turmerichoist/core';
import { answerHeaders, hasFraming, loadReport } from './headers.js';
import type { AnswerSink, OutgoingRequest } from './messages.js';

/** A caller that takes no byte for this long ends its own request. */
const PROGRESS_TIMEOUT_MS = 5_000;

const HTTP_UNAVAILABLE = 503;

export interface AttemptEnd {
  readonly result: AttemptResult;
  readonly load?: LoadReport;
  readonly leaving: boolean;
}

export interface AttemptOptions {
  readonly request: OutgoingRequest;
  readonly sink: AnswerSink;
  readonly clock: Clock;
  readonly onEnd: (end: AttemptEnd) => void;
}

/** Who ended an attempt: a decision, the caller that takes no more, or a silent path. */
export type AbortCause = 'decision' | 'caller' | 'silent';

type Stage = 'waiting' | 'sent' | 'streaming' | 'refused' | 'ended';

/** Follows one attempt on one connection and passes the answer on. */
export class Attempt implements Dispatcher.DispatchHandler {
  readonly idempotent: boolean;
  readonly #options: AttemptOptions;
  #controller: Dispatcher.DispatchController | undefined;
  #stage: Stage = 'waiting';
  #abortCause: AbortCause | undefined;
  #load: LoadReport | undefined;
  #leaving = false;
  #lastProgress: Millis;
  #callerTimer: NodeJS.Timeout | undefined;

  constructor(options: AttemptOptions) {
    this.#options = options;
    this.idempotent = options.request.idempotent;
    this.#lastProgress = options.clock.now();
  }

  /** Clock reading at which a byte last moved on the connection. */
  get lastProgress(): Millis {
    return this.#lastProgress;
  }

  /** Whether the request is with the upstream and no byte of the answer has come. */
  get awaitsAnswer(): boolean {
    return this.#stage === 'sent';
  }

  /** Ends the attempt. */
  abort(cause: AbortCause): void {
    this.#abortCause = cause;
    if (this.#stage === 'waiting') {
      this.#end({ type: 'not-sent' });
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
    this.#progress();
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    this.#progress();
    if (status < 200) {
      return;
    }
    this.#load = loadReport(headers);
    this.#leaving = headers['x-leaving'] === 'true';
    if (status === HTTP_UNAVAILABLE && headers['x-not-run'] === 'true') {
      this.#stage = 'refused';
      return;
    }
    if (!hasFraming(this.#options.request.method, status, headers)) {
      controller.abort(new Error('the answer has no framing'));
      return;
    }
    this.#stage = 'streaming';
    this.#options.sink.head(status, answerHeaders(headers));
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#progress();
    if (this.#stage !== 'streaming' || this.#options.sink.data(chunk)) {
      return;
    }
    controller.pause();
    this.#callerTimer = setTimeout(() => {
      this.abort('caller');
    }, PROGRESS_TIMEOUT_MS);
    this.#options.sink.onDrain(() => {
      clearTimeout(this.#callerTimer);
      this.#progress();
      controller.resume();
    });
  }

  onResponseEnd(): void {
    if (this.#stage === 'refused') {
      this.#end({ type: 'refused' });
      return;
    }
    this.#options.sink.end();
    this.#end({ type: 'answered' });
  }

  onResponseError(_controller: Dispatcher.DispatchController, err: Error): void {
    switch (this.#stage) {
      case 'waiting':
        this.#end({ type: 'not-sent' });
        break;
      case 'refused':
        this.#end({ type: 'refused' });
        break;
      case 'ended':
        break;
      case 'streaming':
        this.#options.sink.cut();
        this.#end({ type: 'cut' });
        break;
      default:
        this.#end({ type: this.#failure(err) });
    }
  }

  #failure(err: Error): 'silent' | 'timed-out' | 'failed' {
    if (this.#abortCause === 'silent') {
      return 'silent';
    }
    return this.#abortCause === 'decision' || isTimeout(err) ? 'timed-out' : 'failed';
  }

  #progress(): void {
    this.#lastProgress = this.#options.clock.now();
  }

  #end(result: AttemptResult): void {
    if (this.#stage === 'ended') {
      return;
    }
    this.#stage = 'ended';
    clearTimeout(this.#callerTimer);
    const load = this.#load === undefined ? {} : { load: this.#load };
    this.#options.onEnd({ result, leaving: this.#leaving, ...load });
  }
}

function isTimeout(err: Error): boolean {
  const code = 'code' in err ? String(err.code) : '';
  return code === 'UND_ERR_HEADERS_TIMEOUT' || code === 'UND_ERR_BODY_TIMEOUT';
}
