import {
  changeTransaction,
  planChange,
  type Condition,
  type JsonValue,
  type ReplicaView,
  type Row,
  type TableStore,
  type Transaction,
} from '@turmerichoist/coordination';
import {
  EMPTY_BUDGET_ROW,
  Ok,
  fail,
  rowKey,
  type AppError,
  type BudgetRow,
  type Clock,
  type FleetTransaction,
  type PlanRow,
  type Result,
  type Revision,
  type RowKey,
  type StoredRow,
} from '@turmerichoist/core';

/** Maximum number of rows that one call reads. */
const READ_PAGE_SIZE = 200;

/** Actor in the audit records of instance moves by pool owners. */
const FLEET_ACTOR = 'system/fleet';

export interface FleetRowsOptions {
  readonly store: TableStore;
  readonly clock: Clock;
  readonly newId: () => string;
  /**
   * Reads the head of the configuration log and applies missing entries. See
   * `ConfigReplica.refresh`.
   */
  readonly refresh: () => Promise<Result<ReplicaView, AppError>>;
  /** Announces a new revision to the other entries. */
  readonly announce: (revision: Revision) => void;
}

/** Reads and writes the budget and plan rows. */
export class FleetRows {
  readonly #options: FleetRowsOptions;

  constructor(options: FleetRowsOptions) {
    this.#options = options;
  }

  /** Reads all budget and plan rows. Errors: those of the table service. */
  async readAll(signal: AbortSignal): Promise<Result<readonly StoredRow[], AppError>> {
    const budgets = await this.#range('budget/', signal);
    if (budgets.isErr()) {
      return budgets;
    }
    const plans = await this.#range('plan-state/', signal);
    return plans.map((rows) => [...budgets.value, ...rows].map(decodeRow));
  }

  /** Reads the rows that a transaction depends on. Absent rows have version 0. */
  async readFor(
    { conditions, writes }: FleetTransaction,
    signal: AbortSignal,
  ): Promise<Result<readonly StoredRow[], AppError>> {
    const keys = [...new Set([...conditions.map(({ key }) => key), ...writes.map(rowKey)])];
    const read = await this.#options.store.read(keys, signal);
    return read.map((rows) => {
      const found = new Map(rows.map((row) => [row.key, decodeRow(row)]));
      return keys.map((key) => found.get(key) ?? absentRow(key));
    });
  }

  /**
   * Commits a transaction, fenced by the condition on the owner's row. Resolves with the rows
   * written, or with undefined when a condition failed. Errors: `outcome-unknown` when the
   * transaction may have taken effect. After any other error it has not.
   */
  async commit(
    txn: FleetTransaction,
    owner: Condition,
    signal: AbortSignal,
  ): Promise<Result<readonly StoredRow[] | undefined, AppError>> {
    const change = txn.poolChanges.length === 0 ? Ok(undefined) : await this.#poolChange(txn);
    if (change.isErr()) {
      return change;
    }
    const writes = txn.writes.map((write) => ({
      key: rowKey(write),
      value: write.value as unknown as JsonValue,
    }));
    const request = {
      txnId: this.#options.newId(),
      conditions: [owner, ...txn.conditions, ...(change.value?.txn.conditions ?? [])],
      writes: [...writes, ...(change.value?.txn.writes ?? [])],
    };
    const outcome = await this.#options.store.commit(request, signal);
    if (outcome.isErr()) {
      return outcome;
    }
    if (!outcome.value.committed) {
      return Ok(undefined);
    }
    if (change.value !== undefined) {
      this.#options.announce(change.value.revision);
      void this.#options.refresh();
    }
    const { versions } = outcome.value;
    return Ok(
      txn.writes.map((write): StoredRow => {
        const version = write.value === null ? 0 : (versions[rowKey(write)] ?? 0);
        return write.kind === 'budget' ? { ...write, version } : { ...write, version };
      }),
    );
  }

  /** Builds the configuration change that moves the instances. */
  async #poolChange({
    poolChanges,
  }: FleetTransaction): Promise<
    Result<{ readonly txn: Transaction; readonly revision: Revision }, AppError>
  > {
    const { clock, newId, refresh } = this.#options;
    const view = await refresh();
    if (view.isErr()) {
      return view;
    }
    const { cfg, head } = view.value;
    if (cfg.revision !== head.revision) {
      return fail('version-conflict', 'the configuration is behind its head');
    }
    const documents = poolChanges.flatMap(({ instance, version, to }) => {
      const resource = cfg.get('instance', instance);
      return resource === undefined
        ? []
        : [{ ...resource, version, spec: { ...resource.spec, pool: to } }];
    });
    if (documents.length < poolChanges.length) {
      return fail('not-found', 'an instance to be moved is gone');
    }
    const wallMs = clock.wall();
    const request = { id: newId(), actor: FLEET_ACTOR, wallMs, documents, removals: [] };
    return planChange(cfg, request).andThen(({ entry }) =>
      entry === undefined
        ? fail('version-conflict', 'the instances have moved already')
        : Ok({ txn: changeTransaction(entry, head, newId()), revision: entry.revision }),
    );
  }

  async #range(prefix: string, signal: AbortSignal): Promise<Result<readonly Row[], AppError>> {
    const found: Row[] = [];
    for (;;) {
      const after = found.at(-1)?.key ?? '';
      const rows = await this.#options.store.range(prefix, after, READ_PAGE_SIZE, signal);
      if (rows.isErr()) {
        return rows;
      }
      found.push(...rows.value);
      if (rows.value.length < READ_PAGE_SIZE) {
        return Ok(found);
      }
    }
  }
}

/** Values are not validated, since only owners write these rows. */
function decodeRow({ key, version, value }: Row): StoredRow {
  const at = key.indexOf('/');
  const name = key.slice(at + 1);
  return key.startsWith('budget/')
    ? { kind: 'budget', name, version, value: value as unknown as BudgetRow }
    : { kind: 'plan-state', name, version, value: value as unknown as PlanRow };
}

function absentRow(key: RowKey): StoredRow {
  const name = key.slice(key.indexOf('/') + 1);
  return key.startsWith('budget/')
    ? { kind: 'budget', name, version: 0, value: EMPTY_BUDGET_ROW }
    : { kind: 'plan-state', name, version: 0, value: null };
}
