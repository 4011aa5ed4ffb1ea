import type { Resources } from '../tasks/model.js';
import type { Millis, PoolName, ZoneName } from '../types/index.js';
import type {
  AcceptedJob,
  ExecutorId,
  ExecutorInfo,
  ExecutorReport,
  JobId,
  JobProgress,
  SchedulingConfig,
  StartOutcome,
  TaskRef,
} from './model.js';

/** A job with what the store says of its progress. */
export interface StoredJob {
  readonly accepted: AcceptedJob;
  readonly progress?: JobProgress;
}

/** An instance as the platform's list of instances shows it. */
export interface PoolInstance {
  readonly name: string;
  readonly pool: PoolName;
  readonly state: 'up' | 'moving' | 'maintenance' | 'down';
  readonly zone: ZoneName;
  readonly rack: string;
  readonly capacity: Resources;
  /** The executor that runs on it, if any. */
  readonly executor: ExecutorId | undefined;
}

/** A request that instances be maintained by a time, with a bound on how many are down at once. */
export interface MaintenanceWave {
  readonly number: number;
  readonly instances: readonly string[];
  readonly maxParallel: number;
  /** Instances whose maintenance an earlier owner has begun. */
  readonly begun: readonly string[];
  readonly completed: boolean;
}

export type InstanceOrder =
  | { readonly type: 'maintain'; readonly instance: string; readonly wave: number }
  | { readonly type: 'move'; readonly instance: string; readonly pool: PoolName };

/** `done`: carried out. `busy`: not possible now. `impossible`: never. `unknown`: no answer. */
export type InstanceOrderOutcome = 'done' | 'busy' | 'impossible' | 'unknown';

export type JobEvent =
  | { readonly type: 'config'; readonly config: SchedulingConfig }
  | { readonly type: 'zones-out'; readonly zones: ReadonlySet<ZoneName> }
  /** All executors that the platform lists. */
  | { readonly type: 'executors'; readonly executors: readonly ExecutorInfo[] }
  /** Jobs from the store; `adopted` when an earlier owner may have started tasks of them. */
  | { readonly type: 'jobs'; readonly jobs: readonly StoredJob[]; readonly adopted: boolean }
  | { readonly type: 'cancelled'; readonly ids: readonly JobId[] }
  | { readonly type: 'report'; readonly report: ExecutorReport; readonly leaseEndsAt: Millis }
  /** A look that may extend the lease of an executor is about to be sent. */
  | { readonly type: 'lease'; readonly executor: ExecutorId; readonly leaseEndsAt: Millis }
  /** An executor did not answer a look. */
  | { readonly type: 'silent'; readonly executor: ExecutorId; readonly leaseEndsAt: Millis }
  | {
      readonly type: 'start-answer';
      readonly task: TaskRef;
      readonly attempt: number;
      readonly executor: ExecutorId;
      readonly outcome: StartOutcome;
    }
  | {
      readonly type: 'stop-answer';
      readonly task: TaskRef;
      readonly attempt: number;
      readonly executor: ExecutorId;
      readonly answered: boolean;
    }
  /** An executor has seen the fencing token of a later owner. */
  | { readonly type: 'fenced'; readonly executor: ExecutorId }
  /** The platform's list of instances; `askedAt`: own clock when it was asked for. */
  | {
      readonly type: 'instances';
      readonly instances: readonly PoolInstance[];
      readonly askedAt: Millis;
    }
  | { readonly type: 'waves'; readonly waves: readonly MaintenanceWave[] }
  | {
      readonly type: 'order-answer';
      readonly order: InstanceOrder;
      readonly outcome: InstanceOrderOutcome;
    }
  | { readonly type: 'tick' };

export type JobDecision =
  | {
      readonly type: 'start';
      readonly executor: ExecutorId;
      readonly task: TaskRef;
      readonly attempt: number;
      readonly payload: string;
      readonly checkpoint: string;
    }
  | {
      readonly type: 'stop';
      readonly executor: ExecutorId;
      readonly task: TaskRef;
      readonly attempt: number;
      readonly why: string;
    }
  | {
      readonly type: 'pace';
      readonly executor: ExecutorId;
      readonly task: TaskRef;
      readonly attempt: number;
      readonly percent: number;
    }
  /** Write the progress of a job. */
  | { readonly type: 'persist'; readonly job: JobId; readonly progress: JobProgress }
  /** Acknowledge ends up to `through` once all progress decided so far is written. */
  | {
      readonly type: 'acknowledge';
      readonly executor: ExecutorId;
      readonly bornWallMs: Millis;
      readonly through: number;
    }
  | { readonly type: 'order'; readonly order: InstanceOrder }
  | {
      readonly type: 'wave-status';
      readonly wave: number;
      readonly state: 'running' | 'completed';
      readonly begun: readonly string[];
    }
  /** Another owner has taken over; this one must stop. */
  | { readonly type: 'superseded' };
