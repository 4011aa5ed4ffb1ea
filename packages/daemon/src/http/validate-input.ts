import { fail, Ok, type AppError, type Result } from '@turmerichoist/core';
import type { z } from 'zod';

/** Validates input against a schema. Fails with `bad-request`, naming every invalid field. */
export function validateInput<S extends z.ZodType>(
  schema: S,
  input: unknown,
): Result<z.output<S>, AppError> {
  const parsed = schema.safeParse(input);
  if (parsed.success) {
    return Ok(parsed.data);
  }
  const messages = parsed.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`);
  return fail('bad-request', messages.join('; '));
}
