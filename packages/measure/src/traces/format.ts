import { z } from 'zod';
import { Ok, fail, type AppError, type Result } from '@turmerichoist/core';

/** Trace format version that the parser accepts. */
export const TRACE_VERSION = 1;

const timeSchema = z.number().min(0);
const idSchema = z.string().min(1);
const amountSchema = z.number().min(0);
const resourcesSchema = z.strictObject({
  processors: amountSchema,
  memoryMb: amountSchema,
  accelerators: amountSchema,
});

const headerSchema = z.strictObject({
  type: z.literal('trace'),
  version: z.literal(TRACE_VERSION),
  deployment: idSchema,
  seed: z.int(),
  durationMs: z.number().positive(),
});

const eventSchema = z.discriminatedUnion('type', [
  z.strictObject({
    type: z.literal('arrival'),
    at: timeSchema,
    id: idSchema,
    team: idSchema,
    workClass: z.enum(['urgent', 'normal', 'archive']),
    resources: resourcesSchema,
    used: resourcesSchema,
    idempotent: z.boolean(),
    runMs: z.int().positive(),
  }),
  z.strictObject({
    type: z.literal('cancellation'),
    at: timeSchema,
    team: idSchema,
    ids: z.array(idSchema).min(1),
  }),
  z.strictObject({
    type: z.literal('operator'),
    at: timeSchema,
    act: z.literal('zone'),
    zone: idSchema,
    state: z.enum(['in', 'out']),
  }),
  z.strictObject({
    type: z.literal('failure'),
    at: timeSchema,
    instances: z.array(idSchema).min(1),
    downMs: z.number().positive(),
  }),
]);

type ReadonlyDeep<T> = T extends (infer I)[]
  ? readonly ReadonlyDeep<I>[]
  : T extends object
    ? { readonly [K in keyof T]: ReadonlyDeep<T[K]> }
    : T;

export type TraceHeader = ReadonlyDeep<z.output<typeof headerSchema>>;
export type TraceEvent = ReadonlyDeep<z.output<typeof eventSchema>>;

export interface Trace {
  readonly header: TraceHeader;
  readonly events: readonly TraceEvent[];
}

/** Encodes a trace as JSON Lines: the header, then one event per line. */
export function encodeTrace({ header, events }: Trace): string {
  return [header, ...events].map((line) => `${JSON.stringify(line)}\n`).join('');
}

/** Parses a trace. Errors: `bad-document`, with the line number at the start of its detail. */
export function parseTrace(text: string): Result<Trace, AppError> {
  const lines = text.split('\n');
  const header = parseLine(headerSchema, lines[0] ?? '', 1);
  if (header.isErr()) {
    return header;
  }
  const events: TraceEvent[] = [];
  const arrivedIds = new Set<string>();
  for (const [index, line] of lines.entries()) {
    const isTrailingLine = index === lines.length - 1 && line === '';
    if (index === 0 || isTrailingLine) {
      continue;
    }
    const parsed = parseLine(eventSchema, line, index + 1).andThen((event) =>
      validateEvent(event, events.at(-1), header.value, arrivedIds, index + 1),
    );
    if (parsed.isErr()) {
      return parsed;
    }
    events.push(parsed.value);
  }
  return Ok({ header: header.value, events });
}

function parseLine<T>(schema: z.ZodType<T>, line: string, lineNumber: number): Result<T, AppError> {
  let json: unknown;
  try {
    json = JSON.parse(line);
  } catch {
    return fail('bad-document', `line ${lineNumber}: not JSON`);
  }
  const parsed = schema.safeParse(json);
  if (parsed.success) {
    return Ok(parsed.data);
  }
  const issue = parsed.error.issues[0];
  const path = issue?.path.join('.') ?? '';
  return fail('bad-document', `line ${lineNumber}: ${path}: ${issue?.message ?? 'invalid'}`);
}

/** Checks an event against the header and the events before it, and records its task id. */
function validateEvent(
  event: TraceEvent,
  previous: TraceEvent | undefined,
  { durationMs }: TraceHeader,
  arrivedIds: Set<string>,
  lineNumber: number,
): Result<TraceEvent, AppError> {
  if (event.at < (previous?.at ?? 0)) {
    return fail('bad-document', `line ${lineNumber}: at: earlier than the previous event`);
  }
  if (event.at > durationMs) {
    return fail('bad-document', `line ${lineNumber}: at: after the end of the trace`);
  }
  if (event.type === 'arrival' && arrivedIds.has(event.id)) {
    return fail('bad-document', `line ${lineNumber}: id: ${event.id} has already arrived`);
  }
  if (event.type === 'arrival') {
    arrivedIds.add(event.id);
  }
  const unknown =
    event.type === 'cancellation' ? event.ids.find((id) => !arrivedIds.has(id)) : undefined;
  return unknown === undefined
    ? Ok(event)
    : fail('bad-document', `line ${lineNumber}: ids: ${unknown} has not arrived`);
}
