import {
  MemoryTableStore,
  mergeSnapshots,
  type ChangeFeed,
  type JsonValue,
  type TableStore,
  type Transaction,
} from '@turmerichoist/coordination';
import { fail, Ok, type Millis } from '@turmerichoist/core';
import { sleep } from '@turmerichoist/runtime';

const FEED_CHECK_MS: Millis = 5;

interface LoggedChange {
  readonly part: string;
  readonly key: string;
  readonly value: JsonValue;
}

export interface SnapshotEvent {
  readonly type: 'begin' | 'end';
  readonly table: string;
}

/** In-memory tables in several parts, with one log of changes and a record of all commits. */
export class PartedTables {
  /** Attempted transactions, in order. */
  readonly commits: { readonly part: string; readonly txn: Transaction }[] = [];
  /** Table of which no changes and no snapshots can be read. */
  unreadable: string | undefined;
  /** Time that a snapshot takes, by table. */
  readonly snapshotDelaysMs = new Map<string, Millis>();
  /** Beginnings and ends of snapshots, in order. */
  readonly snapshots: readonly SnapshotEvent[];
  readonly #snapshots: SnapshotEvent[] = [];
  readonly #stores = new Map<string, MemoryTableStore>();
  readonly #changes: LoggedChange[] = [];

  constructor() {
    this.snapshots = this.#snapshots;
  }

  open(part: string): TableStore & ChangeFeed {
    const store = this.#store(part);
    return {
      commit: async (txn, signal) => {
        this.commits.push({ part, txn });
        const done = await store.commit(txn, signal);
        if (done.isOk() && done.value.committed) {
          this.#changes.push(...txn.writes.map(({ key, value }) => ({ part, key, value })));
        }
        return done;
      },
      read: (keys, signal) => store.read(keys, signal),
      range: (prefix, after, limit, signal) => store.range(prefix, after, limit, signal),
      ...this.feed([part]),
    };
  }

  feed(parts: readonly string[]): ChangeFeed {
    return {
      snapshot: async (table, signal) => {
        this.#snapshots.push({ type: 'begin', table });
        await sleep(this.snapshotDelaysMs.get(table) ?? 0, signal);
        this.#snapshots.push({ type: 'end', table });
        if (table === this.unreadable) {
          await sleep(FEED_CHECK_MS, signal);
          return fail('store-unavailable');
        }
        const position = this.#changes.length;
        const snapshots = parts.map((part) => ({
          rows: this.#store(part).state.range(`${table}/`, '', Infinity),
          position,
        }));
        return Ok(mergeSnapshots(snapshots));
      },
      changes: async (table, position, waitMs, signal) => {
        for (let waited = 0; waited < waitMs && !signal.aborted; waited += FEED_CHECK_MS) {
          const readable = table !== this.unreadable;
          if (!readable || this.#since(parts, table, position).length > 0) {
            break;
          }
          await sleep(FEED_CHECK_MS, signal);
        }
        if (table === this.unreadable) {
          return fail('store-unavailable');
        }
        const rows = this.#since(parts, table, position);
        return Ok({ rows, position: this.#changes.length });
      },
    };
  }

  /** Keys of all rows of a table with the names of their parts. */
  rowsOf(table: string): readonly { readonly part: string; readonly key: string }[] {
    return [...this.#stores].flatMap(([part, { state }]) =>
      state.range(`${table}/`, '', Infinity).map(({ key }) => ({ part, key })),
    );
  }

  #store(part: string): MemoryTableStore {
    const store = this.#stores.get(part) ?? new MemoryTableStore();
    this.#stores.set(part, store);
    return store;
  }

  #since(parts: readonly string[], table: string, position: number) {
    return this.#changes
      .slice(position)
      .filter(({ part, key }) => parts.includes(part) && key.startsWith(`${table}/`))
      .map(({ key, value }, i) => ({ key, value, version: position + i + 1 }));
  }
}
