import type { Millis, PoolName, UpstreamName, ZoneName } from '../types/index.js';
import { ExecutorHealth } from './executor-health.js';
import type { LoadReport } from './messages.js';

/** The last load report of an executor. */
export interface ReportedState extends LoadReport {
  readonly at: Millis;
  /** Own outstanding attempts when the report arrived. */
  readonly outstanding: number;
}

/** What a chooser knows of an executor that may take work. */
export interface ExecutorView {
  readonly name: UpstreamName;
  readonly slots: number;
  /** Position in its pool, from 0 to 1. It spreads the rounding of slot parts. */
  readonly phase: number;
  /** Attempts of this entry that run there. */
  readonly outstanding: number;
  readonly reported?: ReportedState | undefined;
}

/** Where an executor is and how much it takes, from the configuration. */
export interface ExecutorPlace {
  readonly pool: PoolName;
  readonly zone: ZoneName;
  readonly slots: number;
  /** `false` for one that is leaving or whose zone is out. */
  readonly inService: boolean;
}

/** State of one executor as seen by this entry. */
export class Executor implements ExecutorView {
  readonly name: UpstreamName;
  readonly health = new ExecutorHealth();
  /** `undefined` while the configuration does not name it. */
  place: ExecutorPlace | undefined;
  signal: 'healthy' | 'suspect' | 'leaving' = 'healthy';
  phase = 0;
  outstanding = 0;
  reported: ReportedState | undefined;

  constructor(name: UpstreamName) {
    this.name = name;
  }

  get slots(): number {
    return this.place?.slots ?? 0;
  }

  /** Whether it may get new work at all, apart from failures and refusals of its own. */
  get inService(): boolean {
    return this.place?.inService === true && this.signal === 'healthy';
  }

  /** Whether it may get one more attempt now. */
  open(now: Millis): boolean {
    return this.inService && this.health.open(this.outstanding, now);
  }

  report(load: LoadReport, now: Millis): void {
    this.reported = { ...load, at: now, outstanding: this.outstanding };
  }
}
