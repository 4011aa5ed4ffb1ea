import { Ok, fail, type AppError, type Result } from '../errors/index.js';

export interface JsonShapeLimits {
  readonly maxDepth: number;
  /** Members of objects and elements of arrays. */
  readonly maxValues: number;
}

const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const COMMA = 0x2c;
const OPEN_BRACE = 0x7b;
const CLOSE_BRACE = 0x7d;
const OPEN_BRACKET = 0x5b;
const CLOSE_BRACKET = 0x5d;

/**
 * Checks nesting and number of values of a JSON text before it is decoded, in linear time and
 * without memory. It does not check the syntax. Errors: `bad-request`.
 */
export function checkJsonShape(
  bytes: Uint8Array,
  { maxDepth, maxValues }: JsonShapeLimits,
): Result<void, AppError> {
  let depth = 0;
  let values = 1;
  let quoted = false;
  for (let i = 0; i < bytes.length; i += 1) {
    const byte = bytes[i];
    if (quoted) {
      if (byte === BACKSLASH) {
        i += 1;
      } else if (byte === QUOTE) {
        quoted = false;
      }
    } else if (byte === QUOTE) {
      quoted = true;
    } else if (byte === COMMA) {
      values += 1;
    } else if (byte === OPEN_BRACE || byte === OPEN_BRACKET) {
      depth += 1;
      values += 1;
    } else if (byte === CLOSE_BRACE || byte === CLOSE_BRACKET) {
      depth -= 1;
    }
    if (depth > maxDepth) {
      return fail('bad-request', `the body has more than ${maxDepth} levels`);
    }
    if (values > maxValues) {
      return fail('bad-request', `the body has more than ${maxValues} values`);
    }
  }
  return Ok(undefined);
}
