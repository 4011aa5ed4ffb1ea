import { add, fitsIn, maxResources, NO_RESOURCES, subtract } from '../tasks/resource-arithmetic.js';
import type { Resources } from '../tasks/model.js';
import type { Millis, ZoneName } from '../types/index.js';
import { footprint, type ExecutorInfo, type StepSpec } from './model.js';
import type { ExecutorState, ExecutorTable } from './executor-table.js';
import type { RunTable } from './run-table.js';
import type { TaskNeed } from './start-group.js';

/** Candidate executors of one pool, with the capacity left as tasks are placed one by one. */
export class PlacementRound {
  readonly #candidates: readonly ExecutorState[];
  readonly #runs: RunTable;
  readonly #freeCapacity = new Map<string, Resources>();
  /**
   * Maximum of each resource over the candidates with a label, or over all for the empty one, until
   * the next reservation or release.
   */
  readonly #maxFree = new Map<string, Resources>();
  /** Maximum of each resource of the capacity of the candidates with a label. */
  readonly #maxCapacity = new Map<string, Resources>();

  constructor(table: ExecutorTable, runs: RunTable, candidates: readonly ExecutorState[]) {
    this.#runs = runs;
    this.#candidates = candidates;
    candidates.forEach((state) => this.#freeCapacity.set(state.info.id, table.freeCapacity(state)));
  }

  get empty(): boolean {
    return this.#candidates.length === 0;
  }

  /** Whether a task may fit. If not, no candidate has the label and room for it. */
  mayFit({ resources, requiredLabel }: TaskNeed): boolean {
    return fitsIn(resources, this.#maxFreeWith(requiredLabel));
  }

  /** Whether a task may fit on a candidate without runs. */
  canEverFit({ resources, requiredLabel }: TaskNeed): boolean {
    const known = this.#maxCapacity.get(requiredLabel);
    const max =
      known ??
      this.#candidates
        .filter(({ info }) => hasLabel(info, requiredLabel))
        .map(({ info }) => info.capacity)
        .reduce(maxResources, NO_RESOURCES);
    this.#maxCapacity.set(requiredLabel, max);
    return fitsIn(resources, max);
  }

  /** Capacity that is free on all candidates together. */
  get totalFree(): Resources {
    return [...this.#freeCapacity.values()].reduce(
      (sum, free) => add(sum, maxResources(free, NO_RESOURCES)),
      NO_RESOURCES,
    );
  }

  #maxFreeWith(label: string): Resources {
    const known = this.#maxFree.get(label);
    if (known !== undefined) {
      return known;
    }
    const max = this.#candidates
      .filter(({ info }) => hasLabel(info, label))
      .map(({ info }) => this.#freeCapacity.get(info.id) ?? NO_RESOURCES)
      .reduce(maxResources, NO_RESOURCES);
    this.#maxFree.set(label, max);
    return max;
  }

  /**
   * Chooses the executor with the lowest cost for one more task, or undefined if none fits.
   * `counts`: the step's tasks by executor, where `needsCounts` holds for the step.
   */
  choose(
    step: StepSpec,
    counts: ReadonlyMap<string, number>,
    rack?: string,
  ): ExecutorState | undefined {
    const need = footprint(step);
    let best: { readonly state: ExecutorState; readonly cost: number } | undefined;
    for (const state of this.#candidates) {
      const free = this.#freeCapacity.get(state.info.id);
      const taken = counts.get(state.info.id) ?? 0;
      if (
        free === undefined ||
        !fitsIn(need, free) ||
        !satisfiesConstraints(step, state, taken, rack)
      ) {
        continue;
      }
      const cost = this.#cost(step, state, free, taken);
      if (best === undefined || cost < best.cost) {
        best = { state, cost };
      }
    }
    return best?.state;
  }

  reserve(state: ExecutorState, need: Resources): void {
    const free = this.#freeCapacity.get(state.info.id);
    if (free !== undefined) {
      this.#freeCapacity.set(state.info.id, subtract(free, need));
      this.#maxFree.clear();
    }
  }

  release(state: ExecutorState, need: Resources): void {
    const free = this.#freeCapacity.get(state.info.id);
    if (free !== undefined) {
      this.#freeCapacity.set(state.info.id, add(free, need));
      this.#maxFree.clear();
    }
  }

  get racks(): readonly string[] {
    return [...new Set(this.#candidates.map(({ info }) => info.rack))];
  }

  #cost(step: StepSpec, state: ExecutorState, free: Resources, taken: number): number {
    const remote = step.preferredRack !== '' && state.info.rack !== step.preferredRack ? 1 : 0;
    if (step.lasting) {
      // Spreads tasks over executors and keeps best-effort tasks apart from serving ones.
      const conflicts = this.#runs
        .at(state.info.id)
        .filter((run) => run.lasting && run.fills !== step.fills).length;
      const drains = state.maintenanceDue ? 1 : 0;
      return remote * 1e6 + taken * 1e4 + drains * 1e3 + conflicts * 1e2 + usedShare(state, free);
    }
    // Best fit avoids fragmentation, so that tasks that need many processors still fit.
    return remote * 1e6 + free.processors / Math.max(1, state.info.capacity.processors);
  }
}

function usedShare(state: ExecutorState, free: Resources): number {
  return 1 - free.memoryMb / Math.max(1, state.info.capacity.memoryMb);
}

/** Whether the choice of an executor depends on where other tasks of the step run. */
export function needsCounts({ lasting, maxPerExecutor }: StepSpec): boolean {
  return lasting || maxPerExecutor > 0;
}

/** Every executor has the empty label. */
function hasLabel({ labels }: ExecutorInfo, label: string): boolean {
  return label === '' || labels.includes(label);
}

function satisfiesConstraints(
  step: StepSpec,
  { info }: ExecutorState,
  taken: number,
  rack: string | undefined,
): boolean {
  return (
    hasLabel(info, step.requiredLabel) &&
    (step.maxPerExecutor === 0 || taken < step.maxPerExecutor) &&
    (rack === undefined || info.rack === rack)
  );
}

/** Executors of a pool on which new tasks may be placed now. */
export function candidatesOf(
  table: ExecutorTable,
  pool: string,
  zonesOut: ReadonlySet<ZoneName>,
  now: Millis,
): readonly ExecutorState[] {
  return table
    .ofPool(pool)
    .filter((state) => table.isSchedulable(state, now) && !zonesOut.has(state.info.zone));
}
