import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  Ok,
  fail,
  type AppError,
  type Clock,
  type HolderId,
  type MemoryBudget,
  type Millis,
  type Result,
} from '@turmerichoist/core';
import type { GuardReason } from './listener-guard.js';

/** A body is refused when nothing of it arrives for this time. Links may be slow for seconds. */
const PROGRESS_TIMEOUT_MS: Millis = 10_000;
/** Time for a whole body. Callers wait about 3 s for a response. */
const BODY_TIMEOUT_MS: Millis = 30_000;
const RETRY_AFTER_MS: Millis = 1_000;
const FIRST_BUFFER_BYTES = 4_096;
/** Memory of a body that is decoded from JSON, as a multiple of its size. */
export const DECODED_FACTOR = 4;

export interface ReadOptions {
  readonly maxBytes: number;
  /** Memory that the body takes once it is complete, as a multiple of its size. */
  readonly factor: number;
}

/** A complete body, which counts towards the budget until it is released. */
export interface HeldBody {
  readonly bytes: Buffer;
  readonly release: () => void;
}

type BodyResult = Result<HeldBody, AppError>;

/** Reads bodies into memory, within the budget that all listeners of the process share. */
export class BodyReader {
  readonly #budget: MemoryBudget;
  readonly #clock: Clock;
  readonly #count: (reason: GuardReason) => void;
  readonly #open = new Map<HolderId, OpenBody>();
  #lastId = 0;

  constructor(budget: MemoryBudget, clock: Clock, count: (reason: GuardReason) => void) {
    this.#budget = budget;
    this.#clock = clock;
    this.#count = count;
  }

  /**
   * Reads a body. The rest of a refused body is not read. Errors:
   * `body-too-large`, `overloaded`, `request-too-slow`, `caller-gone`.
   */
  async read(
    req: IncomingMessage,
    res: ServerResponse,
    { maxBytes, factor }: ReadOptions,
  ): Promise<BodyResult> {
    const tooLarge = this.check(req, maxBytes);
    if (tooLarge.isErr()) {
      return tooLarge;
    }
    if (expectsContinue(req)) {
      res.writeContinue();
    }
    this.#lastId += 1;
    const id = this.#lastId;
    const body = new OpenBody(req, maxBytes, (bytes) => this.#grow(id, bytes));
    this.#open.set(id, body);
    const read = await body.result;
    this.#open.delete(id);
    if (read.isErr()) {
      this.#budget.release(id);
      this.#countError(read.error);
      return read;
    }
    const { evicted } = this.#budget.complete(id, read.value.length * factor);
    this.#evict(evicted);
    return Ok({
      bytes: read.value,
      release: () => {
        this.#budget.release(id);
      },
    });
  }

  /** Checks the declared length, before anything is read. Errors: `body-too-large`. */
  check({ headers }: IncomingMessage, maxBytes: number): Result<void, AppError> {
    if (Number(headers['content-length'] ?? 0) > maxBytes) {
      this.#count('body-too-large');
      return fail('body-too-large', `the limit is ${maxBytes} bytes`);
    }
    return Ok(undefined);
  }

  /** Refuses the bodies that are too slow. */
  sweep(now: Millis): void {
    for (const id of this.#budget.slow(now - PROGRESS_TIMEOUT_MS, now - BODY_TIMEOUT_MS)) {
      this.#open.get(id)?.end(fail('request-too-slow'));
    }
  }

  #grow(id: HolderId, bytes: number): boolean {
    const { admitted, evicted } = this.#budget.receive(id, bytes, this.#clock.now());
    this.#evict(evicted);
    return admitted;
  }

  #evict(ids: readonly HolderId[]): void {
    for (const id of ids) {
      this.#open.get(id)?.end(fail('overloaded', undefined, RETRY_AFTER_MS));
    }
  }

  #countError({ kind }: AppError): void {
    if (kind === 'overloaded') {
      this.#count('body-budget');
    } else if (kind === 'request-too-slow') {
      this.#count('body-too-slow');
    } else if (kind === 'body-too-large') {
      this.#count('body-too-large');
    }
  }
}

/** Whether the caller sends the body only after a response with status 100. */
export function expectsContinue({ headers }: IncomingMessage): boolean {
  return headers.expect?.toLowerCase() === '100-continue';
}

/** Whether a body is declared. */
export function hasBody({ headers }: IncomingMessage): boolean {
  const { 'content-length': declared, 'transfer-encoding': encoding } = headers;
  return encoding !== undefined || Number(declared) > 0;
}

/** A body that is being received, in one buffer that grows with it. */
class OpenBody {
  readonly result: Promise<Result<Buffer, AppError>>;
  readonly #req: IncomingMessage;
  readonly #maxBytes: number;
  /** Asks for memory; false if there is none. */
  readonly #grow: (bytes: number) => boolean;
  #buffer: Buffer = Buffer.alloc(0);
  #length = 0;
  #resolve: (result: Result<Buffer, AppError>) => void = () => undefined;

  constructor(req: IncomingMessage, maxBytes: number, grow: (bytes: number) => boolean) {
    this.#req = req;
    this.#maxBytes = maxBytes;
    this.#grow = grow;
    this.result = new Promise((resolve) => {
      this.#resolve = resolve;
    });
    req.on('data', this.#onData);
    req.on('end', this.#onEnd);
    req.on('error', this.#onError);
    req.on('close', this.#onError);
  }

  /** Ends the reading, with the buffer or an error. Later calls have no effect. */
  end(result: Result<Buffer, AppError>): void {
    this.#req.off('data', this.#onData);
    this.#req.off('end', this.#onEnd);
    this.#req.off('close', this.#onError);
    if (result.isErr()) {
      this.#req.pause();
    }
    this.#buffer = Buffer.alloc(0);
    this.#resolve(result);
  }

  readonly #onData = (chunk: Buffer): void => {
    const length = this.#length + chunk.length;
    if (length > this.#maxBytes) {
      this.end(fail('body-too-large', `the limit is ${this.#maxBytes} bytes`));
      return;
    }
    const size = sizeFor(length, this.#buffer.length, this.#maxBytes);
    if (!this.#grow(size)) {
      this.end(fail('overloaded', undefined, RETRY_AFTER_MS));
      return;
    }
    if (size > this.#buffer.length) {
      const larger = Buffer.allocUnsafeSlow(size);
      this.#buffer.copy(larger, 0, 0, this.#length);
      this.#buffer = larger;
    }
    chunk.copy(this.#buffer, this.#length);
    this.#length = length;
  };

  readonly #onEnd = (): void => {
    this.end(Ok(this.#buffer.subarray(0, this.#length)));
  };

  readonly #onError = (): void => {
    this.end(fail('caller-gone'));
  };
}

/** Doubles the size of a buffer until the length fits. */
function sizeFor(length: number, present: number, maxBytes: number): number {
  let size = Math.max(present, FIRST_BUFFER_BYTES);
  while (size < length) {
    size *= 2;
  }
  return Math.max(length, Math.min(size, maxBytes));
}
