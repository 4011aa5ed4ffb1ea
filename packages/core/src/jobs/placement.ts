import { add, fitsIn, maxResources, NO_RESOURCES, subtract } from '../tasks/resource-arithmetic.js';
import type { Resources } from '../tasks/model.js';
import type { Millis, ZoneName } from '../types/index.js';
import type { ExecutorInfo, StepSpec } from './model.js';
import type { ExecutorState, ExecutorTable } from './executor-table.js';
import type { RunTable } from './run-table.js';
import { ReservedCapacity } from './reserved-capacity.js';
import type { TaskNeed } from './start-group.js';

/** Added to the cost of a reserved executor, so that any other one is preferred. */
const RESERVED_COST = 10;

/** A task that an executor is chosen for. */
export interface PlaceableTask {
  readonly spec: StepSpec;
  readonly need: TaskNeed;
  /** Monotonic time at which it is expected to end if it starts now. */
  readonly endsAt: Millis;
}

/** Candidate executors of one pool, with the capacity left as tasks are placed one by one. */
export class PlacementRound {
  readonly #candidates: readonly ExecutorState[];
  readonly #runs: RunTable;
  readonly #reserved: ReservedCapacity;
  readonly #reservedCandidates: readonly ExecutorState[];
  readonly #unreservedCandidates: readonly ExecutorState[];
  readonly #freeCapacity = new Map<string, Resources>();
  /**
   * Maximum of each resource over the candidates with a label that are not reserved, or over all of
   * these for the empty one, until the next reservation or release.
   */
  readonly #maxFree = new Map<string, Resources>();
  /** The same of the capacities of all candidates. */
  readonly #maxCapacity = new Map<string, Resources>();

  constructor(
    table: ExecutorTable,
    runs: RunTable,
    candidates: readonly ExecutorState[],
    reserved: ReservedCapacity = ReservedCapacity.NONE,
  ) {
    this.#runs = runs;
    this.#candidates = candidates;
    this.#reserved = reserved;
    this.#reservedCandidates = candidates.filter(({ info }) => reserved.has(info.id));
    this.#unreservedCandidates =
      this.#reservedCandidates.length === 0
        ? candidates
        : candidates.filter(({ info }) => !reserved.has(info.id));
    candidates.forEach((state) => this.#freeCapacity.set(state.info.id, table.freeCapacity(state)));
  }

  get empty(): boolean {
    return this.#candidates.length === 0;
  }

  /** Whether a task may fit. If not, no candidate has the label and room for it. */
  mayFit(need: TaskNeed): boolean {
    return (
      fitsIn(need.resources, this.#maxFreeWith(need.requiredLabel)) || this.#mayFitReserved(need)
    );
  }

  #mayFitReserved(need: TaskNeed): boolean {
    return (
      this.#reservedCandidates.length > 0 &&
      this.#reserved.mayAdmitAny(need) &&
      this.#reservedCandidates.some(
        ({ info }) =>
          this.#reserved.mayAdmit(info.id, need) &&
          hasLabel(info, need.requiredLabel) &&
          fitsIn(need.resources, this.#freeCapacity.get(info.id) ?? NO_RESOURCES),
      )
    );
  }

  /** Whether a candidate with the label could run a task if it ran nothing else. */
  couldFit({ resources, requiredLabel }: TaskNeed): boolean {
    const known = this.#maxCapacity.get(requiredLabel);
    const max = known ?? this.#maxWith(requiredLabel, this.#candidates, ({ capacity }) => capacity);
    this.#maxCapacity.set(requiredLabel, max);
    return fitsIn(resources, max);
  }

  /** Candidates without a reservation that satisfy the constraints of a step. */
  unreserved(step: StepSpec, counts: ReadonlyMap<string, number>): readonly ExecutorState[] {
    return this.#candidates.filter(
      (state) =>
        !this.#reserved.has(state.info.id) &&
        satisfiesConstraints(step, state, counts.get(state.info.id) ?? 0, undefined),
    );
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
    const max = this.#maxWith(
      label,
      this.#unreservedCandidates,
      ({ id }) => this.#freeCapacity.get(id) ?? NO_RESOURCES,
    );
    this.#maxFree.set(label, max);
    return max;
  }

  #maxWith(
    label: string,
    states: readonly ExecutorState[],
    resourcesOf: (info: ExecutorInfo) => Resources,
  ): Resources {
    return states
      .filter(({ info }) => hasLabel(info, label))
      .map(({ info }) => resourcesOf(info))
      .reduce(maxResources, NO_RESOURCES);
  }

  /**
   * Chooses the executor with the lowest cost for one more task, or undefined if none fits.
   * `counts`: the step's tasks by executor, where `needsCounts` holds for the step.
   */
  choose(
    { spec: step, need: taskNeed, endsAt }: PlaceableTask,
    counts: ReadonlyMap<string, number>,
    rack?: string,
  ): ExecutorState | undefined {
    const need = taskNeed.resources;
    let best: { readonly state: ExecutorState; readonly cost: number } | undefined;
    const candidates = this.#reserved.mayAdmitAny(taskNeed)
      ? this.#candidates
      : this.#unreservedCandidates;
    for (const state of candidates) {
      const free = this.#freeCapacity.get(state.info.id);
      const taken = counts.get(state.info.id) ?? 0;
      if (
        free === undefined ||
        !fitsIn(need, free) ||
        !satisfiesConstraints(step, state, taken, rack) ||
        !this.#reserved.admits(state.info.id, taskNeed, endsAt)
      ) {
        continue;
      }
      const extra = this.#reserved.has(state.info.id) ? RESERVED_COST : 0;
      const cost = this.#cost(step, state, free, taken) + extra;
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
