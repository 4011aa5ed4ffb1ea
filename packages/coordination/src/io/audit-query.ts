import { Ok, type AppError, type Result } from '@turmerichoist/core';
import {
  AUDIT_PREFIX,
  REFUSED_PREFIX,
  decodeAuditBatch,
  decodeRefusals,
} from '../state/audit-export.js';
import { matchesQuery, type AuditQuery, type AuditRecord } from '../state/audit-record.js';
import { LOG_PREFIX, decodeLogEntry } from '../state/config-log.js';
import type { ObjectStore, Row, TableStore } from '../store/index.js';

const PAGE_ROWS = 500;

/**
 * Finds audit records in table rows and in exported batches, oldest first. The rows are read first,
 * so that a record exported in between is found in at least one place. Records found in both are
 * returned once. Errors as in `TableStore` and `ObjectStore`.
 */
export async function queryAudit(
  store: TableStore,
  objects: ObjectStore,
  query: AuditQuery,
  signal: AbortSignal,
): Promise<Result<readonly AuditRecord[], AppError>> {
  const log = await readAllRows(store, LOG_PREFIX, signal);
  if (log.isErr()) {
    return log;
  }
  const refused = await readAllRows(store, REFUSED_PREFIX, signal);
  if (refused.isErr()) {
    return refused;
  }
  const exported = await readExportedRecords(objects, signal);
  if (exported.isErr()) {
    return exported;
  }
  const live = log.value.flatMap((row) =>
    decodeLogEntry(row)
      .map(({ audit }) => [audit])
      .unwrapOr([]),
  );
  const all = [...exported.value, ...live, ...refused.value.flatMap(decodeRefusals)];
  const unique = new Map(all.map((record) => [record.id, record]));
  const found = [...unique.values()].filter((record) => matchesQuery(record, query));
  return Ok(found.toSorted((a, b) => a.wallMs - b.wallMs));
}

async function readExportedRecords(
  objects: ObjectStore,
  signal: AbortSignal,
): Promise<Result<readonly AuditRecord[], AppError>> {
  const listed = await objects.list(AUDIT_PREFIX, signal);
  if (listed.isErr()) {
    return listed;
  }
  const records: AuditRecord[] = [];
  for (const name of listed.value) {
    const got = await objects.get(name, signal);
    if (got.isErr()) {
      return got;
    }
    // The rows of a truncated batch have not been deleted from the table and are found there.
    records.push(...decodeAuditBatch(got.value).unwrapOr([]));
  }
  return Ok(records);
}

async function readAllRows(
  store: TableStore,
  prefix: string,
  signal: AbortSignal,
): Promise<Result<readonly Row[], AppError>> {
  const rows: Row[] = [];
  for (;;) {
    const page = await store.range(prefix, rows.at(-1)?.key ?? '', PAGE_ROWS, signal);
    if (page.isErr()) {
      return page;
    }
    rows.push(...page.value);
    if (page.value.length < PAGE_ROWS) {
      return Ok(rows);
    }
  }
}
