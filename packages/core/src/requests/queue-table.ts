import type { QueueName, TeamName } from '../types/index.js';
import type { DemandRow } from './messages.js';
import { QueueState } from './queue-state.js';

/** The state of each queue, which is created when the queue is first asked for. */
export class QueueTable {
  readonly #queues = new Map<QueueName, QueueState>();
  readonly #capacity: number;
  readonly #shareOf: (team: TeamName) => number;
  #first = 0;

  /** @param shareOf Weight of a team until the weights of a queue are set. */
  constructor(capacity: number, shareOf: (team: TeamName) => number) {
    this.#capacity = capacity;
    this.#shareOf = shareOf;
  }

  get all(): readonly QueueState[] {
    return [...this.#queues.values()];
  }

  get(name: QueueName): QueueState {
    const existing = this.#queues.get(name);
    if (existing !== undefined) {
      return existing;
    }
    const queue = new QueueState(name, this.#capacity);
    queue.fairQueue.setWeights(this.#shareOf);
    this.#queues.set(name, queue);
    return queue;
  }

  demand(): readonly DemandRow[] {
    return this.all.flatMap((queue) => queue.demand());
  }

  /** All queues. They take turns in being the first (round robin). */
  nextRotation(): readonly QueueState[] {
    const queues = this.all;
    this.#first = (this.#first + 1) % Math.max(1, queues.length);
    return [...queues.slice(this.#first), ...queues.slice(0, this.#first)];
  }

  unthrottle(team: TeamName): void {
    for (const queue of this.#queues.values()) {
      queue.fairQueue.unthrottle(team);
    }
  }

  unthrottleAll(): void {
    for (const queue of this.#queues.values()) {
      queue.fairQueue.unthrottleAll();
    }
  }
}
