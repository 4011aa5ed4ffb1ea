import type { MemberId, Millis } from '../types/index.js';
import type { Admission } from './admission.js';
import type { ChoiceContext, ExecutorChooser } from './choosers.js';
import type { Executor } from './executor.js';
import type { ExecutorTable } from './executor-table.js';
import type { PendingRequest } from './pending-request.js';
import type { QueueState } from './queue-state.js';
import { slotsWithin } from './slot-interval.js';

export interface ExecutorSelectorOptions {
  readonly admission: Admission;
  readonly chooser: ExecutorChooser;
  readonly self: MemberId;
}

/** Selects the executor of each attempt among those that may get it. */
export class ExecutorSelector {
  readonly #options: ExecutorSelectorOptions;
  readonly #executors: ExecutorTable;
  #members: readonly MemberId[] = [];

  constructor(options: ExecutorSelectorOptions, executors: ExecutorTable) {
    this.#options = options;
    this.#executors = executors;
  }

  membersChanged(members: readonly MemberId[]): void {
    this.#members = [...members].sort();
  }

  /** Configured executors of the queue. */
  executorsOf(queue: QueueState): readonly Executor[] {
    return this.#executors.inPool(this.#poolName(queue));
  }

  /** Total slots of the executors of the queue that are in service. */
  slotsOf(queue: QueueState): number {
    return this.#executors.slotsInService(this.#poolName(queue));
  }

  /** An executor for a request, or for any new request of the queue. */
  select(queue: QueueState, now: Millis, req?: PendingRequest): Executor | undefined {
    const eligible = this.executorsOf(queue).filter(
      (each) =>
        each.acceptsAttempt(now) && hasSlotFor(queue, each) && (req?.canTry(each.name) ?? true),
    );
    return this.#options.chooser.choose(eligible, this.#choiceContext(now));
  }

  /**
   * Whether the request can still run on some executor. A request that may have run needs an
   * executor on which it has not failed. If no executor is left to try, those that refused the
   * request become eligible again.
   */
  canStillRun(queue: QueueState, req: PendingRequest): boolean {
    const usable = this.executorsOf(queue).filter((each) => each.inService);
    if (!usable.some((each) => req.canTry(each.name))) {
      req.clearRefusals();
    }
    return !req.mayHaveRun || usable.some((each) => !req.failedOn(each.name));
  }

  #poolName(queue: QueueState): string {
    return this.#options.admission.cfg.spec('queue', queue.name)?.pool ?? '';
  }

  #choiceContext(now: Millis): ChoiceContext {
    const rank = this.#members.indexOf(this.#options.self);
    return { now, entries: Math.max(1, this.#members.length), rank: Math.max(0, rank) };
  }
}

/**
 * Whether the executor has a slot for this entry. An entry with nothing running always gets one.
 */
function hasSlotFor(queue: QueueState, executor: Executor): boolean {
  const { slotInterval: slots, running } = queue;
  if (slots === undefined || running === 0) {
    return true;
  }
  return executor.outstanding < slotsWithin(slots, executor.slots, executor.roundingPhase);
}
