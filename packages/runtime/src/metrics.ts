import { StatsD } from 'hot-shots';
import type { Millis } from '@turmerichoist/core';

export type MetricTags = Readonly<Record<string, string>>;

/** Records the counters, gauges and timings of the process. */
export interface Metrics {
  count(name: string, by?: number, tags?: MetricTags): void;
  gauge(name: string, value: number, tags?: MetricTags): void;
  /** Records a duration in milliseconds. */
  timing(name: string, ms: Millis, tags?: MetricTags): void;
  close(): Promise<void>;
}

export interface StatsdOptions {
  readonly host: string;
  readonly port: number;
  readonly prefix: string;
  readonly onError: (err: Error) => void;
}

/** Sends metrics to a StatsD agent over UDP. */
export class StatsdMetrics implements Metrics {
  readonly #client: StatsD;

  constructor(options: StatsdOptions) {
    this.#client = new StatsD({
      host: options.host,
      port: options.port,
      prefix: options.prefix,
      maxBufferSize: 1_400,
      bufferFlushInterval: 1_000,
      errorHandler: options.onError,
    });
  }

  count(name: string, by = 1, tags: MetricTags = {}): void {
    this.#client.increment(name, by, tags);
  }

  gauge(name: string, value: number, tags: MetricTags = {}): void {
    this.#client.gauge(name, value, tags);
  }

  timing(name: string, ms: Millis, tags: MetricTags = {}): void {
    this.#client.timing(name, ms, tags);
  }

  close(): Promise<void> {
    return new Promise((resolve) => {
      this.#client.close(() => {
        resolve();
      });
    });
  }
}

/** Discards all metrics. */
export class NoMetrics implements Metrics {
  count(): void {
    // Metrics are off.
  }

  gauge(): void {
    // Metrics are off.
  }

  timing(): void {
    // Metrics are off.
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}
