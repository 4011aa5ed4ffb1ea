import type { Millis } from '@turmerichoist/core';
import { RECLAIM_AFTER_MS } from '@turmerichoist/coordination';
import {
  DEATH_OBSERVED_MS,
  PEER_DELAY_MS,
  type QuotaScheme,
  type QuotaSimulation,
} from './simulation.js';

/** Time from the death of a role's owner to the new owner's first decision (design page, 4.11). */
const TAKEOVER_MS: Millis = 15_000;
const COUNTER_ENTRY = 0;
/** Period at which an entry that lacks units requests them. */
const REQUEST_PERIOD_MS: Millis = 50;

/** Baseline: one entry holds the counter. Each start requests a unit and each end returns it. */
export class CentralCounter implements QuotaScheme {
  readonly name = 'central counting';
  readonly #simulation: QuotaSimulation;
  readonly #requested: number[];
  readonly #granted: number[];
  readonly #counted: number[];
  #reserved = 0;
  #counterAvailable = true;
  #peerMessages = 0;

  constructor(simulation: QuotaSimulation) {
    this.#simulation = simulation;
    const zeros = (): number[] => Array<number>(simulation.options.entries).fill(0);
    this.#requested = zeros();
    this.#granted = zeros();
    this.#counted = zeros();
    simulation.time.every(REQUEST_PERIOD_MS, () => {
      this.#requested.forEach((_, entry) => {
        this.demandChanged(entry);
      });
    });
  }

  get traffic(): { readonly peer: number; readonly store: number } {
    return { peer: this.#peerMessages, store: 0 };
  }

  acquire(entry: number): boolean {
    const granted = this.#granted[entry] ?? 0;
    this.#granted[entry] = Math.max(0, granted - 1);
    return granted > 0;
  }

  release(entry: number): void {
    this.#sendMessage(() => {
      this.#counted[entry] = (this.#counted[entry] ?? 0) - 1;
    });
  }

  demandChanged(entry: number): void {
    const { waiting, alive } = this.#simulation.entry(entry);
    const missing = waiting - (this.#granted[entry] ?? 0);
    if (missing > 0 && alive && this.#requested[entry] === 0) {
      this.#requestUnits(entry, missing);
    }
  }

  entryDied(entry: number): void {
    if (entry === COUNTER_ENTRY) {
      // The new counter can't know which units the dead entry's own work used, so it reserves every
      // unit that it can't attribute to another entry.
      this.#counterAvailable = false;
      this.#simulation.time.after(TAKEOVER_MS, () => {
        const seen = this.#counted.reduce((sum, n, i) => sum + (i === entry ? 0 : n), 0);
        this.#reserve(entry, this.#simulation.options.limit - seen);
        this.#counterAvailable = true;
      });
    } else {
      this.#reserve(entry, this.#counted[entry] ?? 0);
    }
  }

  #reserve(entry: number, units: number): void {
    this.#counted[entry] = 0;
    this.#reserved += units;
    const since = entry === COUNTER_ENTRY ? DEATH_OBSERVED_MS - TAKEOVER_MS : DEATH_OBSERVED_MS;
    this.#simulation.time.after(since + RECLAIM_AFTER_MS, () => {
      this.#reserved -= units;
    });
  }

  #sendMessage(arrive: () => void): void {
    this.#peerMessages += 1;
    this.#simulation.time.after(PEER_DELAY_MS, arrive);
  }

  #requestUnits(entry: number, units: number): void {
    this.#requested[entry] = units;
    this.#sendMessage(() => {
      const sum = this.#counted.reduce((total, n) => total + n, this.#reserved);
      const available = this.#counterAvailable
        ? Math.max(0, this.#simulation.options.limit - sum)
        : 0;
      const granted = Math.min(units, available);
      this.#counted[entry] = (this.#counted[entry] ?? 0) + granted;
      this.#sendMessage(() => {
        this.#requested[entry] = 0;
        this.#granted[entry] = (this.#granted[entry] ?? 0) + granted;
        this.#simulation.startWaiting(entry);
      });
    });
  }
}

/** Baseline: units are tokens that entries hold until they transfer them to one that asks. */
export class TokenGossip implements QuotaScheme {
  readonly name = 'token gossip';
  readonly #simulation: QuotaSimulation;
  readonly #tokens: number[];
  #peerMessages = 0;

  constructor(simulation: QuotaSimulation) {
    this.#simulation = simulation;
    const { entries, limit } = simulation.options;
    this.#tokens = Array.from({ length: entries }, () => Math.floor(limit / entries));
    simulation.time.every(REQUEST_PERIOD_MS, () => {
      this.#tokens.forEach((_, entry) => {
        this.#requestFromRandomEntry(entry);
      });
    });
  }

  get traffic(): { readonly peer: number; readonly store: number } {
    return { peer: this.#peerMessages, store: 0 };
  }

  acquire(entry: number): boolean {
    return this.#simulation.entry(entry).running < (this.#tokens[entry] ?? 0);
  }

  release(): void {
    // The token stays with the entry.
  }

  demandChanged(): void {
    // Entries request tokens periodically, not on a change of demand.
  }

  /** The tokens are reissued to another entry once the dead entry's work must have ended. */
  entryDied(entry: number): void {
    const lost = this.#tokens[entry] ?? 0;
    this.#tokens[entry] = 0;
    this.#simulation.time.after(DEATH_OBSERVED_MS + RECLAIM_AFTER_MS, () => {
      const successor = (entry + 1) % this.#tokens.length;
      this.#tokens[successor] = (this.#tokens[successor] ?? 0) + lost;
    });
  }

  #requestFromRandomEntry(entry: number): void {
    const { random, entries } = this.#simulation.options;
    const { waiting, alive } = this.#simulation.entry(entry);
    if (waiting === 0 || !alive) {
      return;
    }
    const other = (entry + 1 + random.nextInt(entries - 1)) % entries;
    this.#sendMessage(() => {
      const idle = (this.#tokens[other] ?? 0) - this.#simulation.entry(other).running;
      const transferred = this.#simulation.entry(other).waiting > 0 ? 0 : Math.min(waiting, idle);
      this.#tokens[other] = (this.#tokens[other] ?? 0) - transferred;
      this.#sendMessage(() => {
        this.#tokens[entry] = (this.#tokens[entry] ?? 0) + transferred;
        this.#simulation.startWaiting(entry);
      });
    });
  }

  #sendMessage(arrive: () => void): void {
    this.#peerMessages += 1;
    this.#simulation.time.after(PEER_DELAY_MS, arrive);
  }
}
