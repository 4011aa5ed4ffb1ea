import { fencingCondition } from '@turmerichoist/coordination';
import type { FleetEvent, FleetTransaction, Millis } from '@turmerichoist/core';
import { sleep, type Recipient } from '@turmerichoist/runtime';
import type { FleetGuard } from './fleet-guard.js';
import type { FleetRows } from './fleet-rows.js';

/** Delay before a commit of unknown outcome is repeated or failed rows are read again. */
const RETRY_DELAY_MS: Millis = 500;

type TransactionEvent = Extract<
  FleetEvent,
  { type: 'transaction-committed' | 'transaction-conflicted' | 'transaction-unknown' }
>;

/** Commits the transactions of the fleet decider and reports their outcomes. */
export class FleetTransactions {
  readonly #owner: Recipient<TransactionEvent>;
  readonly #rows: FleetRows;
  readonly #guard: FleetGuard;
  readonly #signal: AbortSignal;

  constructor(
    owner: Recipient<TransactionEvent>,
    rows: FleetRows,
    guard: FleetGuard,
    signal: AbortSignal,
  ) {
    this.#owner = owner;
    this.#rows = rows;
    this.#guard = guard;
    this.#signal = signal;
  }

  async commit(txn: FleetTransaction): Promise<void> {
    const { id, fence } = txn;
    const holding = this.#guard.holding(fence);
    const done = holding.isErr()
      ? holding
      : await this.#rows.commit(txn, fencingCondition(holding.value), this.#signal);
    if (done.isOk() && done.value !== undefined) {
      this.#owner.post({ type: 'transaction-committed', id, rows: done.value });
      return;
    }
    if (done.isErr() && done.error.kind === 'outcome-unknown') {
      this.#owner.post({ type: 'transaction-unknown', id });
      await this.#resolveUnknownOutcome(txn);
      return;
    }
    await this.#reportConflict(txn);
  }

  /**
   * Repeats a transaction of unknown outcome until the outcome is known. Its conditions let it take
   * effect only once. If they fail, the rows show whether an earlier attempt took effect.
   */
  async #resolveUnknownOutcome(txn: FleetTransaction): Promise<void> {
    do {
      await sleep(RETRY_DELAY_MS, this.#signal);
      if (this.#signal.aborted) {
        return;
      }
    } while (this.#guard.isPaused(txn.fence));
    await this.commit(txn);
  }

  async #reportConflict(txn: FleetTransaction): Promise<void> {
    while (!this.#signal.aborted) {
      const rows = await this.#rows.readFor(txn, this.#signal);
      if (rows.isOk()) {
        this.#owner.post({ type: 'transaction-conflicted', id: txn.id, rows: rows.value });
        return;
      }
      await sleep(RETRY_DELAY_MS, this.#signal);
    }
  }
}
