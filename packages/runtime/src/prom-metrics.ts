import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { Millis } from '@turmerichoist/core';
import type { Metrics, MetricTags } from './metrics.js';

/** Upper bounds of the buckets of latency histograms, in milliseconds. */
const LATENCY_BUCKETS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000];

/** Replaces the characters that the Prometheus text format does not allow in names. */
function metricName(name: string): string {
  return `turmerichoist_${name.replaceAll(/[^a-zA-Z0-9_]/g, '_')}`;
}

/** Keeps counters, gauges and timings in memory for a Prometheus scrape. */
export class PromMetrics implements Metrics {
  readonly #registry = new Registry();
  readonly #counters = new Map<string, Counter>();
  readonly #gauges = new Map<string, Gauge>();
  readonly #histograms = new Map<string, Histogram>();

  count(name: string, by = 1, tags: MetricTags = {}): void {
    const counter = this.#counters.get(name) ?? this.#newCounter(name, tags);
    counter.inc(tags, by);
  }

  gauge(name: string, value: number, tags: MetricTags = {}): void {
    const gauge = this.#gauges.get(name) ?? this.#newGauge(name, tags);
    gauge.set(tags, value);
  }

  timing(name: string, ms: Millis, tags: MetricTags = {}): void {
    const histogram = this.#histograms.get(name) ?? this.#newHistogram(name, tags);
    histogram.observe(tags, ms);
  }

  /** Returns all metrics in the Prometheus text format. */
  text(): Promise<string> {
    return this.#registry.metrics();
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  #newCounter(name: string, tags: MetricTags): Counter {
    const counter = new Counter({
      ...this.#metricOptions(name, tags),
      name: `${metricName(name)}_total`,
    });
    this.#counters.set(name, counter);
    return counter;
  }

  #newGauge(name: string, tags: MetricTags): Gauge {
    const gauge = new Gauge(this.#metricOptions(name, tags));
    this.#gauges.set(name, gauge);
    return gauge;
  }

  #newHistogram(name: string, tags: MetricTags): Histogram {
    const options = { ...this.#metricOptions(name, tags), name: `${metricName(name)}_ms` };
    const histogram = new Histogram({ ...options, buckets: LATENCY_BUCKETS_MS });
    this.#histograms.set(name, histogram);
    return histogram;
  }

  #metricOptions(name: string, tags: MetricTags) {
    return {
      name: metricName(name),
      help: name,
      labelNames: Object.keys(tags),
      registers: [this.#registry],
    };
  }
}
