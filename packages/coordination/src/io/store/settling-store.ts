import { isDeepStrictEqual } from 'node:util';
import PQueue from 'p-queue';
import {
  Err,
  Ok,
  appError,
  fail,
  type AppError,
  type MemberId,
  type Millis,
  type Random,
  type Result,
} from '@turmerichoist/core';
import { sleep } from '@turmerichoist/runtime';
import {
  laneAfterCommit,
  laneKey,
  decodeLane,
  resolveTxn,
  appendToLane,
  type LaneState,
} from '../../state/txn-lane.js';
import type { Row, TableStore, Transaction, TxnOutcome } from '../../store/index.js';
import { callTimeout } from './call-timeout.js';

/** Transactions of one member that may be in flight side by side. */
export const TXN_LANES = 4;
/** Longest time spent to find out a fate. Covers two back-offs of the store client at their cap. */
export const SETTLE_TIMEOUT_MS = 10_000;
const SETTLE_RETRY_MS = 200;
/** Times that a transaction is sent again after it is known not to have committed. */
const MAX_ATTEMPTS = 5;

export interface SettlingStoreOptions {
  readonly store: TableStore;
  readonly memberId: MemberId;
  readonly random: Random;
  readonly settleTimeoutMs?: Millis;
  readonly lanes?: number;
}

type Attempt =
  | { readonly type: 'done'; readonly result: Result<TxnOutcome, AppError> }
  /** Known not to have committed. */
  | { readonly type: 'again' };

function done(result: Result<TxnOutcome, AppError>): Attempt {
  return { type: 'done', result };
}

/** One `txn/<memberId>` row and the transactions that go through it one after the other. */
class Lane {
  readonly queue = new PQueue({ concurrency: 1 });
  readonly key: string;
  readonly #options: SettlingStoreOptions;
  #view: LaneState | undefined;

  constructor(key: string, options: SettlingStoreOptions) {
    this.key = key;
    this.#options = options;
  }

  async commit(txn: Transaction, signal: AbortSignal): Promise<Result<TxnOutcome, AppError>> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const tried = await this.#attempt(txn, signal);
      if (tried.type === 'done') {
        return tried.result;
      }
    }
    return fail('store-unavailable', 'the transaction did not get through');
  }

  async #attempt(txn: Transaction, signal: AbortSignal): Promise<Attempt> {
    const looked = this.#view === undefined ? await this.#look([], signal) : Ok(undefined);
    if (looked.isErr()) {
      return done(looked);
    }
    const view = this.#view ?? decodeLane(undefined);
    const sent = await this.#options.store.commit(appendToLane(txn, this.key, view), signal);
    if (sent.isErr()) {
      return sent.error.kind === 'outcome-unknown' ? this.#settle(txn, view, signal) : done(sent);
    }
    if (sent.value.committed) {
      this.#view = laneAfterCommit(view, txn.txnId, sent.value.versions[this.key] ?? 0);
      return done(sent);
    }
    // The lane moved: another process of this member wrote, or the call was handled twice.
    return sent.value.failed.includes(this.key) ? this.#settle(txn, view, signal) : done(sent);
  }

  async #settle(txn: Transaction, before: LaneState, signal: AbortSignal): Promise<Attempt> {
    const limit = callTimeout(signal, this.#options.settleTimeoutMs ?? SETTLE_TIMEOUT_MS);
    try {
      while (!limit.signal.aborted) {
        const settled = await this.#settleOnce(txn, before, limit.signal);
        if (settled !== undefined) {
          return settled;
        }
        await sleep(this.#options.random.next() * SETTLE_RETRY_MS, limit.signal);
      }
    } finally {
      limit.clear();
    }
    this.#view = undefined;
    return done(fail('outcome-unknown', txn.txnId));
  }

  async #settleOnce(
    txn: Transaction,
    before: LaneState,
    signal: AbortSignal,
  ): Promise<Attempt | undefined> {
    const looked = await this.#look(
      txn.writes.map(({ key }) => key),
      signal,
    );
    if (looked.isErr() || this.#view === undefined) {
      return undefined;
    }
    switch (resolveTxn(txn.txnId, before, this.#view)) {
      case 'committed':
        return done(Ok({ committed: true, versions: versionsOf(txn, looked.value ?? []) }));
      case 'never':
        return { type: 'again' };
      case 'forgotten':
        return done(Err(appError('outcome-unknown', txn.txnId)));
      case 'pending':
        await this.#fence(txn.txnId, this.#view, signal);
        return undefined;
    }
  }

  /** Moves the lane on, so that a transaction that is still under way can't commit later. */
  async #fence(txnId: string, view: LaneState, signal: AbortSignal): Promise<void> {
    const fence = { txnId: `${txnId}/fence`, conditions: [], writes: [] };
    await this.#options.store.commit(appendToLane(fence, this.key, view), signal);
  }

  async #look(
    keys: readonly string[],
    signal: AbortSignal,
  ): Promise<Result<readonly Row[] | undefined, AppError>> {
    const read = await this.#options.store.read([this.key, ...keys], signal);
    if (read.isOk()) {
      this.#view = decodeLane(read.value.find((row) => row.key === this.key));
    }
    return read;
  }
}

/**
 * Versions of the rows that `txn` wrote, as far as they still hold what it wrote. A row that was
 * overwritten since is left out, so that its new version isn't taken for the writer's own.
 */
function versionsOf(txn: Transaction, rows: readonly Row[]): Readonly<Record<string, number>> {
  const found = new Map(rows.map((row) => [row.key, row]));
  const own = txn.writes.flatMap(({ key, value }) => {
    const row = found.get(key);
    if (value === null) {
      return row === undefined ? [[key, 0] as const] : [];
    }
    return row !== undefined && isDeepStrictEqual(row.value, value)
      ? [[key, row.version] as const]
      : [];
  });
  return Object.fromEntries(own);
}

/**
 * Writes the id of each transaction into `txn/<memberId>` within that transaction and settles an
 * unknown outcome by reading that row. When the row doesn't have the id, it moves the row on first,
 * so that a transaction which arrives late can't commit after it was reported as not committed.
 * `outcome-unknown` remains only when the store can't be read until the signal or the time limit.
 */
export class SettlingStore implements TableStore {
  readonly #options: SettlingStoreOptions;
  readonly #lanes: readonly Lane[];

  constructor(options: SettlingStoreOptions) {
    this.#options = options;
    const count = options.lanes ?? TXN_LANES;
    this.#lanes = Array.from(
      { length: count },
      (_, lane) => new Lane(laneKey(options.memberId, lane), options),
    );
  }

  async commit(txn: Transaction, signal: AbortSignal): Promise<Result<TxnOutcome, AppError>> {
    const lane = this.#leastBusy();
    if (signal.aborted) {
      return fail('store-unavailable', 'given up before sending');
    }
    return lane.queue.add(async () =>
      signal.aborted
        ? fail('store-unavailable', 'given up before sending')
        : lane.commit(txn, signal),
    );
  }

  read(keys: readonly string[], signal: AbortSignal): Promise<Result<readonly Row[], AppError>> {
    return this.#options.store.read(keys, signal);
  }

  range(
    prefix: string,
    after: string,
    limit: number,
    signal: AbortSignal,
  ): Promise<Result<readonly Row[], AppError>> {
    return this.#options.store.range(prefix, after, limit, signal);
  }

  #leastBusy(): Lane {
    const load = (lane: Lane): number => lane.queue.size + lane.queue.pending;
    return this.#lanes.reduce((best, lane) => (load(lane) < load(best) ? lane : best));
  }
}
