import { fail, type AppError, type Result } from '@turmerichoist/core';
import {
  MemoryTableStore,
  type Row,
  type TableState,
  type TableStore,
  type Transaction,
  type TxnOutcome,
} from '@turmerichoist/coordination';

export type StoreFault = 'none' | 'down' | 'lost-answer' | 'lost-request' | 'late' | 'doubled';

/**
 * A store whose next calls meet the given faults in turn. `late` answers `outcome-unknown` at once
 * and lets the transaction arrive only at `deliver`.
 */
export class DelayingStore implements TableStore {
  readonly #memory: MemoryTableStore;
  #faults: readonly StoreFault[] = [];
  #late: readonly Transaction[] = [];

  constructor(state: TableState) {
    this.#memory = new MemoryTableStore(state);
  }

  plan(faults: readonly StoreFault[]): void {
    this.#faults = [...this.#faults, ...faults];
  }

  /** Forgets the faults that have not happened. */
  heal(): void {
    this.#faults = [];
  }

  /** Lets all late transactions arrive. */
  deliver(): void {
    this.#late.forEach((txn) => this.#memory.state.commit(txn));
    this.#late = [];
  }

  commit(txn: Transaction, signal: AbortSignal): Promise<Result<TxnOutcome, AppError>> {
    const fault = this.#next();
    if (fault === 'late') {
      this.#late = [...this.#late, txn];
      return Promise.resolve(fail('outcome-unknown'));
    }
    this.#memory.setFaults({
      down: fault === 'down',
      loseAnswers: fault === 'lost-answer' ? 1 : 0,
      loseRequests: fault === 'lost-request' ? 1 : 0,
      repeatRequests: fault === 'doubled' ? 1 : 0,
    });
    return this.#memory.commit(txn, signal);
  }

  read(keys: readonly string[], signal: AbortSignal): Promise<Result<readonly Row[], AppError>> {
    this.#memory.setFaults({ down: this.#next() === 'down' });
    return this.#memory.read(keys, signal);
  }

  range(
    prefix: string,
    after: string,
    limit: number,
    signal: AbortSignal,
  ): Promise<Result<readonly Row[], AppError>> {
    this.#memory.setFaults({ down: this.#next() === 'down' });
    return this.#memory.range(prefix, after, limit, signal);
  }

  #next(): StoreFault {
    const [fault = 'none', ...rest] = this.#faults;
    this.#faults = rest;
    return fault;
  }
}
