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
 * In-memory store that injects the given faults into its next calls, one per call. `late` returns
 * `outcome-unknown` at once and delays the transaction until `deliver`.
 */
export class DelayingStore implements TableStore {
  readonly #memory: MemoryTableStore;
  #faults: readonly StoreFault[] = [];
  #delayed: readonly Transaction[] = [];

  constructor(state: TableState) {
    this.#memory = new MemoryTableStore(state);
  }

  injectFaults(faults: readonly StoreFault[]): void {
    this.#faults = [...this.#faults, ...faults];
  }

  /** Discards the faults that have not been injected yet. */
  clearFaults(): void {
    this.#faults = [];
  }

  /** Applies all delayed transactions. */
  deliverDelayed(): void {
    this.#delayed.forEach((txn) => this.#memory.state.commit(txn));
    this.#delayed = [];
  }

  commit(txn: Transaction, signal: AbortSignal): Promise<Result<TxnOutcome, AppError>> {
    const fault = this.#nextFault();
    if (fault === 'late') {
      this.#delayed = [...this.#delayed, txn];
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
    this.#memory.setFaults({ down: this.#nextFault() === 'down' });
    return this.#memory.read(keys, signal);
  }

  range(
    prefix: string,
    after: string,
    limit: number,
    signal: AbortSignal,
  ): Promise<Result<readonly Row[], AppError>> {
    this.#memory.setFaults({ down: this.#nextFault() === 'down' });
    return this.#memory.range(prefix, after, limit, signal);
  }

  #nextFault(): StoreFault {
    const [fault = 'none', ...rest] = this.#faults;
    this.#faults = rest;
    return fault;
  }
}
