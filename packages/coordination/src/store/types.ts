import type { AppError, Millis, Result } from '@turmerichoist/core';

/** Version of a row. It increases with each write of the row; 0 means that the row is absent. */
export type RowVersion = number;

/** A value that can be represented in JSON. */
export type JsonValue =
  null | boolean | number | string | readonly JsonValue[] | { readonly [name: string]: JsonValue };

/** Largest encoded value of a row. A transaction with a larger one is rejected as a whole. */
export const MAX_VALUE_BYTES = 65_536;

export interface Row {
  readonly key: string;
  readonly version: RowVersion;
  readonly value: JsonValue;
}

export interface Condition {
  readonly key: string;
  /** The row must have exactly this version; 0 means that it must be absent. */
  readonly version: RowVersion;
}

export interface Write {
  readonly key: string;
  /** The new value; null deletes the row. */
  readonly value: JsonValue;
}

/** Writes that are applied atomically if all conditions hold. */
export interface Transaction {
  /** Unique for each transaction, so that an unknown outcome can be resolved later. */
  readonly txnId: string;
  readonly conditions: readonly Condition[];
  readonly writes: readonly Write[];
}

export type TxnOutcome =
  | { readonly committed: true; readonly versions: Readonly<Record<string, RowVersion>> }
  /** Nothing was written; `failed` lists the keys whose conditions did not hold. */
  | { readonly committed: false; readonly failed: readonly string[] };

/**
 * The platform's transactional table service.
 * Errors: `store-unavailable` when it can't be reached (for `commit`: the transaction did not take
 * effect), `outcome-unknown` when a transaction may have taken effect, `store-rejected` when the
 * call itself is invalid.
 */
export interface TableStore {
  commit(txn: Transaction, signal: AbortSignal): Promise<Result<TxnOutcome, AppError>>;
  /** Reads rows by key. Absent rows are left out. */
  read(keys: readonly string[], signal: AbortSignal): Promise<Result<readonly Row[], AppError>>;
  /** Reads up to `limit` rows whose key starts with `prefix` and sorts after `after`. */
  range(
    prefix: string,
    after: string,
    limit: number,
    signal: AbortSignal,
  ): Promise<Result<readonly Row[], AppError>>;
}

/** A change of a row; `value` is undefined when the row was removed. */
export interface RowChange {
  readonly key: string;
  readonly version: RowVersion;
  readonly value: JsonValue | undefined;
}

/** Rows of one table, and the position from which to request later changes. */
export interface TableSnapshot {
  readonly rows: readonly Row[];
  readonly position: RowVersion;
}

/** Changes of one table, and the position from which to request later ones. */
export interface TableChanges {
  readonly rows: readonly RowChange[];
  readonly position: RowVersion;
}

/**
 * Change notification of a table service. A table is the part of a key before its first `/`.
 * Errors: `store-unavailable`, and `revision-gone` when the changes since a position are no longer
 * retained, after which a new snapshot must be read.
 */
export interface ChangeFeed {
  snapshot(table: string, signal: AbortSignal): Promise<Result<TableSnapshot, AppError>>;
  /** Waits up to `waitMs` for at least one change after `position`. */
  changes(
    table: string,
    position: RowVersion,
    waitMs: Millis,
    signal: AbortSignal,
  ): Promise<Result<TableChanges, AppError>>;
}

/** The platform's object store. Errors: `store-unavailable`, `outcome-unknown`, `not-found`. */
export interface ObjectStore {
  put(name: string, bytes: Uint8Array, signal: AbortSignal): Promise<Result<void, AppError>>;
  get(name: string, signal: AbortSignal): Promise<Result<Uint8Array, AppError>>;
  remove(name: string, signal: AbortSignal): Promise<Result<void, AppError>>;
  list(prefix: string, signal: AbortSignal): Promise<Result<readonly string[], AppError>>;
}

/** An instance in the platform's list. */
export interface ListedInstance {
  readonly id: string;
  readonly address: string;
  readonly zone: string;
  readonly state: 'live' | 'leaving';
}

/** The platform's list of instances, which may be outdated. Errors: `store-unavailable`. */
export interface InstanceList {
  instances(signal: AbortSignal): Promise<Result<readonly ListedInstance[], AppError>>;
}
