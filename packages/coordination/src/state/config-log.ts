import { z } from 'zod';
import {
  Ok,
  validateConfiguration,
  fail,
  resourceKey,
  type AppError,
  type Change,
  type Configuration,
  type Millis,
  type Resource,
  type ResourceDocument,
  type ResourceKind,
  type Result,
  type Revision,
} from '@turmerichoist/core';
import type { JsonValue, Row, RowVersion, Transaction } from '../store/types.js';
import { auditRecordSchema, type AuditRecord, type Difference } from './audit-record.js';
import { canonicalJson } from './canonical-json.js';

export const HEAD_KEY = 'config/head';
export const LOG_PREFIX = 'config/log/';
export const RESOURCE_PREFIX = 'config/res/';

/** Revisions are zero-padded to this width in keys, so that keys sort by revision. */
const REVISION_DIGITS = 12;

/** Formats a revision for use in a key or an object name. */
export function padRevision(revision: Revision): string {
  return String(revision).padStart(REVISION_DIGITS, '0');
}

export function logKey(revision: Revision): string {
  return LOG_PREFIX + padRevision(revision);
}

/** An accepted change, stored as one row of the configuration log. */
export interface LogEntry {
  readonly revision: Revision;
  readonly changes: readonly Change[];
  readonly actor: string;
  /** Wall-clock time, for display only. */
  readonly wallMs: Millis;
  readonly audit: AuditRecord;
}

const headSchema = z.object({ revision: z.int().min(0) });
const logEntrySchema = z.object({
  revision: z.int().min(1),
  changes: z.array(z.custom<Change>()),
  actor: z.string(),
  wallMs: z.number(),
  audit: auditRecordSchema,
});

/** Head of the log: the latest revision and the version of the row that stores it. */
export interface LogHead {
  readonly revision: Revision;
  readonly version: RowVersion;
}

/** Decodes the head row; an absent row stands for the empty configuration. */
export function decodeHead(row: Row | undefined): Result<LogHead, AppError> {
  if (row === undefined) {
    return Ok({ revision: 0, version: 0 });
  }
  const parsed = headSchema.safeParse(row.value);
  return parsed.success
    ? Ok({ revision: parsed.data.revision, version: row.version })
    : fail('store-rejected', row.key);
}

/** Decodes a row of the log. Errors: `store-rejected` when it does not match the schema. */
export function decodeLogEntry(row: Row): Result<LogEntry, AppError> {
  const parsed = logEntrySchema.safeParse(row.value);
  return parsed.success ? Ok(parsed.data) : fail('store-rejected', row.key);
}

/** A configuration change as submitted by an operator. */
export interface ChangeRequest {
  /** Identifies the request in the audit trail. */
  readonly id: string;
  readonly actor: string;
  readonly wallMs: Millis;
  readonly documents: readonly ResourceDocument[];
  readonly removals: readonly Removal[];
}

export interface Removal {
  readonly kind: ResourceKind;
  readonly name: string;
  /** The version that the sender expects the resource to have. */
  readonly version?: Revision;
}

export interface PlannedChange {
  /** Undefined when the request changes nothing. */
  readonly entry: LogEntry | undefined;
  /** The configuration after the change. */
  readonly cfg: Configuration;
}

/**
 * Computes the change that a request makes to `cfg`.
 * Errors: `version-conflict` when a resource doesn't have the expected version, `not-found` when a
 * resource to be removed is absent, `bad-document` when a resource appears twice or the resulting
 * configuration would be inconsistent.
 */
export function planChange(
  cfg: Configuration,
  request: ChangeRequest,
): Result<PlannedChange, AppError> {
  const refusal = findRequestError(cfg, request);
  if (refusal !== undefined) {
    return refusal;
  }
  const revision = cfg.revision + 1;
  const changes = buildChanges(cfg, request, revision);
  if (changes.length === 0) {
    return Ok({ entry: undefined, cfg });
  }
  const next = cfg.with(revision, changes);
  return validateConfiguration(next).map(() => ({
    entry: buildLogEntry(cfg, request, revision, changes),
    cfg: next,
  }));
}

