import type { z } from 'zod';
import { Ok, fail, type AppError, type Result } from '@turmerichoist/core';

/** Decodes a JSON response of the platform. Fails with `store-rejected` when it is malformed. */
export function decodeJson<T>(bytes: Uint8Array, schema: z.ZodType<T>): Result<T, AppError> {
  try {
    const parsed = schema.safeParse(JSON.parse(new TextDecoder().decode(bytes)));
    return parsed.success ? Ok(parsed.data) : fail('store-rejected', parsed.error.message);
  } catch {
    return fail('store-rejected', 'response is not valid JSON');
  }
}
