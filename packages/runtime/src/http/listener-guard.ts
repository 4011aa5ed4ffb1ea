import {
  CONNECTION_BYTES,
  MemoryBudget,
  listenerBounds,
  type Clock,
  type ListenerBounds,
  type Millis,
  type ProcessLimits,
} from '@turmerichoist/core';
import type { Logger } from '../logger.js';
import type { Metrics } from '../metrics.js';
import { afterArrivedInput, every } from '../timers.js';
import { BodyReader } from './body-reader.js';

/** Interval at which time limits are checked and what was refused is logged. */
const SWEEP_MS: Millis = 1_000;
/** Part of the budget for a single body while completed ones wait for the store. */
const RESERVE_SHARE = 0.1;

/** Why a request was refused or a connection was closed. */
export type GuardReason =
  | 'body-budget'
  | 'body-too-large'
  | 'body-too-slow'
  | 'connections'
  | 'header-fields'
  | 'header-too-slow'
  | 'malformed'
  | 'pipelined'
  | 'response-unread';

/** A listener whose time limits the guard checks. */
export interface GuardedListener {
  readonly connections: number;
  sweep(now: Millis): void;
}

export interface ListenerGuardOptions {
  readonly limits: ProcessLimits;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: Logger;
  readonly signal: AbortSignal;
}

/** What all listeners of a process share: the budget for bodies, the sweep, counters and the log. */
export class ListenerGuard {
  readonly bounds: ListenerBounds;
  readonly bodies: BodyReader;
  readonly clock: Clock;
  readonly #budget: MemoryBudget;
  readonly #metrics: Metrics;
  readonly #log: Logger;
  readonly #listeners: GuardedListener[] = [];
  /** Refusals and closed connections by reason since the last log line. */
  readonly #counts = new Map<GuardReason, number>();

  constructor({ limits, clock, metrics, log, signal }: ListenerGuardOptions) {
    this.bounds = listenerBounds(limits);
    this.clock = clock;
    this.#metrics = metrics;
    this.#log = log.child('listeners');
    const capacityBytes = this.bounds.bodyBytes;
    const reserveBytes = Math.floor(capacityBytes * RESERVE_SHARE);
    this.#budget = new MemoryBudget({ capacityBytes, reserveBytes });
    this.bodies = new BodyReader(this.#budget, clock, (reason) => {
      this.count(reason);
    });
    // After a pause of the process, callers must not be refused for bytes that arrived meanwhile.
    every(SWEEP_MS, signal, () => {
      afterArrivedInput(signal, () => {
        this.#sweep();
      });
    });
  }

  add(listener: GuardedListener): void {
    this.#listeners.push(listener);
  }

  /** Counts a refusal or a closed connection. */
  count(reason: GuardReason): void {
    this.#counts.set(reason, (this.#counts.get(reason) ?? 0) + 1);
  }

  #sweep(): void {
    const now = this.clock.now();
    this.bodies.sweep(now);
    for (const listener of this.#listeners) {
      listener.sweep(now);
    }
    const { receiving, complete } = this.#budget.held;
    const connections = this.#listeners.reduce((sum, each) => sum + each.connections, 0);
    this.#metrics.gauge('listeners.held_bytes', receiving, { kind: 'receiving' });
    this.#metrics.gauge('listeners.held_bytes', complete, { kind: 'complete' });
    this.#metrics.gauge('listeners.held_bytes', connections * CONNECTION_BYTES, {
      kind: 'connections',
    });
    if (this.#counts.size === 0) {
      return;
    }
    for (const [reason, count] of this.#counts) {
      this.#metrics.count('listeners.refused', count, { reason });
    }
    this.#log.warn('requests refused or connections closed', {
      reasons: Object.fromEntries(this.#counts),
      held: { receiving, complete },
      bodyBytes: this.bounds.bodyBytes,
      connections,
      maxConnections: this.bounds.connections,
    });
    this.#counts.clear();
  }
}
