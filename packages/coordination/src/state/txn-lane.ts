import { z } from 'zod';
import type { Row, RowVersion, Transaction } from '../store/types.js';

/** Ids kept in a lane row. A paused writer can resolve its transaction within this many commits. */
export const LANE_HISTORY = 16;

const laneSchema = z.object({ count: z.int().min(0), ids: z.array(z.string()) });

/**
 * State of a lane as last read. A lane is a row (`txn/<memberId>` or `txn/<memberId>/<lane>`) that
 * records the latest transactions committed through it, so that unknown outcomes can be resolved.
 */
export interface LaneState {
  readonly version: RowVersion;
  /** Total number of transactions committed on this lane. */
  readonly count: number;
  /** Ids of the most recent of them, oldest first. */
  readonly ids: readonly string[];
}

/** Key of a lane. A member has several, so that an unknown outcome doesn't block all writes. */
export function laneKey(memberId: string, lane: number): string {
  return lane === 0 ? `txn/${memberId}` : `txn/${memberId}/${lane}`;
}

/** Decodes a lane row; an absent or malformed row gives an empty lane. */
export function decodeLane(row: Row | undefined): LaneState {
  const parsed = laneSchema.safeParse(row?.value);
  const value = parsed.success ? parsed.data : { count: 0, ids: [] };
  return { version: row?.version ?? 0, ...value };
}

/**
 * Extends a transaction with a write that records its id in the lane row, on condition that the row
 * still has the version last read. At most one of the transactions built on one lane state can ever
 * commit, so committing a later one fences off a delayed one.
 */
export function appendToLane(txn: Transaction, key: string, view: LaneState): Transaction {
  const ids = [...view.ids, txn.txnId].slice(-LANE_HISTORY);
  return {
    txnId: txn.txnId,
    conditions: [...txn.conditions, { key, version: view.version }],
    writes: [...txn.writes, { key, value: { count: view.count + 1, ids } }],
  };
}

/** The state of the lane after a commit that gave its row `version`. */
export function laneAfterCommit(view: LaneState, txnId: string, version: RowVersion): LaneState {
  const ids = [...view.ids, txnId].slice(-LANE_HISTORY);
  return { version, count: view.count + 1, ids };
}

/** What a later read of a lane tells about a transaction that was built on an earlier state. */
export type TxnResolution =
  | 'committed'
  /** It did not commit, and its condition on the lane can no longer hold. */
  | 'never'
  /** It has not committed yet and still could. */
  | 'pending'
  /** More transactions have committed since than the lane keeps ids of. */
  | 'forgotten';

/** Resolves a transaction built on `before` from the lane state `seen`. */
export function resolveTxn(txnId: string, before: LaneState, seen: LaneState): TxnResolution {
  if (seen.ids.includes(txnId)) {
    return 'committed';
  }
  if (seen.version === before.version) {
    return 'pending';
  }
  return seen.count - before.count > LANE_HISTORY ? 'forgotten' : 'never';
}
