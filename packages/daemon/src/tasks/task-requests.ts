import {
  fail,
  Ok,
  WORK_CLASSES,
  type AppError,
  type PoolName,
  type Result,
  type TaskId,
  type TaskSpec,
  type TeamName,
} from '@turmerichoist/core';
import { z } from 'zod';
import { validateInput } from '../http/validate-input.js';

const MAX_CANCELLED_IDS = 10_000;
const MAX_COMMAND_CHARS = 8_192;
const SEPARATOR = ':';

const localId = z
  .string()
  .regex(/^[A-Za-z0-9._-]{1,64}$/, 'letters, digits, ".", "_" and "-", at most 64');
const name = z.string().regex(/^[a-z0-9.-]{1,63}$/, 'a resource name');

const submitBody = z.strictObject({
  /** Chosen by the caller. A repeated submission with the same id is not run again. */
  id: localId,
  pool: name,
  class: z.enum(WORK_CLASSES).default('normal'),
  command: z.string().min(1).max(MAX_COMMAND_CHARS),
  idempotent: z.boolean().default(false),
  resources: z.strictObject({
    processors: z.int().min(0),
    memoryMb: z.int().min(0),
    accelerators: z.int().min(0).default(0),
  }),
  constraints: z
    .strictObject({
      zones: z.array(name).min(1).optional(),
      labels: z.record(z.string(), z.string()).optional(),
    })
    .default({}),
});

const cancelBody = z.strictObject({ ids: z.array(z.string()).min(1).max(MAX_CANCELLED_IDS) });

/** A validated submission of a task. */
export interface Submission {
  readonly pool: PoolName;
  readonly task: TaskSpec;
}

/** Builds the id of a task from its pool and the id that the caller chose. */
export function taskId(pool: PoolName, local: string): TaskId {
  return `${pool}${SEPARATOR}${local}`;
}

/** Extracts the pool from a task id. Fails with `not-found`. */
export function poolOfTask(id: TaskId): Result<PoolName, AppError> {
  const [pool, local] = id.split(SEPARATOR, 2);
  return pool === undefined || local === undefined || pool === ''
    ? fail('not-found', `task ${id}: an id has the form pool${SEPARATOR}id`)
    : Ok(pool);
}

/** Parses the body of a submission. Fails with `bad-request`, naming every invalid field. */
export function parseSubmission(input: unknown, team: TeamName): Result<Submission, AppError> {
  return validateInput(submitBody, input).map(
    ({ id, pool, class: workClass, constraints, ...rest }) => {
      const { zones, labels } = constraints;
      const limits = {
        ...(zones === undefined ? {} : { zones }),
        ...(labels === undefined ? {} : { labels }),
      };
      return {
        pool,
        task: { id: taskId(pool, id), team, workClass, constraints: limits, ...rest },
      };
    },
  );
}

/**
 * Parses the body of a cancellation into task ids by pool. Fails with `bad-request` or `not-found`.
 */
export function parseCancellation(
  input: unknown,
): Result<ReadonlyMap<PoolName, readonly TaskId[]>, AppError> {
  return validateInput(cancelBody, input).andThen(({ ids }) => {
    const byPool = new Map<PoolName, TaskId[]>();
    for (const id of ids) {
      const pool = poolOfTask(id);
      if (pool.isErr()) {
        return pool;
      }
      const known = byPool.get(pool.value) ?? [];
      known.push(id);
      byPool.set(pool.value, known);
    }
    return Ok(byPool);
  });
}
