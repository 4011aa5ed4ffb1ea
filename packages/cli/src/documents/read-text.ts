import { isUtf8 } from 'node:buffer';
import { open, type FileHandle } from 'node:fs/promises';
import { Err, Ok, type Result } from '@turmerichoist/core';
import { MAX_FILE_BYTES } from './limits.js';
import type { SourceProblem } from './source-problem.js';

const STDIN_PATH = '/dev/stdin';
const LINE_FEED = 0x0a;
const SAVE_AS_UTF8 = 'Save the file as UTF-8.';

/** Byte order marks of encodings other than UTF-8; the longer ones first. */
const OTHER_ENCODINGS: readonly (readonly [name: string, mark: readonly number[]])[] = [
  ['UTF-32', [0xff, 0xfe, 0x00, 0x00]],
  ['UTF-32', [0x00, 0x00, 0xfe, 0xff]],
  ['UTF-16', [0xff, 0xfe]],
  ['UTF-16', [0xfe, 0xff]],
];

/** Reads a file, or standard input for `-`. Fails unless it is short enough and in UTF-8. */
export async function readText(file: string): Promise<Result<string, SourceProblem>> {
  let bytes: Buffer;
  try {
    const handle = await open(file === '-' ? STDIN_PATH : file);
    bytes = await readBounded(handle).finally(() => handle.close());
  } catch (err) {
    const nextStep = 'Check the path and its permissions.';
    const message = `the file can't be read: ${(err as Error).message}`;
    return Err({ rule: 'file-unreadable', position: { file }, message, nextStep });
  }
  if (bytes.length > MAX_FILE_BYTES) {
    const message = `the file has more than ${MAX_FILE_BYTES} bytes`;
    const nextStep = 'Split it into several files.';
    return Err({ rule: 'file-too-large', position: { file, line: 1 }, message, nextStep });
  }
  return decodeText(file, bytes);
}

/** Reads at most one byte more than the limit, so that pipes and devices are bounded as well. */
async function readBounded(handle: FileHandle): Promise<Buffer> {
  const buffer = Buffer.alloc(MAX_FILE_BYTES + 1);
  let length = 0;
  while (length < buffer.length) {
    const { bytesRead } = await handle.read(buffer, length, buffer.length - length, null);
    if (bytesRead === 0) {
      break;
    }
    length += bytesRead;
  }
  return buffer.subarray(0, length);
}

/** Decodes UTF-8. Fails with the first line that is in another encoding. */
export function decodeText(file: string, bytes: Uint8Array): Result<string, SourceProblem> {
  const wrongEncoding = (line: number, message: string) =>
    Err({ rule: 'file-encoding', position: { file, line }, message, nextStep: SAVE_AS_UTF8 });
  const other = OTHER_ENCODINGS.find(([, mark]) => mark.every((byte, i) => bytes[i] === byte));
  if (other !== undefined) {
    return wrongEncoding(1, `the file is in ${other[0]}, not in UTF-8`);
  }
  const zeroAt = bytes.indexOf(0);
  if (zeroAt >= 0) {
    return wrongEncoding(lineAt(bytes, zeroAt), 'the file has a zero byte: it is not UTF-8 text');
  }
  if (!isUtf8(bytes)) {
    return wrongEncoding(firstInvalidLine(bytes), 'the line is not valid UTF-8');
  }
  return Ok(new TextDecoder().decode(bytes));
}

function lineAt(bytes: Uint8Array, offset: number): number {
  return bytes.subarray(0, offset).filter((byte) => byte === LINE_FEED).length + 1;
}

function firstInvalidLine(bytes: Uint8Array): number {
  let line = 1;
  let start = 0;
  while (start < bytes.length) {
    const end = bytes.indexOf(LINE_FEED, start);
    const next = end < 0 ? bytes.length : end + 1;
    if (!isUtf8(bytes.subarray(start, next))) {
      return line;
    }
    start = next;
    line += 1;
  }
  return line;
}
