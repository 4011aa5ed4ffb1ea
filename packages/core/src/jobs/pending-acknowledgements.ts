import type { ExecutorTable } from './executor-table.js';
import type { JobDecision } from './messages.js';
import type { ExecutorId } from './model.js';

/** Sequence numbers through which ended runs are to be acknowledged, by executor. */
export class PendingAcknowledgements {
  readonly #executors: ExecutorTable;
  readonly #through = new Map<ExecutorId, number>();

  constructor(executors: ExecutorTable) {
    this.#executors = executors;
  }

  set(executor: ExecutorId, through: number): void {
    this.#through.set(executor, through);
  }

  /** Called when an executor has restarted or left. */
  drop(executor: ExecutorId): void {
    this.#through.delete(executor);
  }

  /** Takes the acknowledgements since the last call. */
  take(): readonly JobDecision[] {
    const decisions = [...this.#through].flatMap(([executor, through]) => {
      const startedWallMs = this.#executors.get(executor)?.info.startedWallMs;
      return startedWallMs === undefined
        ? []
        : [{ type: 'acknowledge', executor, startedWallMs, through } as const];
    });
    this.#through.clear();
    return decisions;
  }
}
