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
  txnLogAfterCommit,
  txnLogKey,
  decodeTxnLog,
  resolveTxn,
  appendToTxnLog,
  type TxnLogState,
} from '../../state/txn-log.js';
import type { Row, TableStore, Transaction, TxnOutcome } from '../../store/index.js';
import { callTimeout } from './call-timeout.js';

/** Transaction logs of one member, each with at most one transaction in flight. */
export const TXN_LOGS = 4;
/**
 * Maximum time spent on resolving an unknown outcome. Long enough for two backoffs of the store
 * client at their cap (5,000 ms).
 */
export const RESOLVE_TIMEOUT_MS = 10_000;
const MAX_RESOLVE_BACKOFF_MS = 200;
/** Times that a transaction is sent before giving up; each retry follows a known non-commit. */
const MAX_ATTEMPTS = 5;

export interface OutcomeResolvingStoreOptions {
  readonly store: TableStore;
  readonly memberId: MemberId;
  readonly random: Random;
  readonly resolveTimeoutMs?: Millis;
  readonly logs?: number;
}

type Attempt =
  | { readonly type: 'done'; readonly result: Result<TxnOutcome, AppError> }
  /** Known not to have committed. */
  | { readonly type: 'retry' };

function finished(result: Result<TxnOutcome, AppError>): Attempt {
  return { type: 'done', result };
}

/** Owns one transaction log (see `TxnLogState`) and commits transactions with it one at a time. */
class SerialCommitter {
  readonly queue = new PQueue({ concurrency: 1 });
  readonly key: string;
  readonly #options: OutcomeResolvingStoreOptions;
  #state: TxnLogState | undefined;

  constructor(key: string, options: OutcomeResolvingStoreOptions) {
    this.key = key;
    this.#options = options;
  }

  async commit(txn: Transaction, signal: AbortSignal): Promise<Result<TxnOutcome, AppError>> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const attempted = await this.#attempt(txn, signal);
      if (attempted.type === 'done') {
        return attempted.result;
      }
    }
    return fail('store-unavailable', 'transaction not committed after several attempts');
  }

  async #attempt(txn: Transaction, signal: AbortSignal): Promise<Attempt> {
    const read = this.#state === undefined ? await this.#readLog([], signal) : Ok(undefined);
    if (read.isErr()) {
      return finished(read);
    }
    const before = this.#state ?? decodeTxnLog(undefined);
    const sent = await this.#options.store.commit(appendToTxnLog(txn, this.key, before), signal);
    if (sent.isErr()) {
      return sent.error.kind === 'outcome-unknown'
        ? this.#resolveOutcome(txn, before, signal)
        : finished(sent);
    }
    if (sent.value.committed) {
      this.#state = txnLogAfterCommit(before, txn.txnId, sent.value.versions[this.key] ?? 0);
      return finished(sent);
    }
    // The log has changed: another process of this member wrote it, or the service handled the
    // call twice.
    return sent.value.failed.includes(this.key)
      ? this.#resolveOutcome(txn, before, signal)
      : finished(sent);
  }

  async #resolveOutcome(
    txn: Transaction,
    before: TxnLogState,
    signal: AbortSignal,
  ): Promise<Attempt> {
    const timeout = callTimeout(signal, this.#options.resolveTimeoutMs ?? RESOLVE_TIMEOUT_MS);
    try {
      while (!timeout.signal.aborted) {
        const resolved = await this.#tryResolve(txn, before, timeout.signal);
        if (resolved !== undefined) {
          return resolved;
        }
        await sleep(this.#options.random.next() * MAX_RESOLVE_BACKOFF_MS, timeout.signal);
      }
    } finally {
      timeout.clear();
    }
    this.#state = undefined;
    return finished(fail('outcome-unknown', txn.txnId));
  }

  async #tryResolve(
    txn: Transaction,
    before: TxnLogState,
    signal: AbortSignal,
  ): Promise<Attempt | undefined> {
    const read = await this.#readLog(
      txn.writes.map(({ key }) => key),
      signal,
    );
    if (read.isErr() || this.#state === undefined) {
      return undefined;
    }
    switch (resolveTxn(txn.txnId, before, this.#state)) {
      case 'committed':
        return finished(Ok({ committed: true, versions: writtenVersions(txn, read.value ?? []) }));
      case 'never':
        return { type: 'retry' };
      case 'forgotten':
        return finished(Err(appError('outcome-unknown', txn.txnId)));
      case 'pending':
        await this.#fence(txn.txnId, this.#state, signal);
        return undefined;
    }
  }

  /** Commits an empty transaction, so that one that is still in flight can no longer commit. */
  async #fence(txnId: string, state: TxnLogState, signal: AbortSignal): Promise<void> {
    const fence = { txnId: `${txnId}/fence`, conditions: [], writes: [] };
    await this.#options.store.commit(appendToTxnLog(fence, this.key, state), signal);
  }

  async #readLog(
    keys: readonly string[],
    signal: AbortSignal,
  ): Promise<Result<readonly Row[] | undefined, AppError>> {
    const read = await this.#options.store.read([this.key, ...keys], signal);
    if (read.isOk()) {
      this.#state = decodeTxnLog(read.value.find((row) => row.key === this.key));
    }
    return read;
  }
}

/**
 * Versions of the rows that `txn` wrote and that still hold the written value. Rows overwritten
 * since are left out, so that the writer does not mistake their new version for its own.
 */
function writtenVersions(txn: Transaction, rows: readonly Row[]): Readonly<Record<string, number>> {
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
 * Decorates a `TableStore` to resolve unknown outcomes. Each transaction also writes its id into a
 * transaction log of this member (`txn/<memberId>`), which is read after an unknown outcome. When the row
 * does not have the id, a fencing write changes the row first, so that a delayed transaction can't
 * commit after it was reported as not committed. `outcome-unknown` remains only when the store
 * can't be read until the signal is aborted or the time-out expires, or when more transactions have
 * committed since than the log keeps ids of.
 */
export class OutcomeResolvingStore implements TableStore {
  readonly #options: OutcomeResolvingStoreOptions;
  readonly #committers: readonly SerialCommitter[];

  constructor(options: OutcomeResolvingStoreOptions) {
    this.#options = options;
    const count = options.logs ?? TXN_LOGS;
    this.#committers = Array.from(
      { length: count },
      (_, log) => new SerialCommitter(txnLogKey(options.memberId, log), options),
    );
  }

  async commit(txn: Transaction, signal: AbortSignal): Promise<Result<TxnOutcome, AppError>> {
    const committer = this.#leastBusy();
    if (signal.aborted) {
      return fail('store-unavailable', 'given up before sending');
    }
    return committer.queue.add(async () =>
      signal.aborted
        ? fail('store-unavailable', 'given up before sending')
        : committer.commit(txn, signal),
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

  #leastBusy(): SerialCommitter {
    const load = ({ queue }: SerialCommitter): number => queue.size + queue.pending;
    return this.#committers.reduce((best, one) => (load(one) < load(best) ? one : best));
  }
}
