import type { JobDecision } from './messages.js';

/** Decisions that act on executors or instances, which only the holder of the leader lease may do. */
const ACTIONS: ReadonlySet<JobDecision['type']> = new Set(['start', 'stop', 'pace', 'order']);

/**
 * Withholds actions while the owner's leader lease is not valid. Rows are written under the fencing
 * token of the lease, so the store itself refuses those of a former leader.
 */
export class LeadershipGate {
  #held = true;

  /** Whether the owner holds its leader lease. */
  get held(): boolean {
    return this.#held;
  }

  set(held: boolean): void {
    this.#held = held;
  }

  /** The decisions that may be carried out now. Withheld stops are retried by the reconciler. */
  permitted(decisions: readonly JobDecision[]): readonly JobDecision[] {
    return this.#held ? decisions : decisions.filter(({ type }) => !ACTIONS.has(type));
  }
}
