import { z } from 'zod';
import type { Millis, ResourceKind, Revision } from '@turmerichoist/core';
import type { JsonValue } from '../store/types.js';

/** One resource that a change touched or would have touched; null where it is absent. */
export interface Difference {
  readonly kind: string;
  readonly name: string;
  readonly from: JsonValue;
  readonly to: JsonValue;
}

/** Who asked for what, when, and what became of it. */
export interface AuditRecord {
  readonly id: string;
  readonly actor: string;
  /** Wall-clock time, for people. */
  readonly wallMs: Millis;
  readonly outcome: 'accepted' | 'refused';
  /** Why it was refused. */
  readonly reason?: string;
  /** The revision that an accepted change made. */
  readonly revision?: Revision;
  readonly differences: readonly Difference[];
}

const differenceSchema = z.object({
  kind: z.string(),
  name: z.string(),
  from: z.custom<JsonValue>(),
  to: z.custom<JsonValue>(),
});

export const auditRecordSchema = z.object({
  id: z.string(),
  actor: z.string(),
  wallMs: z.number(),
  outcome: z.enum(['accepted', 'refused']),
  reason: z.string().exactOptional(),
  revision: z.int().exactOptional(),
  differences: z.array(differenceSchema),
});

/** Selects audit records; a field that is left out selects all. */
export interface AuditQuery {
  readonly actor?: string;
  readonly team?: string;
  readonly resource?: { readonly kind: ResourceKind; readonly name: string };
  /** Earliest and latest wall-clock time, both included. */
  readonly fromMs?: Millis;
  readonly toMs?: Millis;
}

export function matchesQuery(record: AuditRecord, query: AuditQuery): boolean {
  const touches = (kind: string, name: string): boolean =>
    record.differences.some((difference) => difference.kind === kind && difference.name === name);
  return (
    (query.actor === undefined || record.actor === query.actor) &&
    (query.team === undefined || touches('team', query.team)) &&
    (query.resource === undefined || touches(query.resource.kind, query.resource.name)) &&
    record.wallMs >= (query.fromMs ?? -Infinity) &&
    record.wallMs <= (query.toMs ?? Infinity)
  );
}
