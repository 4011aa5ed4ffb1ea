import { z } from 'zod';
import type { Row, RowVersion, Transaction } from '../store/types.js';

/** Ids kept in a transaction log. A paused writer can resolve its transaction within this many commits. */
export const TXN_LOG_IDS = 16;

const logSchema = z.object({ count: z.int().min(0), ids: z.array(z.string()) });

/**
 * State of a transaction log as last read. It is a row (`txn/<memberId>` or `txn/<memberId>/<n>`) with
 * the ids of the latest transactions that were committed with it, so that unknown outcomes can be
 * resolved.
 */
export interface TxnLogState {
  readonly version: RowVersion;
  /** Total number of transactions committed with it. */
  readonly count: number;
  /** Ids of the most recent of them, oldest first. */
  readonly ids: readonly string[];
}

/** Key of a transaction log. A member has several, so that an unknown outcome doesn't block all writes. */
export function txnLogKey(memberId: string, log: number): string {
  return log === 0 ? `txn/${memberId}` : `txn/${memberId}/${log}`;
}

/** Decodes a transaction log; an absent or malformed row gives an empty one. */
export function decodeTxnLog(row: Row | undefined): TxnLogState {
  const parsed = logSchema.safeParse(row?.value);
  const value = parsed.success ? parsed.data : { count: 0, ids: [] };
  return { version: row?.version ?? 0, ...value };
}

/**
 * Extends a transaction with a write that records its id in the log, on condition that the row
 * still has the version last read. At most one of the transactions built on one state of the log can ever
 * commit, so committing a later one fences off a delayed one.
 */
export function appendToTxnLog(txn: Transaction, key: string, view: TxnLogState): Transaction {
  const ids = [...view.ids, txn.txnId].slice(-TXN_LOG_IDS);
  return {
    txnId: txn.txnId,
    conditions: [...txn.conditions, { key, version: view.version }],
    writes: [...txn.writes, { key, value: { count: view.count + 1, ids } }],
  };
}

/** The state of the log after a commit that gave its row `version`. */
export function txnLogAfterCommit(
  view: TxnLogState,
  txnId: string,
  version: RowVersion,
): TxnLogState {
  const ids = [...view.ids, txnId].slice(-TXN_LOG_IDS);
  return { version, count: view.count + 1, ids };
}

/** What a later read of the log tells about a transaction that was built on an earlier state. */
export type TxnResolution =
  | 'committed'
  /** It did not commit, and its condition on the log can no longer hold. */
  | 'never'
  /** It has not committed yet and still could. */
  | 'pending'
  /** More transactions have committed since than the log keeps ids of. */
  | 'forgotten';

/** Resolves a transaction built on `before` from the later state `seen`. */
export function resolveTxn(txnId: string, before: TxnLogState, seen: TxnLogState): TxnResolution {
  if (seen.ids.includes(txnId)) {
    return 'committed';
  }
  if (seen.version === before.version) {
    return 'pending';
  }
  return seen.count - before.count > TXN_LOG_IDS ? 'forgotten' : 'never';
}
