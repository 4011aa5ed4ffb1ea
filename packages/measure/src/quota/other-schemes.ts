import type { Millis } from '@turmerichoist/core';
import { RECLAIM_AFTER_MS } from '@turmerichoist/coordination';
import {
  DEATH_OBSERVED_MS,
  PEER_DELAY_MS,
  type LimitScheme,
  type Simulation,
} from './simulation.js';

/** Time from the death of a role's owner to the first decision of the next one (design 4.11). */
const TAKEOVER_MS: Millis = 15_000;
const COUNTER = 0;
/** Period at which an entry that lacks tokens asks one other entry. */
const ASK_MS: Millis = 50;

/** One entry counts for all: each start asks it, each end tells it. */
export class CentralCounting implements LimitScheme {
  readonly name = 'central counting';
  readonly #simulation: Simulation;
  readonly #asked: number[];
  readonly #ready: number[];
  readonly #counted: number[];
  #reserved = 0;
  #counting = true;
  #peer = 0;

  constructor(simulation: Simulation) {
    this.#simulation = simulation;
    const zeros = (): number[] => Array<number>(simulation.options.entries).fill(0);
    this.#asked = zeros();
    this.#ready = zeros();
    this.#counted = zeros();
    simulation.time.every(ASK_MS, () => {
      this.#asked.forEach((_, entry) => {
        this.demandChanged(entry);
      });
    });
  }

  get traffic(): { readonly peer: number; readonly store: number } {
    return { peer: this.#peer, store: 0 };
  }

  acquire(entry: number): boolean {
    const ready = this.#ready[entry] ?? 0;
    this.#ready[entry] = Math.max(0, ready - 1);
    return ready > 0;
  }

  release(entry: number): void {
    this.#message(() => {
      this.#counted[entry] = (this.#counted[entry] ?? 0) - 1;
    });
  }

  demandChanged(entry: number): void {
    const { waiting, alive } = this.#simulation.entry(entry);
    const missing = waiting - (this.#ready[entry] ?? 0);
    if (missing > 0 && alive && this.#asked[entry] === 0) {
      this.#ask(entry, missing);
    }
  }

  died(entry: number): void {
    if (entry === COUNTER) {
      // The next counter can't know what ran at the dead one, so it reserves all it can't see.
      this.#counting = false;
      this.#simulation.time.after(TAKEOVER_MS, () => {
        const seen = this.#counted.reduce((sum, n, i) => sum + (i === entry ? 0 : n), 0);
        this.#reserve(entry, this.#simulation.options.limit - seen);
        this.#counting = true;
      });
    } else {
      this.#reserve(entry, this.#counted[entry] ?? 0);
    }
  }

  #reserve(entry: number, units: number): void {
    this.#counted[entry] = 0;
    this.#reserved += units;
    const since = entry === COUNTER ? DEATH_OBSERVED_MS - TAKEOVER_MS : DEATH_OBSERVED_MS;
    this.#simulation.time.after(since + RECLAIM_AFTER_MS, () => {
      this.#reserved -= units;
    });
  }

  #message(arrive: () => void): void {
    this.#peer += 1;
    this.#simulation.time.after(PEER_DELAY_MS, arrive);
  }

  #ask(entry: number, units: number): void {
    this.#asked[entry] = units;
    this.#message(() => {
      const sum = this.#counted.reduce((total, n) => total + n, this.#reserved);
      const room = this.#counting ? Math.max(0, this.#simulation.options.limit - sum) : 0;
      const granted = Math.min(units, room);
      this.#counted[entry] = (this.#counted[entry] ?? 0) + granted;
      this.#message(() => {
        this.#asked[entry] = 0;
        this.#ready[entry] = (this.#ready[entry] ?? 0) + granted;
        this.#simulation.wake(entry);
      });
    });
  }
}

/** Units are tokens that entries hold for good and hand to others that ask for them. */
export class TokenGossip implements LimitScheme {
  readonly name = 'token gossip';
  readonly #simulation: Simulation;
  readonly #tokens: number[];
  #peer = 0;

  constructor(simulation: Simulation) {
    this.#simulation = simulation;
    const { entries, limit } = simulation.options;
    this.#tokens = Array.from({ length: entries }, () => Math.floor(limit / entries));
    simulation.time.every(ASK_MS, () => {
      this.#tokens.forEach((_, entry) => {
        this.#askAnyone(entry);
      });
    });
  }

  get traffic(): { readonly peer: number; readonly store: number } {
    return { peer: this.#peer, store: 0 };
  }

  acquire(entry: number): boolean {
    return this.#simulation.entry(entry).running < (this.#tokens[entry] ?? 0);
  }

  release(): void {
    // The token stays here.
  }

  demandChanged(): void {
    // Entries ask at fixed times only.
  }

  /** The survivors agree on new tokens once the dead entry's work must have ended. */
  died(entry: number): void {
    const lost = this.#tokens[entry] ?? 0;
    this.#tokens[entry] = 0;
    this.#simulation.time.after(DEATH_OBSERVED_MS + RECLAIM_AFTER_MS, () => {
      const heir = (entry + 1) % this.#tokens.length;
      this.#tokens[heir] = (this.#tokens[heir] ?? 0) + lost;
    });
  }

  #askAnyone(entry: number): void {
    const { random, entries } = this.#simulation.options;
    const { waiting, alive } = this.#simulation.entry(entry);
    if (waiting === 0 || !alive) {
      return;
    }
    const other = (entry + 1 + random.nextInt(entries - 1)) % entries;
    this.#send(() => {
      const idle = (this.#tokens[other] ?? 0) - this.#simulation.entry(other).running;
      const given = this.#simulation.entry(other).waiting > 0 ? 0 : Math.min(waiting, idle);
      this.#tokens[other] = (this.#tokens[other] ?? 0) - given;
      this.#send(() => {
        this.#tokens[entry] = (this.#tokens[entry] ?? 0) + given;
        this.#simulation.wake(entry);
      });
    });
  }

  #send(arrive: () => void): void {
    this.#peer += 1;
    this.#simulation.time.after(PEER_DELAY_MS, arrive);
  }
}
