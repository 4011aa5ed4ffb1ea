import type { Millis, PoolName, UpstreamName, ZoneName } from '../types/index.js';
import { ExecutorHealth } from './executor-health.js';
import type { LoadReport } from './messages.js';

/** A load report and when it was received. */
export interface ReceivedLoadReport extends LoadReport {
  readonly receivedAt: Millis;
  /** Outstanding attempts of this entry when the report was received. */
  readonly outstanding: number;
}

/** Read-only view of an executor for load balancing. */
export interface ExecutorView {
  readonly name: UpstreamName;
  readonly slots: number;
  /** Relative position in the pool, in [0, 1). Spreads the rounding of slot intervals. */
  readonly roundingPhase: number;
  /** Attempts of this entry that are in flight on the executor. */
  readonly outstanding: number;
  readonly lastReport?: ReceivedLoadReport | undefined;
}

/** Location and capacity of an executor, from the configuration. */
export interface ExecutorConfig {
  readonly pool: PoolName;
  readonly zone: ZoneName;
  readonly slots: number;
  /** `false` if the upstream is leaving or its zone is out. */
  readonly inService: boolean;
}

/** State of one executor from the point of view of this entry. */
export class Executor implements ExecutorView {
  readonly name: UpstreamName;
  readonly health = new ExecutorHealth();
  /** `undefined` while the executor is not in the configuration. */
  config: ExecutorConfig | undefined;
  /** State from the last `upstream-state` event. */
  reportedState: 'healthy' | 'suspect' | 'leaving' = 'healthy';
  roundingPhase = 0;
  outstanding = 0;
  lastReport: ReceivedLoadReport | undefined;

  constructor(name: UpstreamName) {
    this.name = name;
  }

  get slots(): number {
    return this.config?.slots ?? 0;
  }

  /** Whether configuration and reported state allow new attempts, regardless of recent failures. */
  get inService(): boolean {
    return this.config?.inService === true && this.reportedState === 'healthy';
  }

  /** Whether the executor accepts another attempt now. */
  acceptsAttempt(now: Millis): boolean {
    return this.inService && this.health.acceptsAttempt(this.outstanding, now);
  }

  recordLoad(load: LoadReport, now: Millis): void {
    this.lastReport = { ...load, receivedAt: now, outstanding: this.outstanding };
  }
}
