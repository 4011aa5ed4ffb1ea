import { fail, Ok, type AppError, type Result } from '@turmerichoist/core';
import type { z } from 'zod';

/** Checks what a caller sent against a schema. Fails with `bad-request`, naming every wrong field. */
export function checkInput<S extends z.ZodType>(
  schema: S,
  input: unknown,
): Result<z.output<S>, AppError> {
  const parsed = schema.safeParse(input);
  if (parsed.success) {
    return Ok(parsed.data);
  }
  const faults = parsed.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`);
  return fail('bad-request', faults.join('; '));
}
