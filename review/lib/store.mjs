// A stand-in of the platform's store, as PROTOCOL.md describes it: rows, transactions and the feed.
import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { serveJson } from './http.mjs';

const MAX_PAGE_ROWS = 500;
const MAX_PAGE_BYTES = 1_000_000;
const MAX_ENTRIES = 100;
const MAX_TRANSACTION_BYTES = 1_000_000;
/** `rowBytes` of the settings. */
export const ROW_BYTES = 65_536;
/** `transactionMs` of the settings. */
export const TRANSACTION_MS = 8;
const ANSWER_MS = 4;

const idOf = ({ table, part = '', key }) => `${table}\n${part}\n${key}`;
const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Index of the first key that is not below `key`. */
function positionOf(keys, key) {
  let [low, high] = [0, keys.length];
  while (low < high) {
    const middle = (low + high) >> 1;
    [low, high] = keys[middle] < key ? [middle + 1, high] : [low, middle];
  }
  return low;
}

export class StandInStore {
  #rows = new Map();
  /** Keys by table and part, in ascending order. */
  #keys = new Map();
  /** Latest change of each row, in the order of their versions. */
  #changes = new Map();
  #version = 0;
  #waiters = new Set();
  /** End of the last transaction of each part. */
  #busy = new Map();
  #server;

  async listen(host, port) {
    this.#server = await serveJson(host, port, (call) => this.#handle(call));
    return this.#server.address;
  }

  close() {
    this.#server?.close();
  }

  /** Writes a row as another program. */
  put(table, key, value) {
    const encoded = Buffer.from(JSON.stringify(value)).toString('base64');
    this.#apply([{ table, part: '', key, value: encoded }], []);
  }

  /**
   * Adds rows as if they had been written long ago: calls that wait for changes do not show them.
   * Each is `{ table, part, key, value }`, with the encoded value.
   */
  addOld(rows) {
    for (const row of rows) {
      this.#rows.set(idOf(row), { ...row, ver: 1 });
      this.#keysOf(row).push(row.key);
    }
    this.#keys.forEach((keys) => keys.sort());
  }

  #keysOf({ table, part = '' }) {
    const name = `${table}\n${part}`;
    const keys = this.#keys.get(name) ?? [];
    this.#keys.set(name, keys);
    return keys;
  }

  /** The stored rows of a table, in all parts. */
  rowsOf(table) {
    return [...this.#rows.values()].filter((row) => row.table === table);
  }

  remove(table, key) {
    this.#apply([], [{ table, part: '', key }]);
  }

  /** Decoded value of a row; undefined without one. */
  get(table, part, key) {
    const row = this.#rows.get(idOf({ table, part, key }));
    return row === undefined ? undefined : JSON.parse(Buffer.from(row.value, 'base64').toString());
  }

  /** May answer a transaction otherwise: `(carryOut) => answer`. */
  interceptTransaction = (carryOut) => carryOut();

  /** While true, calls are turned away with 503. */
  down = false;

  async #handle({ path, query, body }) {
    if (this.down) {
      return { status: 503 };
    }
    if (path === '/-/rows-tx') {
      return this.interceptTransaction(() => this.#transact(body));
    }
    if (path === '/-/rows-get') {
      await pause(ANSWER_MS);
      return { status: 200, body: this.#page(query) };
    }
    if (path === '/-/rows-feed') {
      return this.#feed(query);
    }
    return { status: 404 };
  }

  async #transact({ expect = [], writes = [], remove = [] }) {
    const entries = [...expect, ...writes, ...remove];
    const bytes = JSON.stringify({ expect, writes, remove }).length;
    const parts = new Set(entries.map(({ part = '' }) => part));
    const tooLarge = writes.some(({ value }) => Buffer.from(value, 'base64').length > ROW_BYTES);
    if (
      entries.length > MAX_ENTRIES ||
      bytes > MAX_TRANSACTION_BYTES ||
      parts.size > 1 ||
      tooLarge
    ) {
      return { status: 400 };
    }
    if (writes.some(({ table }) => table === 'op' || table === 'servers')) {
      return { status: 403 };
    }
    const [part = ''] = parts;
    const before = this.#busy.get(part) ?? Promise.resolve();
    const after = before.then(() => pause(TRANSACTION_MS));
    this.#busy.set(part, after);
    await after;
    const current = expect.map((ref) => this.#rows.get(idOf(ref)));
    if (current.some((row, i) => (row?.ver ?? 0) !== expect[i].ver)) {
      return { status: 412, body: { rows: current.filter((row) => row !== undefined) } };
    }
    this.#apply(writes, remove);
    return { status: 200, body: { ver: this.#version, nowMs: performance.now() } };
  }

  #apply(writes, remove) {
    this.#version += 1;
    const ver = this.#version;
    for (const { table, part = '', key, value } of writes) {
      if (!this.#rows.has(idOf({ table, part, key }))) {
        const keys = this.#keysOf({ table, part });
        keys.splice(positionOf(keys, key), 0, key);
      }
      this.#rows.set(idOf({ table, part, key }), { table, part, key, value, ver });
      this.#change({ table, part, key, value, ver });
    }
    for (const { table, part = '', key } of remove) {
      if (this.#rows.delete(idOf({ table, part, key }))) {
        const keys = this.#keysOf({ table, part });
        keys.splice(positionOf(keys, key), 1);
      }
      this.#change({ table, part, key, ver, deleted: true });
    }
    this.#waiters.forEach((wake) => wake());
  }

  #change(row) {
    this.#changes.delete(idOf(row));
    this.#changes.set(idOf(row), row);
  }

  #page(query) {
    const [table, part] = [query.get('table'), query.get('part') ?? ''];
    const [start, end] = [query.get('startKey') ?? '', query.get('target')];
    const limit = Math.min(MAX_PAGE_ROWS, Number(query.get('limit') ?? MAX_PAGE_ROWS));
    const keys = this.#keysOf({ table, part });
    const first = positionOf(keys, start);
    const last = end === null ? keys.length : positionOf(keys, end);
    const rows = [];
    let bytes = 0;
    for (let i = first; i < last && rows.length < limit; i += 1) {
      const row = this.#rows.get(idOf({ table, part, key: keys[i] }));
      bytes += row.value.length;
      if (rows.length > 0 && bytes > MAX_PAGE_BYTES) {
        break;
      }
      rows.push(row);
    }
    return {
      rows,
      hasMore: first + rows.length < last,
      ver: this.#version,
      nowMs: performance.now(),
    };
  }

  async #feed(query) {
    const [table, after] = [query.get('table'), Number(query.get('after'))];
    const endsAt = performance.now() + Math.min(30_000, Number(query.get('waitMs') ?? 0));
    let rows = this.#changedSince(table, after);
    while (rows.length === 0 && performance.now() < endsAt) {
      await this.#nextChange(endsAt - performance.now());
      rows = this.#changedSince(table, after);
    }
    const ver = this.#version;
    await pause(ANSWER_MS);
    return { status: 200, body: { rows, ver, nowMs: performance.now() } };
  }

  #changedSince(table, after) {
    return [...this.#changes.values()].filter((row) => row.table === table && row.ver > after);
  }

  #nextChange(ms) {
    return new Promise((resolve) => {
      const timer = setTimeout(() => wake(), ms);
      const wake = () => {
        clearTimeout(timer);
        this.#waiters.delete(wake);
        resolve();
      };
      this.#waiters.add(wake);
    });
  }
}
