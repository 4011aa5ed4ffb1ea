import type { TeamName, WorkClass } from '../types/index.js';

/** What a queue needs to know of waiting work. */
export interface Waiting {
  readonly id: string;
  readonly team: TeamName;
  readonly workClass: WorkClass;
}

/** Position of one piece of work in a flow. Cancelled work stays in place, marked as dead. */
export class Slot<T extends Waiting> {
  readonly item: T;
  readonly flow: Flow<T>;
  dead = false;

  constructor(item: T, flow: Flow<T>) {
    this.item = item;
    this.flow = flow;
  }
}

/** Dead slots are swept once they outnumber the live ones by more than this. */
const SWEEP_SLACK = 16;

/** First-in-first-out work of one team in one class, with its virtual start time. */
export class Flow<T extends Waiting> {
  readonly team: TeamName;
  /** `ready` flows are in the heap of their class; `parked` ones wait for a unit of the team. */
  state: 'idle' | 'ready' | 'parked' = 'idle';
  /** Virtual time at which the first waiting work may start. */
  startTag = 0;
  /** Virtual time at which the last started work ends. */
  finishTag = 0;
  weight: number;
  #live = 0;
  #slots: Slot<T>[] = [];
  #head = 0;

  constructor(team: TeamName, weight: number) {
    this.team = team;
    this.weight = weight;
  }

  get waiting(): number {
    return this.#live;
  }

  push(item: T): Slot<T> {
    const slot = new Slot(item, this);
    this.#slots.push(slot);
    this.#live += 1;
    return slot;
  }

  /** Marks a slot as dead in O(1) amortised. */
  remove(slot: Slot<T>): void {
    slot.dead = true;
    this.#live -= 1;
    if (this.#slots.length - this.#head > 2 * this.#live + SWEEP_SLACK) {
      this.#sweep();
    }
  }

  /** Takes the first live work out. */
  shift(): T | undefined {
    while (this.#head < this.#slots.length) {
      const slot = this.#slots[this.#head];
      this.#head += 1;
      if (slot !== undefined && !slot.dead) {
        this.#live -= 1;
        slot.dead = true;
        this.#sweepIfHalfEmpty();
        return slot.item;
      }
    }
    return undefined;
  }

  #sweepIfHalfEmpty(): void {
    if (this.#head > SWEEP_SLACK && 2 * this.#head > this.#slots.length) {
      this.#sweep();
    }
  }

  #sweep(): void {
    this.#slots = this.#slots.slice(this.#head).filter((slot) => !slot.dead);
    this.#head = 0;
  }
}
