import type { Millis, PoolName } from '../types/index.js';
import type { CellTables } from './cell-tables.js';

/** Share of a pool's processors in use by finite tasks above which it counts as busy. */
const BUSY_SHARE = 0.5;
/** Time for which a pool stays busy after its last waiting task: a peak may pause briefly. */
const BUSY_HOLD_MS: Millis = 1_000;

/** Tells which pools are in a peak: finite tasks wait there, or keep most of the pool busy. */
export class PoolActivity {
  readonly #tables: CellTables;
  readonly #busyAt = new Map<PoolName, Millis>();
  /** Answers of the present round. */
  readonly #known = new Map<PoolName, boolean>();

  constructor(tables: CellTables) {
    this.#tables = tables;
  }

  /** Begins a round, within which each pool is looked at once. */
  beginRound(): void {
    this.#known.clear();
  }

  isBusy(pool: PoolName, now: Millis): boolean {
    const known = this.#known.get(pool);
    if (known !== undefined) {
      return known;
    }
    if (this.#isLoaded(pool, now)) {
      this.#busyAt.set(pool, now);
    }
    const busy = now - (this.#busyAt.get(pool) ?? -Infinity) < BUSY_HOLD_MS;
    this.#known.set(pool, busy);
    return busy;
  }

  #isLoaded(pool: PoolName, now: Millis): boolean {
    const { jobs, runs, executors } = this.#tables;
    const { startable, held } = jobs.waitingProcessors(pool, now);
    if (startable + held > 0) {
      return true;
    }
    let capacity = 0;
    let used = 0;
    for (const { info, listed, cordoned } of executors.ofPool(pool)) {
      capacity += listed && !cordoned ? info.capacity.processors : 0;
      for (const { lasting, footprint } of runs.at(info.id)) {
        used += lasting ? 0 : footprint.processors;
      }
    }
    return used > capacity * BUSY_SHARE;
  }
}
