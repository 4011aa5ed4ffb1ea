import type { InstanceName } from '../types/index.js';
import type { RoundContext } from './round-context.js';
import type { BudgetEntry, BudgetRow } from './rows.js';
import type { WaitReason } from './wait-reasons.js';

/** Records failures of the pool's instances in its budget row, and their end. */
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

/** Keeps what operators asked for until a row has it. */
export class OperatorRequests {
  readonly #pending = new Map<InstanceName, boolean>();

  request(instance: InstanceName, on: boolean): void {
    this.#pending.set(instance, on);
  }

  /** Drops requests for instances that `isOwn` doesn't hold for: another owner answers for them. */
  keepOnly(isOwn: (instance: InstanceName) => boolean): void {
    for (const name of this.#pending.keys()) {
      if (!isOwn(name)) {
        this.#pending.delete(name);
      }
    }
  }

  /** Writes pending requests of the pool to its row, and takes budget for those that wait. */
  plan(context: RoundContext): void {
    this.#record(context);
    const { batch, role, view, waits, now } = context;
    const row = batch.budget(role);
    for (const name of row.requested) {
      const instance = view.instance(name);
      const isTaken = row.taken.some((each) => each.instance === name && each.cause === 'operator');
      if (instance?.spec.pool !== role || !view.isUp(name) || isTaken) {
        continue;
      }
      const reason = batch.tryTake({ instances: [instance], cause: 'operator' });
      if (reason !== undefined) {
        waits.note({ kind: 'instance', name }, reason, now);
      }
    }
  }

  /** Why an instance that an operator had drained stays drained, if it does. */
  holds(entry: BudgetEntry, { batch }: RoundContext): WaitReason | undefined {
    const isWanted = entry.pools.some((pool) => {
      return batch.budget(pool).requested.includes(entry.instance);
    });
    return isWanted ? { type: 'operator-hold' } : undefined;
  }

  /** A request is done when the stored row has it and no change of the row is on its way. */
  #record({ batch, ledger, role, view }: RoundContext): void {
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
