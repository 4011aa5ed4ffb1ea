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

/** Period of the export. */
const EXPORT_PERIOD_MS = 10_000;
/** Rows of one batch. */
export const EXPORT_BATCH_ROWS = 200;
/** Changes between two snapshots; about five a day at design size. */
export const SNAPSHOT_EVERY = 100;
/** Snapshots kept, so that a damaged newest one has predecessors. */
const SNAPSHOTS_KEPT = 3;

export interface AuditExporterOptions {
  readonly store: TableStore;
  readonly objects: ObjectStore;
  readonly newId: () => string;
  readonly refresh: () => Promise<Result<ReplicaView, AppError>>;
  /** The holding of the role `audit`, checked right before each act; undefined when not held. */
  readonly holding: () => Holding | undefined;
}

/**
 * Copies log rows and refusals to the object store, and deletes them from the table only after the
 * copy was read back and, for log rows, a readable snapshot covers them. Every step can be repeated,
 * so a death between two of them loses nothing. A repeated batch may overlap the one before; a
 * query returns each record once.
 */
export class AuditExporter extends Actor<{ readonly type: 'tick' }> {
  readonly #options: AuditExporterOptions;
  readonly #loader: ConfigLoader;

  constructor(options: AuditExporterOptions, context: ActorContext) {
    super('audit', context);
    this.#options = options;
    this.#loader = new ConfigLoader(options.store, options.objects, this.log);
  }

  /** Starts the timer. */
  start(): void {
    every(EXPORT_PERIOD_MS, this.signal, () => {
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
      () => this.#snapshot(),
      () => this.#trimLog(),
    ];
    for (const step of steps) {
      const done = await step();
      if (done.isErr()) {
        this.log.warn('audit step failed', { err: done.error.kind, detail: done.error.detail });
        return;
      }
    }
  }

  async #exportLog(): Promise<Result<void, AppError>> {
    const exported = await this.#exported();
    if (exported.isErr()) {
      return exported;
    }
    const read = await this.#loader.entriesAfter(exported.value, this.signal);
    if (read.isErr() || read.value.length === 0) {
      return read.map(() => undefined);
    }
    const entries = read.value;
    const from = entries[0]?.revision ?? 0;
    const to = entries.at(-1)?.revision ?? 0;
    const records = entries.map(({ audit }) => audit);
    const stored = await this.#store(auditObjectName(from, to), encodeAuditBatch(records));
    if (stored.isErr()) {
      return stored;
    }
    return this.#write([{ key: EXPORTED_KEY, value: { revision: to } }]);
  }

  async #exportRefusals(): Promise<Result<void, AppError>> {
    const read = await this.#range(REFUSED_PREFIX, '');
    if (read.isErr()) {
      return read;
    }
    for (const row of read.value) {
      const stored = await this.#store(
        refusalsObjectName(row),
        encodeAuditBatch(decodeRefusals(row)),
      );
      if (stored.isErr()) {
        return stored;
      }
    }
    return this.#delete(read.value);
  }

  async #snapshot(): Promise<Result<void, AppError>> {
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
    if ((names.at(-1) ?? '') >= snapshotName(cfg.revision - SNAPSHOT_EVERY + 1)) {
      return Ok(undefined);
    }
    const stored = await this.#store(snapshotName(cfg.revision), encodeSnapshot(cfg));
    for (const old of stored.isOk() ? names.slice(0, 1 - SNAPSHOTS_KEPT) : []) {
      await this.#options.objects.remove(old, this.signal);
    }
    return stored;
  }

  /** Deletes log rows that are exported and below the newest readable snapshot. */
  async #trimLog(): Promise<Result<void, AppError>> {
    const exported = await this.#exported();
    const snapshot = await this.#loader.snapshotAbove(0, this.signal);
    if (exported.isErr() || snapshot.isErr()) {
      return exported.map(() => undefined);
    }
    const limit = Math.min(exported.value, snapshot.value.revision);
    const read = await this.#range(LOG_PREFIX, '');
    const old = read.map((rows) => rows.filter(({ key }) => key <= logKey(limit)));
    return old.isErr() ? old : this.#delete(old.value);
  }

  async #exported(): Promise<Result<Revision, AppError>> {
    const read = await this.#options.store.read([EXPORTED_KEY], this.signal);
    return read.map((rows) => decodeExportedRevision(rows[0]));
  }

  #range(prefix: string, after: string): Promise<Result<readonly Row[], AppError>> {
    return this.#options.store.range(prefix, after, EXPORT_BATCH_ROWS, this.signal);
  }

  /** Stores an object and reads it back, since an upload can be cut short. */
  async #store(name: string, bytes: Uint8Array): Promise<Result<void, AppError>> {
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

  #delete(rows: readonly Row[]): Promise<Result<void, AppError>> {
    return this.#write(rows.map(({ key }) => ({ key, value: null })));
  }

  /** Writes under the owner's fence, so that an owner that was paused changes nothing. */
  async #write(
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
