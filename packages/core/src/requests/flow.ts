import type { TeamName, WorkClass } from '../types/index.js';

/** Properties of a queued item that the fair queue depends on. */
export interface QueueItem {
  readonly id: string;
  readonly team: TeamName;
  readonly workClass: WorkClass;
}

/** Position of an item in a flow. Removed items stay in place as tombstones until compaction. */
export class QueuePosition<T extends QueueItem> {
  readonly item: T;
  readonly flow: Flow<T>;
  removed = false;

  constructor(item: T, flow: Flow<T>) {
    this.item = item;
    this.flow = flow;
  }
}

/** Removed positions are compacted once they outnumber the waiting ones by more than this. */
const COMPACTION_SLACK = 16;

/** FIFO queue of one team in one class, with the virtual times of start-time fair queueing. */
export class Flow<T extends QueueItem> {
  readonly team: TeamName;
  /** `ready` flows are in the heap of their class; `throttled` ones wait for a unit of the team. */
  state: 'idle' | 'ready' | 'throttled' = 'idle';
  /** Virtual time at which the first waiting item may start. */
  startTag = 0;
  /** Virtual finish time of the item started last. */
  finishTag = 0;
  weight: number;
  #waiting = 0;
  #positions: QueuePosition<T>[] = [];
  #head = 0;

  constructor(team: TeamName, weight: number) {
    this.team = team;
    this.weight = weight;
  }

  get waiting(): number {
    return this.#waiting;
  }

  push(item: T): QueuePosition<T> {
    const position = new QueuePosition(item, this);
    this.#positions.push(position);
    this.#waiting += 1;
    return position;
  }

  /** Marks a position as removed, in amortised O(1). */
  remove(position: QueuePosition<T>): void {
    position.removed = true;
    this.#waiting -= 1;
    if (this.#positions.length - this.#head > 2 * this.#waiting + COMPACTION_SLACK) {
      this.#compact();
    }
  }

  /** Dequeues the first item that has not been removed. */
  shift(): T | undefined {
    while (this.#head < this.#positions.length) {
      const position = this.#positions[this.#head];
      this.#head += 1;
      if (position !== undefined && !position.removed) {
        this.#waiting -= 1;
        position.removed = true;
        this.#compactIfHalfConsumed();
        return position.item;
      }
    }
    return undefined;
  }

  #compactIfHalfConsumed(): void {
    if (this.#head > COMPACTION_SLACK && 2 * this.#head > this.#positions.length) {
      this.#compact();
    }
  }

  #compact(): void {
    this.#positions = this.#positions.slice(this.#head).filter((position) => !position.removed);
    this.#head = 0;
  }
}
