import type { Millis } from '../types/index.js';
import type { CellTables } from './cell-tables.js';
import type { ExecutorId } from './model.js';

/** Tracks for how long executors have had no runs. */
export class IdleTimes {
  readonly #tables: Pick<CellTables, 'executors' | 'runs'>;
  readonly #inherited: Set<ExecutorId>;
  readonly #inheritedIdleMs: Millis;
  readonly #since = new Map<ExecutorId, Millis>();

  /**
   * `inherited`: executors of the former owner. Those that first report neither runs nor ended ones
   * have been idle since before the takeover, and count as idle for `inheritedIdleMs`.
   */
  constructor(
    tables: Pick<CellTables, 'executors' | 'runs'>,
    inherited: readonly ExecutorId[],
    inheritedIdleMs: Millis,
  ) {
    this.#tables = tables;
    this.#inherited = new Set(inherited);
    this.#inheritedIdleMs = inheritedIdleMs;
  }

  /** Takes note of the present runs. Called regularly. */
  track(now: Millis): void {
    for (const { info, runsKnown, lastEndSeq } of this.#tables.executors.all()) {
      if (!runsKnown || this.#tables.runs.countAt(info.id) > 0) {
        this.#since.delete(info.id);
      } else if (!this.#since.has(info.id)) {
        const idleBefore = this.#inherited.has(info.id) && lastEndSeq === 0;
        this.#since.set(info.id, idleBefore ? now - this.#inheritedIdleMs : now);
      }
      if (runsKnown) {
        this.#inherited.delete(info.id);
      }
    }
  }

  /** Time for which an executor has had no runs; 0 if it has any or is not known. */
  idleFor(executor: ExecutorId | undefined, now: Millis): Millis {
    const since = executor === undefined ? undefined : this.#since.get(executor);
    return since === undefined ? 0 : now - since;
  }
}
