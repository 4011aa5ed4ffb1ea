import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';
import { reply, serve } from './http.mjs';

const TRANSACTION_MS = 8;
const PAGE_ROWS = 500;
const ROW_BYTES = 65_536;
const MAX_ENTRIES = 100;
const MAX_CALL_BYTES = 1_000_000;

const idOf = ({ table, part = '', key }) => `${table}\n${part}\n${key}`;
const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** The platform's metadata store, as PROTOCOL.md tells it: rows, transactions and feeds. */
export class Store {
  #rows = new Map();
  #history = [];
  #waiters = new Set();
  #version = 0;

  async listen(host) {
    this.server = await serve(host, 0, (call) => this.#handle(call));
    this.address = `${host}:${this.server.address().port}`;
  }

  /** Writes a row as the operator or an executor does. */
  put(table, key, value) {
    const text = Buffer.from(JSON.stringify(value)).toString('base64');
    this.#apply([{ table, part: '', key, value: text }], []);
  }

  remove(table, key) {
    this.#apply([], [{ table, part: '', key }]);
  }

  /** The value of a row in the part without a name; undefined without the row. */
  get(table, key, part = '') {
    const row = this.#rows.get(idOf({ table, part, key }));
    return row && JSON.parse(Buffer.from(row.value, 'base64').toString('utf8'));
  }

  async #handle({ url, body, res }) {
    switch (url.pathname) {
      case '/-/rows-tx':
        return this.#transact(body, res);
      case '/-/rows-get':
        return this.#page(url.searchParams, res);
      case '/-/rows-feed':
        return this.#feed(url.searchParams, res);
      default:
        return reply(res, 404, {});
    }
  }

  async #transact({ expect = [], writes = [], remove = [] }, res) {
    await pause(TRANSACTION_MS);
    const entries = [...expect, ...writes, ...remove];
    const tooLarge =
      entries.length > MAX_ENTRIES ||
      JSON.stringify(entries).length > MAX_CALL_BYTES ||
      writes.some(({ value }) => Buffer.from(value, 'base64').length > ROW_BYTES);
    if (tooLarge || new Set(entries.map(({ part = '' }) => part)).size > 1) {
      return reply(res, 400, {});
    }
    if ([...writes, ...remove].some(({ table }) => table === 'op' || table === 'servers')) {
      return reply(res, 403, {});
    }
    const present = expect.map((ref) => this.#rows.get(idOf(ref)) ?? { ...ref, ver: 0 });
    if (present.some(({ ver }, index) => ver !== expect[index].ver)) {
      return reply(res, 412, { rows: present.filter(({ ver }) => ver > 0), ...this.#times() });
    }
    this.#apply(writes, remove);
    return reply(res, 200, this.#times());
  }

  #apply(writes, remove) {
    this.#version += 1;
    const ver = this.#version;
    for (const { table, part = '', key, value } of writes) {
      const row = { table, part, key, value, ver };
      this.#rows.set(idOf(row), row);
      this.#history.push(row);
    }
    for (const { table, part = '', key } of remove) {
      this.#rows.delete(idOf({ table, part, key }));
      this.#history.push({ table, part, key, ver, deleted: true });
    }
    const waiters = [...this.#waiters];
    this.#waiters.clear();
    waiters.forEach((wake) => wake());
  }

  #page(query, res) {
    const table = query.get('table') ?? '';
    const part = query.get('part') ?? '';
    const start = query.get('startKey') ?? '';
    const limit = Math.min(PAGE_ROWS, Number(query.get('limit') ?? PAGE_ROWS));
    const rows = [...this.#rows.values()]
      .filter((row) => row.table === table && row.part === part && row.key >= start)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const page = rows.slice(0, limit);
    reply(res, 200, { rows: page, hasMore: rows.length > page.length, ...this.#times() });
  }

  async #feed(query, res) {
    const table = query.get('table') ?? '';
    const after = Number(query.get('after') ?? 0);
    const until = performance.now() + Number(query.get('waitMs') ?? 0);
    for (;;) {
      const rows = this.#history.filter((row) => row.table === table && row.ver > after);
      const left = until - performance.now();
      if (rows.length > 0 || left <= 0) {
        return reply(res, 200, { rows, hasMore: false, ...this.#times() });
      }
      await new Promise((resolve) => {
        this.#waiters.add(resolve);
        setTimeout(resolve, left).unref();
      });
    }
  }

  #times() {
    return { ver: this.#version, nowMs: performance.now() };
  }
}
