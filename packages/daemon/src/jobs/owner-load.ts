import type { CellPoolLoadView, Clock, JobEvent, Millis, PoolName } from '@turmerichoist/core';
import { WindowStats, type LogFields, type Metrics } from '@turmerichoist/runtime';

const TEAMS_BELOW_SHARE = 'shares.teams_below';

/** How far a leader is behind, and what it has handled, by period. */
export class OwnerLoad {
  readonly #clock: Clock;
  readonly #metrics: Metrics;
  /** Pools whose gauge has been set. */
  readonly #gaugedPools = new Set<PoolName>();
  /** Times at which ticks were queued behind other events and have not been handled. */
  readonly #queuedTicks: Millis[] = [];
  readonly #eventDelay = new WindowStats();
  readonly #jobDelay = new WindowStats();
  readonly #events = new Map<string, number>();
  readonly #ends = new Map<string, number>();
  #jobsReadAt: Millis | undefined;

  /** Figures are taken until `signal` aborts at the end of the term. */
  constructor(clock: Clock, metrics: Metrics, signal: AbortSignal) {
    this.#clock = clock;
    this.#metrics = metrics;
    const onEnd = (): void => {
      // Otherwise a former leader would go on showing its last figures.
      this.#gaugeTeamsBelow(new Map());
    };
    signal.addEventListener('abort', onEnd, { once: true });
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
    this.#gaugeTeamsBelow(pools.teamsBelowShare(this.#clock.now()));
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

  #gaugeTeamsBelow(counts: ReadonlyMap<PoolName, number>): void {
    for (const pool of counts.keys()) {
      this.#gaugedPools.add(pool);
    }
    for (const pool of this.#gaugedPools) {
      this.#metrics.gauge(TEAMS_BELOW_SHARE, counts.get(pool) ?? 0, { pool });
    }
  }
}

function ageOf(time: Millis | undefined, clock: Clock): Millis | undefined {
  return time === undefined ? undefined : Math.round(clock.now() - time);
}

function increment(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}
