import { z } from 'zod';
import type { Row, RowVersion, Transaction } from '../store/types.js';

/** Transaction ids kept in a lane row. A paused writer can still learn its fate within this many. */
export const LANE_HISTORY = 16;

const laneSchema = z.object({ count: z.int().min(0), ids: z.array(z.string()) });

/** State of a `txn/<memberId>` row as last seen. */
export interface LaneView {
  readonly version: RowVersion;
  /** Transactions ever committed on this lane. */
  readonly count: number;
  /** The most recent of them, oldest first. */
  readonly ids: readonly string[];
}

/** Key of a lane. A member has several, so that one unknown outcome doesn't hold up all writes. */
export function laneKey(memberId: string, lane: number): string {
  return lane === 0 ? `txn/${memberId}` : `txn/${memberId}/${lane}`;
}

/** The state of a lane from its row; an absent row is an empty lane. */
export function laneView(row: Row | undefined): LaneView {
  const parsed = laneSchema.safeParse(row?.value);
  const value = parsed.success ? parsed.data : { count: 0, ids: [] };
  return { version: row?.version ?? 0, ...value };
}

/**
 * Adds the transaction id to the lane row. The condition on the row's version means that of all
 * transactions built on one view at most one ever commits, so a later one fences off a delayed one.
 */
export function withLane(txn: Transaction, key: string, view: LaneView): Transaction {
  const ids = [...view.ids, txn.txnId].slice(-LANE_HISTORY);
  return {
    txnId: txn.txnId,
    conditions: [...txn.conditions, { key, version: view.version }],
    writes: [...txn.writes, { key, value: { count: view.count + 1, ids } }],
  };
}

/** The lane after a commit that gave its row `version`. */
export function laneAfter(view: LaneView, txnId: string, version: RowVersion): LaneView {
  const ids = [...view.ids, txnId].slice(-LANE_HISTORY);
  return { version, count: view.count + 1, ids };
}

/** What a later look at a lane says about a transaction that was built on `before`. */
export type TxnFate =
  | 'committed'
  /** It did not commit, and its condition on the lane can't hold any more. */
  | 'never'
  /** It has not committed yet and still could. */
  | 'pending'
  /** Too much happened on the lane since to tell. */
  | 'forgotten';

export function txnFate(txnId: string, before: LaneView, seen: LaneView): TxnFate {
  if (seen.ids.includes(txnId)) {
    return 'committed';
  }
  if (seen.version === before.version) {
    return 'pending';
  }
  return seen.count - before.count > LANE_HISTORY ? 'forgotten' : 'never';
}
