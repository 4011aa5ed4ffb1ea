import type { InstanceName, Millis, TaskId, ZoneName } from '../types/index.js';
import type { Resources } from './model.js';

/** Relates the worker's clock to the owner's clock, from one report. */
export interface ClockAnchor {
  readonly incarnation: string;
  readonly clockMs: Millis;
  /** Owner's clock when the report arrived. The worker's clock read `clockMs` before that. */
  readonly receivedAt: Millis;
}

/** One worker of the pool. */
export interface WorkerView {
  readonly name: InstanceName;
  readonly zone: ZoneName;
  readonly labels: Readonly<Record<string, string>>;
  readonly capacity: Resources;
  readonly cordoned: boolean;
  readonly used: Resources;
  readonly tasks: number;
  readonly anchor: ClockAnchor | undefined;
  readonly reservedFor: TaskId | undefined;
}

/** Reason why a worker gets no new tasks for now. A worker that is probing gets a single one. */
export type Hold = 'unreachable' | 'paused' | 'draining' | 'quarantined' | 'probing';
