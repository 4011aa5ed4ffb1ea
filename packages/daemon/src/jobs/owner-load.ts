import type { CellPoolLoadView, Clock, JobEvent, Millis } from '@turmerichoist/core';
import { WindowStats, type LogFields } from '@turmerichoist/runtime';

/** How far a leader is behind, and what it has handled, by period. */
export class OwnerLoad {
  readonly #clock: Clock;
  /** Times at which ticks were queued behind other events and have not been handled. */
  readonly #queuedTicks: Millis[] = [];
  readonly #eventDelay = new WindowStats();
  readonly #jobDelay = new WindowStats();
  readonly #events = new Map<string, number>();
  readonly #ends = new Map<string, number>();
  #jobsReadAt: Millis | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  onTickQueued(): void {
    this.#queuedTicks.push(this.#clock.now());
  }

  onJobsRead(): void {
    this.#jobsReadAt = this.#clock.now();
  }

  /** Records an event that is about to be handled. */
  onEvent(event: JobEvent): void {
    increment(this.#events, event.type);
    if (event.type === 'tick') {
      this.#eventDelay.add(this.#clock.now() - (this.#queuedTicks.shift() ?? this.#clock.now()));
    } else if (event.type === 'report') {
      event.report.ended.forEach(({ reason }) => {
        increment(this.#ends, reason);
      });
    } else if (event.type === 'jobs' && !event.adopted) {
      event.jobs.forEach(({ accepted }) => {
        this.#jobDelay.add(this.#clock.wall() - accepted.acceptedWallMs);
      });
    }
  }

  /** Returns the figures since the last call. `listedEnds` counts an end each time it is listed. */
  take(pools: CellPoolLoadView): LogFields {
    const oldest = this.#queuedTicks[0];
    const fields = {
      eventDelayMs: this.#eventDelay.take(),
      oldestEventMs: oldest === undefined ? 0 : Math.round(this.#clock.now() - oldest),
      jobDelayMs: this.#jobDelay.take(),
      jobsReadAgeMs: ageOf(this.#jobsReadAt, this.#clock),
      events: Object.fromEntries(this.#events),
      listedEnds: Object.fromEntries(this.#ends),
      pools: pools.describe(this.#clock.now()),
    };
    this.#events.clear();
    this.#ends.clear();
    return fields;
  }
}

function ageOf(time: Millis | undefined, clock: Clock): Millis | undefined {
  return time === undefined ? undefined : Math.round(clock.now() - time);
}

function increment(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}
