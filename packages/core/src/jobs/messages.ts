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
import type { PaceOrder, StartOrder, StopOrder } from './order-backlog.js';
import type { HeldInstance } from './order-handover.js';
import type { ReservationChange } from './reservations.js';

/** A job and its progress as read from the store. */
export interface StoredJob {
  readonly accepted: AcceptedJob;
  readonly progress?: JobProgress;
}

/** An instance as the platform lists it. */
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

/** Time within which the maintenance of all instances of a wave must have begun. */
export interface WaveWindow {
  /** Monotonic time of this process before which the wave was not requested. */
  readonly requestedAfter: Millis;
  readonly durationMs: Millis;
}

/** A request to maintain a set of instances, at most `maxParallel` of them at once. */
export interface MaintenanceWave {
  readonly number: number;
  readonly instances: readonly string[];
  readonly maxParallel: number;
  /** Undefined if it is not known when the wave was requested. */
  readonly window?: WaveWindow;
  /** Instances whose maintenance has begun under an earlier owner. */
  readonly begun: readonly string[];
  readonly completed: boolean;
}

export type InstanceOrder =
  | { readonly type: 'maintain'; readonly instance: string; readonly wave: number }
  | { readonly type: 'move'; readonly instance: string; readonly pool: PoolName };

/**
 * `done`: accepted, now or by an earlier call. `busy`: refused for now, so no earlier call has taken
 * effect either. `impossible`: refused for good. `unknown`: no answer. `not-sent`: this call had no
 * effect, which says nothing of earlier ones.
 */
export type InstanceOrderOutcome = 'done' | 'busy' | 'impossible' | 'unknown' | 'not-sent';

export type JobEvent =
  | { readonly type: 'config'; readonly config: SchedulingConfig }
  | { readonly type: 'zones-out'; readonly zones: ReadonlySet<ZoneName> }
  /** The platform's list of executors, complete. */
  | { readonly type: 'executors'; readonly executors: readonly ExecutorInfo[] }
  /** Jobs from the store; `adopted` if an earlier owner may have started tasks of them. */
  | { readonly type: 'jobs'; readonly jobs: readonly StoredJob[]; readonly adopted: boolean }
  | { readonly type: 'cancelled'; readonly ids: readonly JobId[] }
  | {
      readonly type: 'report';
      readonly report: ExecutorReport;
      readonly leaseEndsAt: Millis;
      /** Monotonic time at which this process received it; if absent, the time of its poll. */
      readonly receivedAt?: Millis;
    }
  /** A poll that may extend the lease of an executor is about to be sent. */
  | { readonly type: 'lease'; readonly executor: ExecutorId; readonly leaseEndsAt: Millis }
  /** A poll of an executor timed out or failed. */
  | {
      readonly type: 'silent';
      readonly executor: ExecutorId;
      readonly leaseEndsAt: Millis;
      /** Monotonic time at which the poll was sent; if absent, now. */
      readonly sentAt?: Millis;
    }
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
  /** The owner's leader lease has lapsed, or is valid again. It counts as held at first. */
  | { readonly type: 'leadership'; readonly held: boolean }
  /** The platform's list of instances, with the monotonic time at which it was requested. */
  | {
      readonly type: 'instances';
      readonly instances: readonly PoolInstance[];
      readonly requestedAt: Millis;
    }
  /** The instances about which former owners may have ordered lately, complete. */
  | { readonly type: 'former-orders'; readonly held: readonly HeldInstance[] }
  | { readonly type: 'waves'; readonly waves: readonly MaintenanceWave[] }
  | {
      readonly type: 'order-answer';
      readonly order: InstanceOrder;
      readonly outcome: InstanceOrderOutcome;
    }
  /** All events that had arrived when a round became due have been handled. */
  | { readonly type: 'schedule' }
  | { readonly type: 'tick' };

export type JobDecision =
  | ({ readonly type: 'start'; readonly executor: ExecutorId } & StartOrder)
  | ({ readonly type: 'stop'; readonly executor: ExecutorId; readonly why: string } & StopOrder)
  | ({ readonly type: 'pace'; readonly executor: ExecutorId } & PaceOrder)
  /** Store the progress of a job. */
  | { readonly type: 'persist'; readonly job: JobId; readonly progress: JobProgress }
  /** Acknowledge ended runs up to `through`, once all progress decided so far is stored. */
  | {
      readonly type: 'acknowledge';
      readonly executor: ExecutorId;
      readonly startedWallMs: Millis;
      readonly through: number;
    }
  | { readonly type: 'order'; readonly order: InstanceOrder }
  | {
      readonly type: 'wave-status';
      readonly wave: number;
      readonly state: 'running' | 'completed';
      readonly begun: readonly string[];
    }
  /** A reservation of an executor was made or has ended; only recorded, there is nothing to carry out. */
  | ({ readonly type: 'reservation' } & ReservationChange)
  /** A later owner has taken over; this one must stop. */
  | { readonly type: 'superseded' };
