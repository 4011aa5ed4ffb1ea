import { Ok, fail, type AppError, type Result, type Revision } from '@turmerichoist/core';
import { Actor, every, type ActorContext } from '@turmerichoist/runtime';
import {
  EXPORTED_KEY,
  REFUSED_PREFIX,
  auditObjectName,
  encodeAuditBatch,
  decodeExportedRevision,
  refusalsObjectName,
  decodeRefusals,
} from '../state/audit-export.js';
import { LOG_PREFIX, logKey } from '../state/config-log.js';
import { SNAPSHOT_PREFIX, encodeSnapshot, snapshotName } from '../state/config-replica.js';
import { fencingCondition, type Holding } from '../state/ownership.js';
import type { ObjectStore, Row, TableStore } from '../store/index.js';
import { ConfigLoader } from './config-loader.js';
import type { ReplicaView } from './config-replica.js';

const EXPORT_INTERVAL_MS = 10_000;
/** Maximum number of rows per batch. */
export const EXPORT_BATCH_ROWS = 200;
/** Revisions between two snapshots. At design size this gives about five snapshots a day. */
export const SNAPSHOT_INTERVAL_REVISIONS = 100;
/** Number of snapshots retained, to fall back on when the newest one is damaged. */
const SNAPSHOTS_KEPT = 3;

export interface AuditExporterOptions {
  readonly store: TableStore;
  readonly objects: ObjectStore;
  readonly newId: () => string;
  readonly refresh: () => Promise<Result<ReplicaView, AppError>>;
  /** Current holding of the role `audit`; undefined when not held. Checked before each write. */
  readonly holding: () => Holding | undefined;
}

/**
 * Copies log rows and refusals to the object store. Deletes them from the table only after the copy
 * was read back and, for log rows, a readable snapshot covers them. Every step is idempotent, so a
 * crash between two steps loses nothing. A repeated batch may overlap the previous one; queries
 * deduplicate records by id.
 */
export class AuditExporter extends Actor<{ readonly type: 'tick' }> {
  readonly #options: AuditExporterOptions;
  readonly #loader: ConfigLoader;

  constructor(options: AuditExporterOptions, context: ActorContext) {
    super('audit', context);
    this.#options = options;
    this.#loader = new ConfigLoader(options.store, options.objects, this.log);
  }

  start(): void {
    every(EXPORT_INTERVAL_MS, this.signal, () => {
      this.post({ type: 'tick' });
    });
  }

  protected async receive(): Promise<void> {
    if (this.#options.holding() === undefined) {
      return;
    }
    const steps = [
      () => this.#exportLog(),
      () => this.#exportRefusals(),
      () => this.#writeSnapshotIfDue(),
      () => this.#trimLog(),
    ];
    for (const step of steps) {
      const done = await step();
      if (done.isErr()) {
        this.log.warn('audit export step failed', {
          err: done.error.kind,
          detail: done.error.detail,
        });
        return;
      }
    }
  }

  async #exportLog(): Promise<Result<void, AppError>> {
    const exported = await this.#readExportedRevision();
    if (exported.isErr()) {
      return exported;
    }
    const read = await this.#loader.readEntriesAfter(exported.value, this.signal);
    if (read.isErr() || read.value.length === 0) {
      return read.map(() => undefined);
    }
    const entries = read.value;
    const from = entries[0]?.revision ?? 0;
    const to = entries.at(-1)?.revision ?? 0;
    const records = entries.map(({ audit }) => audit);
    const stored = await this.#putVerified(auditObjectName(from, to), encodeAuditBatch(records));
    if (stored.isErr()) {
      return stored;
    }
    return this.#commitFenced([{ key: EXPORTED_KEY, value: { revision: to } }]);
  }

  async #exportRefusals(): Promise<Result<void, AppError>> {
    const read = await this.#readBatch(REFUSED_PREFIX, '');
    if (read.isErr()) {
      return read;
    }
    for (const row of read.value) {
      const stored = await this.#putVerified(
        refusalsObjectName(row),
        encodeAuditBatch(decodeRefusals(row)),
      );
      if (stored.isErr()) {
        return stored;
      }
    }
    return this.#deleteRows(read.value);
  }

  async #writeSnapshotIfDue(): Promise<Result<void, AppError>> {
    const view = await this.#options.refresh();
    const listed = await this.#options.objects.list(SNAPSHOT_PREFIX, this.signal);
    if (view.isErr()) {
      return view;
    }
    if (listed.isErr()) {
      return listed;
    }
    const { cfg } = view.value;
    const names = listed.value.toSorted();
    if ((names.at(-1) ?? '') >= snapshotName(cfg.revision - SNAPSHOT_INTERVAL_REVISIONS + 1)) {
      return Ok(undefined);
    }
    const stored = await this.#putVerified(snapshotName(cfg.revision), encodeSnapshot(cfg));
    for (const old of stored.isOk() ? names.slice(0, 1 - SNAPSHOTS_KEPT) : []) {
      await this.#options.objects.remove(old, this.signal);
    }
    return stored;
  }

  /** Deletes log rows that are both exported and covered by the newest readable snapshot. */
  async #trimLog(): Promise<Result<void, AppError>> {
    const exported = await this.#readExportedRevision();
    const snapshot = await this.#loader.loadNewestSnapshotAfter(0, this.signal);
    if (exported.isErr() || snapshot.isErr()) {
      return exported.map(() => undefined);
    }
    const limit = Math.min(exported.value, snapshot.value.revision);
    const read = await this.#readBatch(LOG_PREFIX, '');
    const old = read.map((rows) => rows.filter(({ key }) => key <= logKey(limit)));
    return old.isErr() ? old : this.#deleteRows(old.value);
  }

  async #readExportedRevision(): Promise<Result<Revision, AppError>> {
    const read = await this.#options.store.read([EXPORTED_KEY], this.signal);
    return read.map((rows) => decodeExportedRevision(rows[0]));
  }

  #readBatch(prefix: string, after: string): Promise<Result<readonly Row[], AppError>> {
    return this.#options.store.range(prefix, after, EXPORT_BATCH_ROWS, this.signal);
  }

  /** Stores an object and reads it back, because an upload can be truncated. */
  async #putVerified(name: string, bytes: Uint8Array): Promise<Result<void, AppError>> {
    const { objects } = this.#options;
    const put = await objects.put(name, bytes, this.signal);
    if (put.isErr()) {
      return put;
    }
    const got = await objects.get(name, this.signal);
    return got.andThen((stored) =>
      Buffer.compare(stored, bytes) === 0 ? Ok(undefined) : fail('store-rejected', name),
    );
  }

  #deleteRows(rows: readonly Row[]): Promise<Result<void, AppError>> {
    return this.#commitFenced(rows.map(({ key }) => ({ key, value: null })));
  }

  /** Writes on condition that the role is still held, so that a paused former owner can't write. */
  async #commitFenced(
    writes: readonly { readonly key: string; readonly value: Row['value'] }[],
  ): Promise<Result<void, AppError>> {
    const holding = this.#options.holding();
    if (holding === undefined || writes.length === 0) {
      return Ok(undefined);
    }
    const txn = { txnId: this.#options.newId(), conditions: [fencingCondition(holding)], writes };
    return (await this.#options.store.commit(txn, this.signal)).map(() => undefined);
  }
}
