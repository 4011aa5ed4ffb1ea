import type { Millis, Random } from '@turmerichoist/core';
import { Timeline } from './timeline.js';

/** Delay of one message between two entries, in milliseconds. */
export const PEER_DELAY_MS: Millis = 0.7;
/** Delay of a call of the store and of its answer, each, in milliseconds. */
export const STORE_DELAY_MS: Millis = 2;
/** Time from the death of a member to the observation that its session has expired. */
export const DEATH_OBSERVED_MS: Millis = 9_080;

/** A way of keeping all entries together below one limit. */
export interface LimitScheme {
  readonly name: string;
  /** Takes one unit for work that starts now at the entry, if it may start. */
  acquire(entry: number): boolean;
  /** Work of the entry ended. */
  release(entry: number): void;
  /** The entry has more or less waiting work than before. */
  demandChanged(entry: number): void;
  died(entry: number): void;
  /** Messages between entries and calls of the store so far. */
  readonly traffic: { readonly peer: number; readonly store: number };
}

/** What a scheme sees of the entries. */
export interface EntryState {
  readonly running: number;
  readonly waiting: number;
  readonly alive: boolean;
}

export interface SimulationOptions {
  readonly entries: number;
  readonly limit: number;
  /** Mean run time of work, in milliseconds. */
  readonly meanRunMs: Millis;
  /** Waiting work is refused after this time. */
  readonly deadlineMs: Millis;
  readonly random: Random;
  readonly scheme: (simulation: Simulation) => LimitScheme;
}

interface Entry extends EntryState {
  running: number;
  waiting: number;
  alive: boolean;
  /** Deadlines of waiting work, in order. */
  readonly queue: Millis[];
  /** Arrivals for each second. */
  rate: number;
}

/** Entries with Poisson arrivals under one limit. */
export class Simulation {
  readonly time = new Timeline();
  readonly options: SimulationOptions;
  readonly #entries: readonly Entry[];
  readonly #scheme: LimitScheme;
  #unitMs = 0;
  #lastAt: Millis = 0;
  #refused = 0;
  #started = 0;

  constructor(options: SimulationOptions) {
    this.options = options;
    this.#entries = Array.from({ length: options.entries }, () => ({
      ...{ running: 0, waiting: 0, alive: true, rate: 0 },
      queue: [],
    }));
    this.#scheme = options.scheme(this);
    this.#entries.forEach((_, i) => {
      this.#nextArrival(i);
    });
  }

  get scheme(): LimitScheme {
    return this.#scheme;
  }

  get totals(): { readonly started: number; readonly refused: number } {
    return { started: this.#started, refused: this.#refused };
  }

  entry(index: number): EntryState {
    return this.#of(index);
  }

  /** Sets the offered load of an entry, in units of concurrently running work. */
  offer(index: number, load: number): void {
    this.#of(index).rate = (load * 1_000) / this.options.meanRunMs;
  }

  die(index: number): void {
    const entry = this.#of(index);
    this.#account();
    Object.assign(entry, { alive: false, running: 0, waiting: 0, rate: 0 });
    entry.queue.length = 0;
    this.#scheme.died(index);
  }

  /** Starts what may start. Schemes call it when an entry has got units. */
  wake(index: number): void {
    const entry = this.#of(index);
    this.#refuseExpired(entry);
    while (entry.queue.length > 0 && this.#scheme.acquire(index)) {
      entry.queue.shift();
      entry.waiting = entry.queue.length;
      this.#start(index, entry);
    }
  }

  /** Mean number of units in use since the last call. */
  meanRunning(since: Millis): number {
    this.#account();
    const mean = this.#unitMs / (this.time.now() - since);
    this.#unitMs = 0;
    return mean;
  }

  #of(index: number): Entry {
    const entry = this.#entries[index];
    if (entry === undefined) {
      throw new RangeError(`no entry ${index}`);
    }
    return entry;
  }

  #exponential(mean: number): number {
    return -Math.log(1 - this.options.random.next()) * mean;
  }

  #nextArrival(index: number): void {
    const entry = this.#of(index);
    const pause = entry.rate > 0 ? this.#exponential(1_000 / entry.rate) : 10;
    const arrives = entry.rate > 0;
    this.time.after(pause, () => {
      if (arrives && entry.alive && entry.rate > 0) {
        this.#arrive(index, entry);
      }
      this.#nextArrival(index);
    });
  }

  #arrive(index: number, entry: Entry): void {
    entry.queue.push(this.time.now() + this.options.deadlineMs);
    entry.waiting = entry.queue.length;
    this.wake(index);
    this.#scheme.demandChanged(index);
  }

  #refuseExpired(entry: Entry): void {
    const now = this.time.now();
    while ((entry.queue[0] ?? now + 1) <= now) {
      entry.queue.shift();
      this.#refused += 1;
    }
    entry.waiting = entry.queue.length;
  }

  #start(index: number, entry: Entry): void {
    this.#account();
    entry.running += 1;
    this.#started += 1;
    this.time.after(this.#exponential(this.options.meanRunMs), () => {
      if (entry.alive) {
        this.#account();
        entry.running -= 1;
        this.#scheme.release(index);
        this.wake(index);
        this.#scheme.demandChanged(index);
      }
    });
  }

  #account(): void {
    const now = this.time.now();
    const running = this.#entries.reduce((sum, entry) => sum + entry.running, 0);
    this.#unitMs += running * (now - this.#lastAt);
    this.#lastAt = now;
  }
}
