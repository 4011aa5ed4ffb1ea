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

/** Rows read in one call. */
const PAGE_ROWS = 500;
/** Snapshots tried, newest first, before the resource rows are read instead. */
const MAX_SNAPSHOT_TRIES = 3;
/** Times that the resource rows are read again because the head moved meanwhile. */
const MAX_ROW_TRIES = 5;

/** Reads the parts of a configuration from the platform's services. Errors as in `TableStore`. */
export class ConfigLoader {
  readonly #store: TableStore;
  readonly #objects: ObjectStore;
  readonly #log: Logger;

  constructor(store: TableStore, objects: ObjectStore, log: Logger) {
    this.#store = store;
    this.#objects = objects;
    this.#log = log;
  }

  async head(signal: AbortSignal): Promise<Result<LogHead, AppError>> {
    const read = await this.#store.read([HEAD_KEY], signal);
    return read.andThen((rows) => decodeHead(rows[0]));
  }

  /** One page of log entries after `revision`. */
  async entriesAfter(
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

  /** The newest undamaged snapshot above `revision`; `not-found` when there is none. */
  async snapshotAbove(
    revision: Revision,
    signal: AbortSignal,
  ): Promise<Result<Configuration, AppError>> {
    const listed = await this.#objects.list(SNAPSHOT_PREFIX, signal);
    if (listed.isErr()) {
      return listed;
    }
    const newer = listed.value.filter((name) => name > snapshotName(revision)).toSorted();
    for (const name of newer.reverse().slice(0, MAX_SNAPSHOT_TRIES)) {
      const loaded = await this.snapshot(name, signal);
      if (loaded.isOk()) {
        return loaded;
      }
      this.#log.warn('snapshot passed over', { name, detail: loaded.error.detail });
    }
    return fail('not-found', 'no usable snapshot');
  }

  /** One snapshot by its name; `store-rejected` when it is damaged. */
  async snapshot(name: string, signal: AbortSignal): Promise<Result<Configuration, AppError>> {
    const got = await this.#objects.get(name, signal);
    return got.andThen((bytes) => decodeSnapshot(bytes));
  }

  /** The configuration from the resource rows, for when neither log nor snapshots reach back. */
  async fromRows(signal: AbortSignal): Promise<Result<Configuration, AppError>> {
    for (let attempt = 0; attempt < MAX_ROW_TRIES; attempt++) {
      const before = await this.head(signal);
      const rows = await this.#allRows(RESOURCE_PREFIX, signal);
      const after = await this.head(signal);
      if (before.isErr() || rows.isErr() || after.isErr()) {
        return fail('store-unavailable', 'resource rows');
      }
      if (before.value.version === after.value.version) {
        const resources = rows.value.map((row) => row.value as unknown as Resource);
        return Ok(Configuration.of(before.value.revision, resources));
      }
    }
    return fail('store-unavailable', 'the configuration kept changing');
  }

  async #allRows(prefix: string, signal: AbortSignal): Promise<Result<readonly Row[], AppError>> {
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
