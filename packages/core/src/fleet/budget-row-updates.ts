import type { InstanceName } from '../types/index.js';
import type { RoundContext } from './round-context.js';
import type { BudgetEntry, BudgetRow } from './rows.js';
import type { FleetWaitReason } from './wait-reasons.js';

/** Adds entries for failed instances to the pool's row and removes those of recovered ones. */
export function recordFailures({ batch, view, role }: RoundContext): void {
  const row = batch.budget(role);
  const kept = row.taken.filter(({ cause, instance }) => {
    return cause !== 'failure' || !view.isUp(instance);
  });
  const failed = batch.newFailures(role, row);
  if (failed.length > 0 || kept.length < row.taken.length) {
    batch.editBudget(role, (current) => ({ ...current, taken: [...kept, ...failed] }));
  }
}

/** Keeps operators' drain requests until they are stored in a budget row. */
export class OperatorRequests {
  readonly #pending = new Map<InstanceName, boolean>();

  request(instance: InstanceName, on: boolean): void {
    this.#pending.set(instance, on);
  }

  /** Drops requests for instances that fail `isOwn`: the owner of their pool handles them. */
  retain(isOwn: (instance: InstanceName) => boolean): void {
    for (const name of this.#pending.keys()) {
      if (!isOwn(name)) {
        this.#pending.delete(name);
      }
    }
  }

  /** Writes the pool's pending requests to its row and acquires budget for the stored ones. */
  plan(context: RoundContext): void {
    this.#writePending(context);
    const { batch, role, view, waits, now } = context;
    const row = batch.budget(role);
    for (const name of row.requested) {
      const instance = view.instance(name);
      const isTaken = row.taken.some((each) => each.instance === name && each.cause === 'operator');
      if (instance?.spec.pool !== role || !view.isUp(name) || isTaken) {
        continue;
      }
      const reason = batch.tryAcquire({ instances: [instance], cause: 'operator' });
      if (reason !== undefined) {
        waits.record({ kind: 'instance', name }, reason, now);
      }
    }
  }

  /** Returns a reason while the operator's drain request for the instance stands. */
  holdReason(entry: BudgetEntry, { batch }: RoundContext): FleetWaitReason | undefined {
    const isWanted = entry.pools.some((pool) => {
      return batch.budget(pool).requested.includes(entry.instance);
    });
    return isWanted ? { type: 'operator-hold' } : undefined;
  }

  /** A request is complete when the stored row has it and no write of the row is in flight. */
  #writePending({ batch, ledger, role, view }: RoundContext): void {
    if (!batch.canEdit(`budget/${role}`)) {
      return;
    }
    for (const [name, on] of this.#pending) {
      if (view.instance(name)?.spec.pool !== role) {
        continue;
      }
      if (ledger.budget(role).requested.includes(name) === on) {
        this.#pending.delete(name);
      } else {
        batch.editBudget(role, (row) => withRequest(row, name, on));
      }
    }
  }
}

function withRequest(row: BudgetRow, name: InstanceName, on: boolean): BudgetRow {
  const others = row.requested.filter((each) => each !== name);
  return { ...row, requested: on ? [...others, name] : others };
}
