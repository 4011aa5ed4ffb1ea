import { z } from 'zod';
import { Ok, fail, type AppError, type Result, type Revision } from '@turmerichoist/core';
import type { JsonValue, Row } from '../store/types.js';
import { auditRecordSchema, type AuditRecord } from './audit-record.js';
import { padRevision } from './config-log.js';

export const AUDIT_PREFIX = 'audit/';
export const REFUSED_PREFIX = 'audit-refused/';
export const EXPORTED_KEY = 'audit/exported';

const batchSchema = z.object({ records: z.array(auditRecordSchema) });
const exportedSchema = z.object({ revision: z.int().min(0) });

/** Name of the object with the records of the revisions `from` to `to`. */
export function auditObjectName(from: Revision, to: Revision): string {
  return `${AUDIT_PREFIX}${padRevision(from)}-${padRevision(to)}`;
}

/** Name of the object with the records of one row of refused changes. */
export function refusalsObjectName(row: Row): string {
  return `${AUDIT_PREFIX}${row.key.replace('/', '-')}`;
}

export function encodeAuditBatch(records: readonly AuditRecord[]): Uint8Array {
  return new TextEncoder().encode(JSON.stringify({ records }));
}

/** Decodes an exported batch. Errors: `store-rejected` when it is corrupt. */
export function decodeAuditBatch(bytes: Uint8Array): Result<readonly AuditRecord[], AppError> {
  try {
    const parsed = batchSchema.safeParse(JSON.parse(new TextDecoder().decode(bytes)));
    return parsed.success
      ? Ok(parsed.data.records)
      : fail('store-rejected', 'the audit batch does not match the schema');
  } catch {
    return fail('store-rejected', 'the audit batch is not valid JSON');
  }
}

/** Encodes refused changes as the value of a row. */
export function encodeRefusals(records: readonly AuditRecord[]): JsonValue {
  return { records } as unknown as JsonValue;
}

/** Decodes the refused changes in a row; none when it does not match the schema. */
export function decodeRefusals(row: Row): readonly AuditRecord[] {
  return batchSchema.safeParse(row.value).data?.records ?? [];
}

/** Decodes the revision up to which the log has been exported; 0 when nothing has. */
export function decodeExportedRevision(row: Row | undefined): Revision {
  return exportedSchema.safeParse(row?.value).data?.revision ?? 0;
}
