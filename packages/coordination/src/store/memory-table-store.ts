import { Ok, fail, type AppError, type Result } from '@turmerichoist/core';
import { TableState } from './table-state.js';
import type { Row, TableStore, Transaction, TxnOutcome } from './types.js';

/** Injected faults, for tests. Each count applies to that many of the next commits. */
export interface MemoryStoreFaults {
  /** Every call fails with `store-unavailable` and has no effect. */
  readonly down: boolean;
  /** Commits that take effect and then return `outcome-unknown`. */
  readonly loseAnswers: number;
  /** Commits that have no effect and return `outcome-unknown`. */
  readonly loseRequests: number;
  /** Commits that are applied twice; the second result is returned. */
  readonly repeatRequests: number;
}

const NO_FAULTS: MemoryStoreFaults = {
  down: false,
  loseAnswers: 0,
  loseRequests: 0,
  repeatRequests: 0,
};

/**
 * In-memory `TableStore` for tests and embedding. A call takes effect before it returns its
 * promise. Several stores may share one `TableState`, each with its own faults.
 */
export class MemoryTableStore implements TableStore {
  readonly state: TableState;
  #faults = NO_FAULTS;

  constructor(state = new TableState()) {
    this.state = state;
  }

  /** Sets the given faults and keeps the others. */
  setFaults(faults: Partial<MemoryStoreFaults>): void {
    this.#faults = { ...this.#faults, ...faults };
  }

  commit(txn: Transaction, signal: AbortSignal): Promise<Result<TxnOutcome, AppError>> {
    return Promise.resolve(this.#unavailable(signal) ?? this.#commit(txn));
  }

  read(keys: readonly string[], signal: AbortSignal): Promise<Result<readonly Row[], AppError>> {
    return Promise.resolve(this.#unavailable(signal) ?? Ok(this.state.read(keys)));
  }

  range(
    prefix: string,
    after: string,
    limit: number,
    signal: AbortSignal,
  ): Promise<Result<readonly Row[], AppError>> {
    return Promise.resolve(this.#unavailable(signal) ?? Ok(this.state.range(prefix, after, limit)));
  }

  #unavailable(signal: AbortSignal): Result<never, AppError> | undefined {
    return this.#faults.down || signal.aborted ? fail('store-unavailable') : undefined;
  }

  #commit(txn: Transaction): Result<TxnOutcome, AppError> {
    if (this.#consumeFault('loseRequests')) {
      return fail('outcome-unknown', 'request lost');
    }
    if (this.#consumeFault('repeatRequests')) {
      this.state.commit(txn);
    }
    const outcome = this.state.commit(txn);
    return this.#consumeFault('loseAnswers')
      ? fail('outcome-unknown', 'response lost')
      : Ok(outcome);
  }

  #consumeFault(fault: 'loseAnswers' | 'loseRequests' | 'repeatRequests'): boolean {
    const left = this.#faults[fault];
    if (left === 0) {
      return false;
    }
    this.setFaults({ [fault]: left - 1 });
    return true;
  }
}
