import { z } from 'zod';
import type { Millis, ResourceKind, Revision } from '@turmerichoist/core';
import type { JsonValue } from '../store/types.js';

/** The spec of one resource before and after a change, accepted or refused; null where absent. */
export interface Difference {
  readonly kind: string;
  readonly name: string;
  readonly from: JsonValue;
  readonly to: JsonValue;
}

/** Records who requested which change, when, and with which outcome. */
export interface AuditRecord {
  readonly id: string;
  readonly actor: string;
  /** Wall-clock time of the request. */
  readonly wallMs: Millis;
  readonly outcome: 'accepted' | 'refused';
  /** Why the change was refused. */
  readonly reason?: string;
  /** The revision that an accepted change created. */
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

/** Filter for audit records; an absent field matches all. */
export interface AuditQuery {
  readonly actor?: string;
  readonly team?: string;
  readonly resource?: { readonly kind: ResourceKind; readonly name: string };
  /** Range of wall-clock times, both ends included. */
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
