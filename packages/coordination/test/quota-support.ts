import {
  parseQuotaRow,
  type QuotaRow,
  type Row,
  type Transaction,
  type TxnOutcome,
} from '@turmerichoist/coordination';

/** Runs callbacks in order of simulated time. */
export class Timeline {
  readonly #events: { readonly at: number; readonly run: () => void }[] = [];
  now = 0;

  after(ms: number, run: () => void): void {
    const at = this.now + ms;
    let low = 0;
    let high = this.#events.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.#events[middle]?.at ?? 0) <= at) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    this.#events.splice(low, 0, { at, run });
  }

  advance(ms: number): void {
    const end = this.now + ms;
    for (let next = this.#events[0]; next !== undefined && next.at <= end; next = this.#events[0]) {
      this.#events.shift();
      this.now = next.at;
      next.run();
    }
    this.now = end;
  }
}

/** In-memory table of versioned rows. */
export class MemoryTable {
  readonly rows = new Map<string, Row>();

  commit({ conditions, writes }: Transaction): TxnOutcome {
    const versionOf = (key: string): number => this.rows.get(key)?.version ?? 0;
    const failed = conditions.filter(({ key, version }) => versionOf(key) !== version);
    if (failed.length > 0) {
      return { committed: false, failed: failed.map(({ key }) => key) };
    }
    const versions: Record<string, number> = {};
    for (const { key, value } of writes) {
      versions[key] = versionOf(key) + 1;
      this.rows.set(key, { key, value, version: versions[key] });
    }
    return { committed: true, versions };
  }

  read(keys: readonly string[]): readonly Row[] {
    return keys.flatMap((key) => this.rows.get(key) ?? []);
  }

  quota(team: string): QuotaRow | undefined {
    const row = this.rows.get(`quota/${team}`);
    return row === undefined ? undefined : parseQuotaRow(row.value).unwrap();
  }
}
