import { z } from 'zod';
import { Ok, fail, type AppError, type Result } from '@turmerichoist/core';

/** Version of the format that this reader accepts. */
export const TRACE_VERSION = 1;

const at = z.number().min(0);
const id = z.string().min(1);
const amount = z.number().min(0);
const resources = z.strictObject({ processors: amount, memoryMb: amount, accelerators: amount });

const header = z.strictObject({
  type: z.literal('trace'),
  version: z.literal(TRACE_VERSION),
  deployment: id,
  seed: z.int(),
  durationMs: z.number().positive(),
});

const event = z.discriminatedUnion('type', [
  z.strictObject({
    type: z.literal('arrival'),
    at,
    id,
    team: id,
    workClass: z.enum(['urgent', 'normal', 'archive']),
    resources,
    used: resources,
    idempotent: z.boolean(),
    runMs: z.int().positive(),
  }),
  z.strictObject({ type: z.literal('cancellation'), at, team: id, ids: z.array(id).min(1) }),
  z.strictObject({
    type: z.literal('operator'),
    at,
    act: z.literal('zone'),
    zone: id,
    state: z.enum(['in', 'out']),
  }),
  z.strictObject({
    type: z.literal('failure'),
    at,
    instances: z.array(id).min(1),
    downMs: z.number().positive(),
  }),
]);

type ReadonlyDeep<T> = T extends (infer I)[]
  ? readonly ReadonlyDeep<I>[]
  : T extends object
    ? { readonly [K in keyof T]: ReadonlyDeep<T[K]> }
    : T;

export type TraceHeader = ReadonlyDeep<z.output<typeof header>>;
export type TraceEvent = ReadonlyDeep<z.output<typeof event>>;

export interface Trace {
  readonly header: TraceHeader;
  readonly events: readonly TraceEvent[];
}

/** Writes a trace as JSON lines. */
export function encodeTrace({ header: first, events }: Trace): string {
  return [first, ...events].map((line) => `${JSON.stringify(line)}\n`).join('');
}

/** Reads a trace. Errors: `bad-document`, whose detail begins with the number of the line. */
export function parseTrace(text: string): Result<Trace, AppError> {
  const lines = text.split('\n');
  const first = parseLine(header, lines[0] ?? '', 1);
  if (first.isErr()) {
    return first;
  }
  const events: TraceEvent[] = [];
  const ids = new Set<string>();
  for (const [index, line] of lines.entries()) {
    const last = index === lines.length - 1 && line === '';
    if (index === 0 || last) {
      continue;
    }
    const parsed = parseLine(event, line, index + 1).andThen((each) =>
      checkOrder(each, events.at(-1), first.value, ids, index + 1),
    );
    if (parsed.isErr()) {
      return parsed;
    }
    events.push(parsed.value);
  }
  return Ok({ header: first.value, events });
}

function parseLine<T>(schema: z.ZodType<T>, line: string, number: number): Result<T, AppError> {
  let json: unknown;
  try {
    json = JSON.parse(line);
  } catch {
    return fail('bad-document', `line ${number}: not JSON`);
  }
  const parsed = schema.safeParse(json);
  if (parsed.success) {
    return Ok(parsed.data);
  }
  const issue = parsed.error.issues[0];
  const path = issue?.path.join('.') ?? '';
  return fail('bad-document', `line ${number}: ${path}: ${issue?.message ?? 'invalid'}`);
}

function checkOrder(
  each: TraceEvent,
  before: TraceEvent | undefined,
  { durationMs }: TraceHeader,
  ids: Set<string>,
  number: number,
): Result<TraceEvent, AppError> {
  if (each.at < (before?.at ?? 0)) {
    return fail('bad-document', `line ${number}: at: earlier than the line before`);
  }
  if (each.at > durationMs) {
    return fail('bad-document', `line ${number}: at: after the end of the trace`);
  }
  if (each.type === 'arrival' && ids.has(each.id)) {
    return fail('bad-document', `line ${number}: id: ${each.id} arrived before`);
  }
  if (each.type === 'arrival') {
    ids.add(each.id);
  }
  const unknown = each.type === 'cancellation' ? each.ids.find((one) => !ids.has(one)) : undefined;
  return unknown === undefined
    ? Ok(each)
    : fail('bad-document', `line ${number}: ids: ${unknown} has not arrived`);
}
