import { isDeepStrictEqual } from 'node:util';
import type { ExecutorInfo } from '@turmerichoist/core';
import type { RowChange } from '@turmerichoist/coordination';
import type { Logger, Metrics } from '@turmerichoist/runtime';
import type { RowCodec } from './ports.js';

/** Refused rows of one read that the log names; the others are only counted. */
const MAX_NAMED_ROWS = 10;

export interface ExecutorRegistryOptions {
  readonly codec: RowCodec;
  readonly log: Logger;
  readonly metrics: Metrics;
}

type DecodedRow =
  | { readonly type: 'executor'; readonly info: ExecutorInfo }
  | { readonly type: 'refused'; readonly reason: string };

/**
 * The executors that are registered in the platform's table. Each row is decoded alone: one that is
 * refused names no executor, and the others hold.
 */
export class ExecutorRegistry {
  readonly #options: ExecutorRegistryOptions;
  #rows: ReadonlyMap<string, DecodedRow> = new Map();

  constructor(options: ExecutorRegistryOptions) {
    this.#options = options;
  }

  /** Applies changes of the table. Returns all executors, or undefined if none has changed. */
  apply(changes: readonly RowChange[], snapshot: boolean): readonly ExecutorInfo[] | undefined {
    const before = this.#rows;
    const rows = new Map(snapshot ? [] : before);
    for (const change of changes) {
      if (change.value === undefined) {
        rows.delete(change.key);
      } else {
        rows.set(change.key, this.#decode(change));
      }
    }
    this.#rows = rows;
    const changedKeys = changes
      .map(({ key }) => key)
      .filter((key) => !isDeepStrictEqual(rows.get(key), before.get(key)));
    this.#reportRefused(changedKeys);
    const changed = changedKeys.length > 0 || rows.size !== before.size;
    return changed ? this.#executors : undefined;
  }

  get #executors(): readonly ExecutorInfo[] {
    return [...this.#rows.values()].flatMap((row) => (row.type === 'executor' ? [row.info] : []));
  }

  #decode(change: RowChange): DecodedRow {
    const decoded = this.#options.codec.executor(change);
    if (decoded.isOk()) {
      return { type: 'executor', info: decoded.value };
    }
    const { kind, detail = kind } = decoded.error;
    return { type: 'refused', reason: detail };
  }

  /** A row is named when it is first refused, and again for another reason. */
  #reportRefused(changedKeys: readonly string[]): void {
    const { log, metrics } = this.#options;
    const refused = [...this.#rows.values()].filter(({ type }) => type === 'refused');
    metrics.gauge('executors.refused_rows', refused.length);
    const named = changedKeys.flatMap((row) => {
      const decoded = this.#rows.get(row);
      return decoded?.type === 'refused' ? [{ row, reason: decoded.reason }] : [];
    });
    if (named.length > 0) {
      log.warn('executor rows refused', {
        count: named.length,
        rows: named.slice(0, MAX_NAMED_ROWS),
      });
    }
  }
}
