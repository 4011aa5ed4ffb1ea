import {
  Configuration,
  Ok,
  fail,
  type AppError,
  type Resource,
  type Result,
  type Revision,
} from '@turmerichoist/core';
import type { Logger } from '@turmerichoist/runtime';
import {
  HEAD_KEY,
  LOG_PREFIX,
  RESOURCE_PREFIX,
  decodeHead,
  decodeLogEntry,
  logKey,
  type LogHead,
  type LogEntry,
} from '../state/config-log.js';
import { SNAPSHOT_PREFIX, decodeSnapshot, snapshotName } from '../state/config-replica.js';
import type { ObjectStore, Row, TableStore } from '../store/index.js';

/** Maximum number of rows per read. */
const PAGE_ROWS = 500;
/** Snapshots to try, newest first, before falling back to the resource rows. */
const MAX_SNAPSHOT_ATTEMPTS = 3;
/** Attempts to read the resource rows without the head changing during the read. */
const MAX_ROW_READ_ATTEMPTS = 5;

/**
 * Reads the configuration log, snapshots and resource rows from the platform's services. Errors as
 * in `TableStore`.
 */
export class ConfigLoader {
  readonly #store: TableStore;
  readonly #objects: ObjectStore;
  readonly #log: Logger;

  constructor(store: TableStore, objects: ObjectStore, log: Logger) {
    this.#store = store;
    this.#objects = objects;
    this.#log = log;
  }

  async readHead(signal: AbortSignal): Promise<Result<LogHead, AppError>> {
    const read = await this.#store.read([HEAD_KEY], signal);
    return read.andThen((rows) => decodeHead(rows[0]));
  }

  /** Reads one page of the log entries after `revision`. */
  async readEntriesAfter(
    revision: Revision,
    signal: AbortSignal,
  ): Promise<Result<readonly LogEntry[], AppError>> {
    const read = await this.#store.range(LOG_PREFIX, logKey(revision), PAGE_ROWS, signal);
    if (read.isErr()) {
      return read;
    }
    const entries: LogEntry[] = [];
    for (const row of read.value) {
      const decoded = decodeLogEntry(row);
      if (decoded.isErr()) {
        return decoded;
      }
      entries.push(decoded.value);
    }
    return Ok(entries);
  }

  /** Loads the newest undamaged snapshot after `revision`; `not-found` when there is none. */
  async loadNewestSnapshotAfter(
    revision: Revision,
    signal: AbortSignal,
  ): Promise<Result<Configuration, AppError>> {
    const listed = await this.#objects.list(SNAPSHOT_PREFIX, signal);
    if (listed.isErr()) {
      return listed;
    }
    const newer = listed.value.filter((name) => name > snapshotName(revision)).toSorted();
    for (const name of newer.reverse().slice(0, MAX_SNAPSHOT_ATTEMPTS)) {
      const loaded = await this.loadSnapshot(name, signal);
      if (loaded.isOk()) {
        return loaded;
      }
      this.#log.warn('skipping unusable snapshot', { name, detail: loaded.error.detail });
    }
    return fail('not-found', 'no usable snapshot');
  }

  /** Loads a snapshot by name; `store-rejected` when it is damaged. */
  async loadSnapshot(name: string, signal: AbortSignal): Promise<Result<Configuration, AppError>> {
    const got = await this.#objects.get(name, signal);
    return got.andThen((bytes) => decodeSnapshot(bytes));
  }

  /**
   * Builds the configuration from the resource rows, for when neither the log nor a snapshot covers
   * the required revisions. The head is read before and after the rows to get a consistent state.
   */
  async loadFromRows(signal: AbortSignal): Promise<Result<Configuration, AppError>> {
    for (let attempt = 0; attempt < MAX_ROW_READ_ATTEMPTS; attempt++) {
      const before = await this.readHead(signal);
      const rows = await this.#readAllRows(RESOURCE_PREFIX, signal);
      const after = await this.readHead(signal);
      if (before.isErr() || rows.isErr() || after.isErr()) {
        return fail('store-unavailable', 'resource rows not readable');
      }
      if (before.value.version === after.value.version) {
        const resources = rows.value.map((row) => row.value as unknown as Resource);
        return Ok(Configuration.of(before.value.revision, resources));
      }
    }
    return fail('store-unavailable', 'configuration changed during each attempt to read it');
  }

  async #readAllRows(
    prefix: string,
    signal: AbortSignal,
  ): Promise<Result<readonly Row[], AppError>> {
    const rows: Row[] = [];
    let after = '';
    for (;;) {
      const page = await this.#store.range(prefix, after, PAGE_ROWS, signal);
      if (page.isErr()) {
        return page;
      }
      rows.push(...page.value);
      after = page.value.at(-1)?.key ?? after;
      if (page.value.length < PAGE_ROWS) {
        return Ok(rows);
      }
    }
  }
}
