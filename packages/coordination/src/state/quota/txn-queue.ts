import type { TeamName } from '@turmerichoist/core';
import type { Transaction } from '../../store/index.js';
import type { TeamPlan } from './plan.js';
import { encodeQuotaRow, quotaKey } from './rows.js';
import type { TeamAccounts } from './team-accounts.js';

/** A transaction that changes the rows of some teams. */
export interface PlannedTxn {
  readonly plans: ReadonlyMap<TeamName, TeamPlan>;
}

/** A transaction whose outcome is not known yet. */
export interface OpenTxn extends PlannedTxn {
  readonly txnId: string;
  /** Units held before the transaction, by team. */
  readonly held: ReadonlyMap<TeamName, number>;
}

/** The transactions of a round. At most one is open at a time. */
export class TxnQueue {
  #open: OpenTxn | undefined;
  #queued: readonly PlannedTxn[] = [];
  #count = 0;

  get hasOpen(): boolean {
    return this.#open !== undefined;
  }

  /** Replaces the queued transactions. */
  replace(txns: readonly PlannedTxn[]): void {
    this.#queued = txns;
  }

  addFirst(txn: PlannedTxn): void {
    this.#queued = [txn, ...this.#queued];
  }

  /** Opens the next transaction, if any is queued. Its id starts with `idPrefix`. */
  openNext(idPrefix: string, held: (team: TeamName) => number): OpenTxn | undefined {
    const [next, ...rest] = this.#queued;
    if (next === undefined) {
      return undefined;
    }
    this.#queued = rest;
    this.#count += 1;
    const teams = [...next.plans.keys()];
    this.#open = {
      ...next,
      txnId: `${idPrefix}/${this.#count}`,
      held: new Map(teams.map((team) => [team, held(team)])),
    };
    return this.#open;
  }

  /** Closes the open transaction if it has this id, and returns it. */
  close(txnId: string): OpenTxn | undefined {
    const open = this.#open;
    if (open?.txnId !== txnId) {
      return undefined;
    }
    this.#open = undefined;
    return open;
  }
}

/** The transaction on the rows as the accounts know them. */
export function quotaTransaction({ txnId, plans }: OpenTxn, accounts: TeamAccounts): Transaction {
  const all = [...plans];
  return {
    txnId,
    conditions: all.map(([team]) => ({
      key: quotaKey(team),
      version: accounts.get(team).version,
    })),
    writes: all.map(([team, plan]) => ({ key: quotaKey(team), value: encodeQuotaRow(plan.row) })),
  };
}
