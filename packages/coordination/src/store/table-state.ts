import type { JsonValue, Row, RowVersion, Transaction, TxnOutcome } from './types.js';

/**
 * In-memory rows of a transactional table, in key order, without I/O. The version of a key keeps
 * increasing across deletions, so that a condition on an old version never holds for a row that was
 * deleted and written again.
 */
export class TableState {
  readonly #rows = new Map<string, Row>();
  readonly #lastVersions = new Map<string, RowVersion>();
  /** Keys of all rows, ascending by UTF-16 code units. */
  readonly #keys: string[] = [];

  get size(): number {
    return this.#rows.size;
  }

  /** Applies all writes if every condition holds, otherwise none. */
  commit(txn: Transaction): TxnOutcome {
    const failed = txn.conditions
      .filter(({ key, version }) => this.#versionOf(key) !== version)
      .map(({ key }) => key);
    if (failed.length > 0) {
      return { committed: false, failed };
    }
    const versions = txn.writes.map(({ key, value }) => [key, this.#write(key, value)] as const);
    return { committed: true, versions: Object.fromEntries(versions) };
  }

  /** The rows of `keys`, without absent ones. */
  read(keys: readonly string[]): readonly Row[] {
    return keys.map((key) => this.#rows.get(key)).filter((row) => row !== undefined);
  }

  /** Up to `limit` rows whose key starts with `prefix` and sorts after `after`. */
  range(prefix: string, after: string, limit: number): readonly Row[] {
    const found: Row[] = [];
    const from = after >= prefix ? this.#lowerBound(after, true) : this.#lowerBound(prefix, false);
    for (let at = from; at < this.#keys.length && found.length < limit; at++) {
      const key = this.#keys[at] ?? '';
      if (!key.startsWith(prefix)) {
        break;
      }
      found.push(...this.read([key]));
    }
    return found;
  }

  #versionOf(key: string): RowVersion {
    return this.#rows.get(key)?.version ?? 0;
  }

  #write(key: string, value: JsonValue): RowVersion {
    const existed = this.#rows.has(key);
    if (value === null) {
      if (existed) {
        this.#rows.delete(key);
        this.#keys.splice(this.#lowerBound(key, false), 1);
      }
      return 0;
    }
    if (!existed) {
      this.#keys.splice(this.#lowerBound(key, false), 0, key);
    }
    const version = (this.#lastVersions.get(key) ?? 0) + 1;
    this.#lastVersions.set(key, version);
    this.#rows.set(key, { key, version, value });
    return version;
  }

  /** Index of the first key that is not less than `key`, or greater than `key` when `strict`. */
  #lowerBound(key: string, strict: boolean): number {
    let low = 0;
    let high = this.#keys.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      const probe = this.#keys[middle] ?? '';
      if (probe < key || (strict && probe === key)) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}
