import type { IncomingMessage, ServerResponse } from 'node:http';
import { PassThrough, type Readable } from 'node:stream';
import { fail, Ok, type AppError, type Result } from '@turmerichoist/core';
import { expectsContinue, hasBody, type BodyReader } from '@turmerichoist/runtime';
import { sendError } from '../http/responses.js';
import {
  forwardedRequestHeaders,
  type ResponseSink,
  type HeaderFields,
  type OutgoingRequest,
} from '../upstreams/index.js';

/** Bodies up to this size are buffered, so that the request can be retried. */
const BUFFER_LIMIT_BYTES = 65_536;

const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set([
  'GET',
  'HEAD',
  'PUT',
  'DELETE',
  'OPTIONS',
]);

type Body = Buffer | Readable | null;

/** One request of a caller and the response to it. */
export class Exchange implements ResponseSink {
  readonly #req: IncomingMessage;
  readonly #res: ServerResponse;
  readonly #bodies: BodyReader;
  #body: Body = null;
  #streamUsed = false;
  #isOverLimit = false;

  constructor(req: IncomingMessage, res: ServerResponse, bodies: BodyReader) {
    this.#bodies = bodies;
    this.#req = req;
    this.#res = res;
  }

  get finished(): boolean {
    return this.#res.writableEnded || this.#res.destroyed;
  }

  /** Whether a streamed body exceeded its limit while it was forwarded. */
  get isOverLimit(): boolean {
    return this.#isOverLimit;
  }

  /** Whether the request may safely run twice and its body can be sent twice. */
  get idempotent(): boolean {
    const declared = this.#req.headers['x-idempotent'] === 'true';
    const method = this.#req.method ?? 'GET';
    const repeatable = this.#body === null || Buffer.isBuffer(this.#body);
    return repeatable && (declared || IDEMPOTENT_METHODS.has(method));
  }

  /** Leaves the body unread. If it has one, the request can't be sent upstream. */
  skipBody(): void {
    this.#streamUsed = hasBody(this.#req);
  }

  /** Buffers a small body, and prepares a large one or one of unknown length for streaming. */
  async prepareBody(maxBytes: number): Promise<Result<void, AppError>> {
    const declared = Number(this.#req.headers['content-length'] ?? Number.NaN);
    if (declared > maxBytes) {
      return fail('body-too-large', `at most ${maxBytes} bytes`);
    }
    if (!hasBody(this.#req)) {
      return Ok(undefined);
    }
    const chunked = this.#req.headers['transfer-encoding'] !== undefined;
    if (chunked || declared > BUFFER_LIMIT_BYTES) {
      this.#body = this.#limitedStream(maxBytes);
      return Ok(undefined);
    }
    return this.#bufferBody();
  }

  /** The request to send upstream, or undefined when its streamed body was already taken. */
  takeOutgoingRequest(path: string): OutgoingRequest | undefined {
    if (this.#streamUsed) {
      return undefined;
    }
    this.#streamUsed = this.#body !== null && !Buffer.isBuffer(this.#body);
    return {
      method: this.#req.method ?? 'GET',
      path,
      headers: forwardedRequestHeaders(this.#req.headers),
      idempotent: this.idempotent,
      body: this.#body,
    };
  }

  head(status: number, headers: HeaderFields): void {
    for (const [name, value] of Object.entries(headers)) {
      this.#res.setHeader(name, value);
    }
    this.#res.writeHead(status);
  }

  data(chunk: Uint8Array): boolean {
    return this.#res.write(chunk);
  }

  onDrain(resume: () => void): void {
    this.#res.once('drain', resume);
  }

  end(): void {
    this.#res.end();
  }

  abort(): void {
    this.#res.destroy();
  }

  /** Responds with an error. Breaks the connection when the response has already begun. */
  sendError(err: AppError): void {
    if (this.finished) {
      return;
    }
    if (this.#res.headersSent) {
      this.abort();
      return;
    }
    if (!this.#req.complete) {
      this.#res.setHeader('connection', 'close');
    }
    sendError(this.#res, err);
  }

  async #bufferBody(): Promise<Result<void, AppError>> {
    const options = { maxBytes: BUFFER_LIMIT_BYTES, factor: 1 };
    const body = await this.#bodies.read(this.#req, this.#res, options);
    if (body.isErr()) {
      return body;
    }
    this.#res.once('close', body.value.release);
    this.#body = body.value.bytes;
    return Ok(undefined);
  }

  #limitedStream(maxBytes: number): Readable {
    let total = 0;
    const limited = new PassThrough();
    if (expectsContinue(this.#req)) {
      this.#res.writeContinue();
    }
    this.#req.on('data', (chunk: Buffer) => {
      total += chunk.length;
      if (total > maxBytes) {
        this.#isOverLimit = true;
        limited.destroy(new Error('the body exceeds the limit'));
        this.#req.pause();
      } else if (!limited.write(chunk)) {
        this.#req.pause();
      }
    });
    limited.on('drain', () => this.#req.resume());
    this.#req.on('end', () => limited.end());
    this.#req.on('error', (err) => limited.destroy(err));
    this.#req.on('aborted', () => limited.destroy(new Error('the caller closed the connection')));
    return limited;
  }
}
