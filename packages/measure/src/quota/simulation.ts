import type { Millis, Random } from '@turmerichoist/core';
import { VirtualClock } from './virtual-clock.js';

/** Delay of one message between two entries, in milliseconds. */
export const PEER_DELAY_MS: Millis = 0.7;
/** One-way delay between an entry and the store, in milliseconds. */
export const STORE_DELAY_MS: Millis = 2;
/** Time from the death of a member to the observation that its session has expired. */
export const DEATH_OBSERVED_MS: Millis = 9_080;

/** Scheme that keeps the total work of all entries within one limit. */
export interface QuotaScheme {
  readonly name: string;
  /** Takes one unit for work that is to start at the entry. Returns false if there is none. */
  acquire(entry: number): boolean;
  /** Returns the unit of work that ended at the entry. */
  release(entry: number): void;
  /** Reports that the number of waiting or running units of the entry has changed. */
  demandChanged(entry: number): void;
  entryDied(entry: number): void;
  /** Number of messages between entries and of calls of the store so far. */
  readonly traffic: { readonly peer: number; readonly store: number };
}

/** State of an entry that a scheme can read. */
export interface EntryState {
  readonly running: number;
  readonly waiting: number;
  readonly alive: boolean;
}

export interface QuotaSimulationOptions {
  readonly entries: number;
  readonly limit: number;
  /** Mean run time of work, in milliseconds. */
  readonly meanRunMs: Millis;
  /** Waiting work is refused after this time, in milliseconds. */
  readonly deadlineMs: Millis;
  readonly random: Random;
  readonly scheme: (simulation: QuotaSimulation) => QuotaScheme;
}

interface Entry extends EntryState {
  running: number;
  waiting: number;
  alive: boolean;
  /** Deadlines of waiting work, in order. */
  readonly queue: Millis[];
  arrivalsPerS: number;
}

/** Discrete-event simulation of entries with Poisson arrivals that share one limit. */
export class QuotaSimulation {
  readonly time = new VirtualClock();
  readonly options: QuotaSimulationOptions;
  readonly #entries: readonly Entry[];
  readonly #scheme: QuotaScheme;
  #usedUnitMs = 0;
  #accumulatedUntil: Millis = 0;
  #refused = 0;
  #started = 0;

  constructor(options: QuotaSimulationOptions) {
    this.options = options;
    this.#entries = Array.from({ length: options.entries }, () => ({
      ...{ running: 0, waiting: 0, alive: true, arrivalsPerS: 0 },
      queue: [],
    }));
    this.#scheme = options.scheme(this);
    this.#entries.forEach((_, i) => {
      this.#scheduleArrival(i);
    });
  }

  get scheme(): QuotaScheme {
    return this.#scheme;
  }

  get totals(): { readonly started: number; readonly refused: number } {
    return { started: this.#started, refused: this.#refused };
  }

  entry(index: number): EntryState {
    return this.#entryAt(index);
  }

  /** Sets the offered load of an entry, as the mean number of units in use without a limit. */
  setOfferedLoad(index: number, load: number): void {
    this.#entryAt(index).arrivalsPerS = (load * 1_000) / this.options.meanRunMs;
  }

  kill(index: number): void {
    const entry = this.#entryAt(index);
    this.#accumulateUsage();
    Object.assign(entry, { alive: false, running: 0, waiting: 0, arrivalsPerS: 0 });
    entry.queue.length = 0;
    this.#scheme.entryDied(index);
  }

  /** Starts waiting work while the scheme has units. Schemes call it when an entry gets units. */
  startWaiting(index: number): void {
    const entry = this.#entryAt(index);
    this.#refuseExpired(entry);
    while (entry.queue.length > 0 && this.#scheme.acquire(index)) {
      entry.queue.shift();
      entry.waiting = entry.queue.length;
      this.#start(index, entry);
    }
  }

  /** Mean number of units in use since `since`, which must be the time of the previous call. */
  meanRunning(since: Millis): number {
    this.#accumulateUsage();
    const mean = this.#usedUnitMs / (this.time.now() - since);
    this.#usedUnitMs = 0;
    return mean;
  }

  #entryAt(index: number): Entry {
    const entry = this.#entries[index];
    if (entry === undefined) {
      throw new RangeError(`no entry ${index}`);
    }
    return entry;
  }

  #exponential(mean: number): number {
    return -Math.log(1 - this.options.random.next()) * mean;
  }

  #scheduleArrival(index: number): void {
    const entry = this.#entryAt(index);
    const delayMs = entry.arrivalsPerS > 0 ? this.#exponential(1_000 / entry.arrivalsPerS) : 10;
    const hasLoad = entry.arrivalsPerS > 0;
    this.time.after(delayMs, () => {
      if (hasLoad && entry.alive && entry.arrivalsPerS > 0) {
        this.#arrive(index, entry);
      }
      this.#scheduleArrival(index);
    });
  }

  #arrive(index: number, entry: Entry): void {
    entry.queue.push(this.time.now() + this.options.deadlineMs);
    entry.waiting = entry.queue.length;
    this.startWaiting(index);
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
    this.#accumulateUsage();
    entry.running += 1;
    this.#started += 1;
    this.time.after(this.#exponential(this.options.meanRunMs), () => {
      if (entry.alive) {
        this.#accumulateUsage();
        entry.running -= 1;
        this.#scheme.release(index);
        this.startWaiting(index);
        this.#scheme.demandChanged(index);
      }
    });
  }

  #accumulateUsage(): void {
    const now = this.time.now();
    const running = this.#entries.reduce((sum, entry) => sum + entry.running, 0);
    this.#usedUnitMs += running * (now - this.#accumulatedUntil);
    this.#accumulatedUntil = now;
  }
}
