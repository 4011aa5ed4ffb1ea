import { Err, Ok, appError, fail, type AppError, type Result } from '@turmerichoist/core';
import { MAX_FRAME_BYTES } from './constants.js';

const LENGTH_BYTES = 4;
const VERSION_BYTES = 1;

/** One frame with its encoded payload. */
export interface Frame {
  readonly version: number;
  readonly payload: Uint8Array;
}

/** Encodes a frame. Errors: `frame-invalid` when the payload is too long. */
export function encodeFrame(
  version: number,
  payload: Uint8Array,
  maxBytes: number = MAX_FRAME_BYTES,
): Result<Uint8Array, AppError> {
  const length = VERSION_BYTES + payload.length;
  if (length > maxBytes) {
    return fail('frame-invalid', `frame of ${length} bytes exceeds ${maxBytes}`);
  }
  const bytes = new Uint8Array(LENGTH_BYTES + length);
  new DataView(bytes.buffer).setUint32(0, length);
  bytes[LENGTH_BYTES] = version;
  bytes.set(payload, LENGTH_BYTES + VERSION_BYTES);
  return Ok(bytes);
}

/** Splits a byte stream into frames. After an error it discards all further input. */
export class FrameDecoder {
  #chunks: Uint8Array[] = [];
  #buffered = 0;
  #maxBytes: number;
  #failure: AppError | undefined;

  constructor(maxBytes: number = MAX_FRAME_BYTES) {
    this.#maxBytes = maxBytes;
  }

  /** Sets the maximum frame size in bytes. */
  setMaxFrameBytes(maxBytes: number): void {
    this.#maxBytes = maxBytes;
  }

  /** Whether the stream so far ends within a frame. */
  get truncated(): boolean {
    return this.#buffered > 0;
  }

  /** Adds received bytes. */
  push(bytes: Uint8Array): void {
    if (this.#failure === undefined && bytes.length > 0) {
      this.#chunks.push(bytes);
      this.#buffered += bytes.length;
    }
  }

  /** The next complete frame, if any. Errors: `frame-invalid`, then on every later call too. */
  next(): Result<Frame | undefined, AppError> {
    if (this.#failure !== undefined) {
      return Err(this.#failure);
    }
    if (this.#buffered < LENGTH_BYTES) {
      return Ok(undefined);
    }
    const head = this.#join(LENGTH_BYTES);
    const length = new DataView(head.buffer, head.byteOffset).getUint32(0);
    if (length < VERSION_BYTES || length > this.#maxBytes) {
      this.#failure = appError('frame-invalid', `invalid frame length ${length}`);
      return Err(this.#failure);
    }
    if (this.#buffered < LENGTH_BYTES + length) {
      return Ok(undefined);
    }
    const bytes = this.#join(LENGTH_BYTES + length);
    this.#drop(LENGTH_BYTES + length);
    const version = bytes[LENGTH_BYTES] ?? 0;
    const payload = bytes.subarray(LENGTH_BYTES + VERSION_BYTES, LENGTH_BYTES + length);
    return Ok({ version, payload });
  }

  /** Returns at least `size` contiguous bytes. Copies only when a frame spans several chunks. */
  #join(size: number): Uint8Array {
    const first = this.#chunks[0] ?? new Uint8Array(0);
    if (first.length >= size) {
      return first;
    }
    const joined = new Uint8Array(this.#buffered);
    let at = 0;
    for (const chunk of this.#chunks) {
      joined.set(chunk, at);
      at += chunk.length;
    }
    this.#chunks = [joined];
    return joined;
  }

  #drop(size: number): void {
    const first = this.#chunks[0] ?? new Uint8Array(0);
    this.#buffered -= size;
    if (first.length === size) {
      this.#chunks.shift();
    } else {
      this.#chunks[0] = first.subarray(size);
    }
  }
}
