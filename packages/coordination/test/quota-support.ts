import {
  encodeQuotaRow,
  parseQuotaRow,
  quotaKey,
  TableState,
  type QuotaRow,
} from '@turmerichoist/coordination';
import type { TeamName } from '@turmerichoist/core';

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

/** In-memory table with access to its quota rows. */
export class QuotaTable extends TableState {
  quota(team: TeamName): QuotaRow | undefined {
    const [row] = this.read([quotaKey(team)]);
    return row === undefined ? undefined : parseQuotaRow(row.value).unwrap();
  }

  /** Writes a row as another member would, whatever its present version. */
  writeQuota(team: TeamName, row: QuotaRow): void {
    const key = quotaKey(team);
    this.commit({
      txnId: 'another-member',
      conditions: [],
      writes: [{ key, value: encodeQuotaRow(row) }],
    });
  }
}
