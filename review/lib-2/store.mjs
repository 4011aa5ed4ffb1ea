/** The platform's store as PROTOCOL.md describes it, in memory. */
import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { serveJson } from './http.mjs';

const TRANSACTION_MS = 8;
const ANSWER_MS = 4;
const PAGE_ROWS = 500;
const PAGE_BYTES = 1_000_000;
const ROW_BYTES = 65_536;

const placeOf = ({ table, part = '' }) => `${table}\n${part}`;
const idOf = (ref) => `${placeOf(ref)}\n${ref.key}`;

export class Store {
  /** Factor by which answers take longer. */
  slowness = 1;
  #rows = new Map();
  /** Keys in order by table and part; undefined once a key was added or removed. */
  #sortedKeys = new Map();
  /** Keys by table and part. */
  #keys = new Map();
  #changes = new Map();
  #waiters = new Set();
  #queues = new Map();
  #version = 0;
  #server;

  async open() {
    this.#server = await serveJson((req) => this.#handle(req));
    this.port = this.#server.address().port;
  }

  get address() {
    return `127.0.0.1:${this.port}`;
  }

  /** Writes a row as an operator or an executor does. */
  put(table, key, value) {
    const encoded = Buffer.from(JSON.stringify(value)).toString('base64');
    this.#apply([{ table, part: '', key, value: encoded }]);
  }

  /** Decoded value of a row; undefined without one. */
  get(table, part, key) {
    const row = this.#rows.get(idOf({ table, part, key }));
    return row?.value === undefined
      ? undefined
      : JSON.parse(Buffer.from(row.value, 'base64').toString());
  }

  async #handle({ method, path, query, body }) {
    const route = `${method} ${path}`;
    if (route === 'POST /-/rows-tx') {
      return this.#transact(body);
    }
    if (route === 'GET /-/rows-feed') {
      return this.#feed(query);
    }
    await sleep(ANSWER_MS * this.slowness);
    if (route === 'GET /-/rows-get') {
      return this.#page(query);
    }
    if (route === 'GET /-/rows-parts') {
      const table = query.get('table');
      const parts = [...this.#rows.values()].filter((row) => row.table === table);
      return this.#ok({ parts: [...new Set(parts.map(({ part }) => part))].sort() });
    }
    return { status: 404 };
  }

  /** Transactions of one part are carried out one after another. */
  async #transact({ expect = [], writes = [], remove = [] }) {
    const part = [...expect, ...writes, ...remove][0]?.part ?? '';
    const before = this.#queues.get(part) ?? Promise.resolve();
    const turn = before.then(() => sleep(TRANSACTION_MS * this.slowness));
    this.#queues.set(part, turn);
    await turn;
    if (writes.some(({ value }) => value.length > ROW_BYTES * 2)) {
      return { status: 400 };
    }
    const present = expect.map((ref) => this.#rows.get(idOf(ref)) ?? { ...ref, ver: 0 });
    if (present.some(({ ver }, index) => ver !== expect[index].ver)) {
      return { status: 412, body: { rows: present.filter(({ ver }) => ver > 0) } };
    }
    this.#apply([...writes, ...remove.map((ref) => ({ ...ref, deleted: true }))]);
    return this.#ok({});
  }

  #apply(writes) {
    this.#version += 1;
    for (const write of writes) {
      const row = { ...write, part: write.part ?? '', ver: this.#version };
      this.#store(row);
      const changes = this.#changes.get(row.table) ?? [];
      changes.push(row);
      this.#changes.set(row.table, changes);
    }
    const tables = new Set(writes.map(({ table }) => table));
    for (const waiter of this.#waiters) {
      if (tables.has(waiter.table)) {
        waiter.wake();
      }
    }
  }

  #store(row) {
    const id = idOf(row);
    const place = placeOf(row);
    const keys = this.#keys.get(place) ?? new Set();
    this.#keys.set(place, keys);
    if (row.deleted || !keys.has(row.key)) {
      this.#sortedKeys.delete(place);
    }
    if (row.deleted) {
      this.#rows.delete(id);
      keys.delete(row.key);
    } else {
      this.#rows.set(id, row);
      keys.add(row.key);
    }
  }

  /** Keys of a table and part from `start` on, in ascending order. */
  #keysFrom(place, start) {
    const sorted = this.#sortedKeys.get(place) ?? [...(this.#keys.get(place) ?? [])].sort();
    this.#sortedKeys.set(place, sorted);
    let [low, high] = [0, sorted.length];
    while (low < high) {
      const middle = (low + high) >> 1;
      if (sorted[middle] < start) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return sorted.slice(low, low + PAGE_ROWS + 1);
  }

  #page(query) {
    const [table, part] = [query.get('table'), query.get('part') ?? ''];
    const start = query.get('startKey') ?? '';
    const target = query.get('target');
    const limit = Math.min(PAGE_ROWS, Number(query.get('limit') ?? PAGE_ROWS));
    if (limit === 1) {
      const exact = this.#rows.get(idOf({ table, part, key: start }));
      if (exact !== undefined) {
        return this.#ok({ rows: [exact], hasMore: false });
      }
    }
    const found = this.#keysFrom(placeOf({ table, part }), start)
      .filter((key) => target === null || key < target)
      .map((key) => this.#rows.get(idOf({ table, part, key })));
    const rows = [];
    let bytes = 0;
    for (const row of found) {
      bytes += row.value.length;
      if (rows.length >= limit || (rows.length > 0 && bytes > PAGE_BYTES)) {
        break;
      }
      rows.push(row);
    }
    return this.#ok({ rows, hasMore: rows.length < found.length });
  }

  async #feed(query) {
    const table = query.get('table');
    const after = Number(query.get('after'));
    if (this.#changedAfter(table, after).length === 0) {
      await this.#wait(table, Math.min(30_000, Number(query.get('waitMs') ?? 0)));
    }
    await sleep(ANSWER_MS * this.slowness);
    return this.#ok({ rows: this.#changedAfter(table, after) });
  }

  #wait(table, waitMs) {
    return new Promise((resolve) => {
      const waiter = {
        table,
        wake: () => {
          this.#waiters.delete(waiter);
          resolve();
        },
      };
      this.#waiters.add(waiter);
      void sleep(waitMs).then(waiter.wake);
    });
  }

  #changedAfter(table, version) {
    const changes = this.#changes.get(table) ?? [];
    return changes.slice(changes.findLastIndex(({ ver }) => ver <= version) + 1);
  }

  #ok(body) {
    return { status: 200, body: { ...body, ver: this.#version, nowMs: performance.now() } };
  }
}
