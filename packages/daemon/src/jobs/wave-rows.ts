import type { JsonValue } from '@turmerichoist/coordination';
import type { Clock, MaintenanceWave, Millis } from '@turmerichoist/core';
import type { RequestedWave } from './ports.js';

/** What is kept of a wave in the store. */
export interface StoredWave {
  readonly begun: readonly string[];
  readonly completed: boolean;
  /** Wall time at which an owner first saw the wave; its duration is counted from there. */
  readonly firstSeenWallMs: Millis;
}

/** The rows `waves/<number>` of one owner. */
export class WaveRows {
  readonly #clock: Clock;
  readonly #stored = new Map<number, StoredWave>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Takes a row of an earlier owner. */
  restore(number: number, row: StoredWave): void {
    this.#stored.set(number, row);
  }

  /** The wave as requested, with what has been done of it. */
  resume({ durationMs, ...wave }: RequestedWave): MaintenanceWave {
    const { begun, completed, firstSeenWallMs } = this.#of(wave.number);
    const sinceMs = this.#clock.wall() - firstSeenWallMs;
    return { ...wave, dueAt: this.#clock.now() - sinceMs + durationMs, begun, completed };
  }

  /** The value of the row after progress of a wave. */
  updated(number: number, begun: readonly string[], completed: boolean): JsonValue {
    const row = { ...this.#of(number), begun, completed };
    this.#stored.set(number, row);
    return row;
  }

  #of(number: number): StoredWave {
    const known = this.#stored.get(number);
    if (known !== undefined) {
      return known;
    }
    const first = { begun: [], completed: false, firstSeenWallMs: this.#clock.wall() };
    this.#stored.set(number, first);
    return first;
  }
}