function findRequestError(
  cfg: Configuration,
  request: ChangeRequest,
): Result<never, AppError> | undefined {
  const targets = [...request.documents, ...request.removals];
  const keys = targets.map(({ kind, name }) => resourceKey(kind, name));
  const repeated = keys.find((key, index) => keys.indexOf(key) !== index);
  if (repeated !== undefined) {
    return fail('bad-document', `${repeated} appears more than once`);
  }
  const stale = targets.find(
    ({ kind, name, version }) =>
      version !== undefined && version !== (cfg.get(kind, name)?.version ?? 0),
  );
  if (stale !== undefined) {
    const actual = cfg.get(stale.kind, stale.name)?.version ?? 0;
    return fail('version-conflict', `${stale.kind}/${stale.name} has version ${actual}`);
  }
  const missing = request.removals.find(({ kind, name }) => cfg.get(kind, name) === undefined);
  return missing === undefined ? undefined : fail('not-found', `${missing.kind}/${missing.name}`);
}

function buildChanges(
  cfg: Configuration,
  request: ChangeRequest,
  revision: Revision,
): readonly Change[] {
  const puts = request.documents
    .filter(({ kind, name, spec }) => !sameSpec(cfg.get(kind, name)?.spec, spec))
    .map(({ kind, name, spec }): Change => {
      const resource = { kind, name, spec, version: revision } as Resource;
      return { op: 'put', resource };
    });
  const deletes = request.removals.map(({ kind, name }): Change => ({ op: 'delete', kind, name }));
  return [...puts, ...deletes];
}

function sameSpec(a: unknown, b: unknown): boolean {
  return a !== undefined && canonicalJson(a) === canonicalJson(b);
}

function buildLogEntry(
  cfg: Configuration,
  request: ChangeRequest,
  revision: Revision,
  changes: readonly Change[],
): LogEntry {
  const { id, actor, wallMs } = request;
  const differences = changes.map((change) => buildDifference(cfg, change));
  const audit = { id, actor, wallMs, outcome: 'accepted' as const, revision, differences };
  return { revision, changes, actor, wallMs, audit };
}

function buildDifference(cfg: Configuration, change: Change): Difference {
  const { kind, name } = change.op === 'put' ? change.resource : change;
  const from = (cfg.get(kind, name)?.spec ?? null) as JsonValue;
  const to = (change.op === 'put' ? change.resource.spec : null) as JsonValue;
  return { kind, name, from, to };
}

/** Builds the audit record of a refused request. */
export function buildRefusalRecord(
  cfg: Configuration,
  request: ChangeRequest,
  err: AppError,
): AuditRecord {
  const { id, actor, wallMs } = request;
  const targetSpecs = [
    ...request.documents.map(({ kind, name, spec }) => ({ kind, name, to: spec as JsonValue })),
    ...request.removals.map(({ kind, name }) => ({ kind, name, to: null })),
  ];
  const differences = targetSpecs.map(({ kind, name, to }) => {
    const from = (cfg.get(kind, name)?.spec ?? null) as JsonValue;
    return { kind, name, from, to };
  });
  const reason = err.detail === undefined ? err.kind : `${err.kind}: ${err.detail}`;
  return { id, actor, wallMs, outcome: 'refused', reason, differences };
}

/** Builds the transaction that appends `entry`; it commits only onto the given head. */
export function changeTransaction(entry: LogEntry, head: LogHead, txnId: string): Transaction {
  const resources = entry.changes.map((change) =>
    change.op === 'put'
      ? {
          key: RESOURCE_PREFIX + resourceKey(change.resource.kind, change.resource.name),
          value: change.resource as unknown as JsonValue,
        }
      : { key: RESOURCE_PREFIX + resourceKey(change.kind, change.name), value: null },
  );
  return {
    txnId,
    conditions: [{ key: HEAD_KEY, version: head.version }],
    writes: [
      { key: HEAD_KEY, value: { revision: entry.revision } },
      { key: logKey(entry.revision), value: entry as unknown as JsonValue },
      ...resources,
    ],
  };
}
