import type { Clock, Millis } from '@turmerichoist/core';
import type { StoreCallStats } from '@turmerichoist/coordination';
import {
  EventLoopDelay,
  every,
  type ActorContext,
  type LogFields,
  type Metrics,
} from '@turmerichoist/runtime';

/** One line a period and process, so the volume does not grow with the load. */
const REPORT_PERIOD_MS: Millis = 1_000;
const MICROS_PER_MS = 1_000;

export interface LoadReporterOptions {
  readonly clock: Clock;
  readonly storeCalls: StoreCallStats;
  readonly metrics: Metrics;
  /** Figures of the callers' side: calls by kind, age of what is answered from. */
  readonly service: () => LogFields;
  /** Figures of the owner; undefined while this member does not lead. */
  readonly owner: () => LogFields | undefined;
}

/** Logs once a second what a process does and how far it is behind. */
export class LoadReporter {
  readonly #options: LoadReporterOptions;
  readonly #context: ActorContext;
  readonly #loopDelay: EventLoopDelay;
  #cpu = process.cpuUsage();

  constructor(options: LoadReporterOptions, context: ActorContext) {
    this.#options = options;
    this.#context = { ...context, log: context.log.child('load') };
    this.#loopDelay = new EventLoopDelay(options.clock, context.signal);
  }

  start(): void {
    every(REPORT_PERIOD_MS, this.#context.signal, () => {
      this.#report();
    });
  }

  #report(): void {
    const { storeCalls, metrics, service, owner } = this.#options;
    const loopDelayMs = this.#loopDelay.take();
    const used = process.cpuUsage(this.#cpu);
    this.#cpu = process.cpuUsage();
    metrics.gauge('load.loop_delay_max', loopDelayMs.max);
    this.#context.log.info('load', {
      cpuMs: Math.round((used.user + used.system) / MICROS_PER_MS),
      loopDelayMs,
      store: storeCalls.take(),
      ...service(),
      owner: owner(),
    });
  }
}
