import type { AppError } from '../errors/index.js';
import type { Configuration } from '../resources/index.js';
import type { InstanceName, Millis, RequestId, TaskId, TeamName } from '../types/index.js';
import type { Fence, Resources, TaskLogEvent, TaskSpec, TaskState } from './model.js';

/** How a run ended, as its worker reports it. */
export type RunOutcome = 'succeeded' | 'failed' | 'checkpointed' | 'stopped';

export interface RunningTask {
  readonly id: TaskId;
  readonly fence: Fence;
  /** Measured use, which lags behind. */
  readonly usage: Resources;
  /** Milliseconds since the start of this run, on the clock of the worker. */
  readonly runMs: Millis;
  readonly throttled: boolean;
}

export interface FinishedTask {
  readonly id: TaskId;
  readonly fence: Fence;
  readonly outcome: RunOutcome;
  /** Highest measured use of the run. */
  readonly peak: Resources;
  readonly runMs: Millis;
  readonly detail: string;
}

/**
 * What a worker says about itself. Reports may be late, doubled or lost. A worker is asked for one at
 * a time, and an answer to a request that was given up is dropped.
 */
export interface WorkerReport {
  readonly worker: InstanceName;
  /** Our clock when the report was asked for; an earlier one than the last is a late report. */
  readonly requestedAt: Millis;
  /** Changes when the worker restarts, which ends every task that it ran. */
  readonly incarnation: string;
  /** Reading of the worker's monotonic clock when it wrote the report. */
  readonly clockMs: Millis;
  /** Age of the usage figures. */
  readonly lagMs: Millis;
  readonly draining: boolean;
  /**
   * Positions in the worker's list of finished tasks: `finished` holds those after the first up to
   * the second. A gap shows that a report was lost on the way here.
   */
  readonly after: number;
  readonly cursor: number;
  readonly running: readonly RunningTask[];
  readonly finished: readonly FinishedTask[];
}

/**
 * A worker's reply to one lease or renewal. Only `accepted` means that the task runs; the other
 * replies to a lease mean that it was not started.
 */
export type LeaseReply = 'accepted' | 'stale-fence' | 'expired' | 'draining' | 'busy' | 'not-held';

export interface LeaseResult {
  readonly id: TaskId;
  readonly fence: Fence;
  /** `unknown`: no reply, so the task may run; `not-sent`: no byte left. */
  readonly reply: LeaseReply | 'unknown' | 'not-sent';
}

export type TaskEvent =
  | { readonly type: 'submitted'; readonly request: RequestId; readonly task: TaskSpec }
  | {
      readonly type: 'cancelled';
      readonly request: RequestId;
      /** The team whose key came with the request; tasks of other teams are left alone. */
      readonly team: TeamName;
      readonly ids: readonly TaskId[];
    }
  /** Replies to an append carry its epoch; those to a former ownership are ignored. */
  | { readonly type: 'append-confirmed'; readonly epoch: number; readonly batch: number }
  /** The batch was not written. `not-owner` ends the work of this decider. */
  | {
      readonly type: 'append-rejected';
      readonly epoch: number;
      readonly batch: number;
      readonly cause: 'unavailable' | 'not-owner';
    }
  /** The batch may have been written; the same batch is sent again under the same number. */
  | { readonly type: 'append-unknown'; readonly epoch: number; readonly batch: number }
  /** Replies to leases. Those to renewals and stops are not needed: reports show their effect. */
  | {
      readonly type: 'lease-result';
      readonly worker: InstanceName;
      readonly results: readonly LeaseResult[];
    }
  | { readonly type: 'worker-report'; readonly report: WorkerReport }
  | { readonly type: 'worker-unreachable'; readonly worker: InstanceName }
  | { readonly type: 'config-changed'; readonly cfg: Configuration }
  /** What each team may use on this pool. A team that is not listed starts nothing. */
  | { readonly type: 'allowances'; readonly teams: ReadonlyMap<TeamName, Resources> }
  /** `nextBatch` is the number of the first batch that this owner appends. */
  | {
      readonly type: 'ownership-gained';
      readonly epoch: number;
      readonly log: readonly TaskLogEvent[];
      readonly nextBatch: number;
    }
  | { readonly type: 'ownership-lost' }
  /**
   * No task starts after `configUntil`, and nothing is sent to a worker after `ownerUntil`: from
   * then on the configuration may be outdated, or another owner may act.
   */
  | { readonly type: 'freshness'; readonly configUntil: Millis; readonly ownerUntil: Millis }
  | { readonly type: 'tick' };

export interface LeaseOrder {
  readonly id: TaskId;
  readonly fence: Fence;
  readonly ttlMs: Millis;
  /** The worker ignores the order when its own clock has passed this reading. */
  readonly validBeforeMs: Millis;
  /** The worker ignores the order when it has restarted since. */
  readonly incarnation: string;
  readonly command: string;
  readonly resources: Resources;
  readonly resume: boolean;
}

export interface RenewOrder {
  readonly id: TaskId;
  readonly fence: Fence;
  readonly ttlMs: Millis;
  readonly validBeforeMs: Millis;
  /** A throttle lasts until a renewal that does not ask for it. */
  readonly throttled: boolean;
}

export type StopMode = 'throttle' | 'checkpoint' | 'stop';

/** Why work is throttled, checkpointed or stopped. */
export type StopReason =
  'overload' | 'urgent-work' | 'share-called-back' | 'cancelled' | 'superseded';

/** What a task waits for. */
export type WaitReason =
  | 'log-append'
  | 'configuration-freshness'
  | 'ownership'
  | 'team-allowance'
  | 'capacity'
  | 'share'
  | 'former-lease'
  | 'preemption'
  | 'failed-on-several-workers'
  | 'infeasible'
  | 'worker-answer';

export type TaskAnswer =
  | { readonly type: 'accepted'; readonly id: TaskId; readonly state: TaskState }
  /** The task is accepted but no worker of the present fleet can run it. */
  | { readonly type: 'infeasible'; readonly id: TaskId; readonly reason: string }
  | {
      readonly type: 'cancelled';
      /** State of each listed task, in the order of the request; absent when there is none. */
      readonly states: readonly { readonly id: TaskId; readonly state: TaskState | 'absent' }[];
    }
  | { readonly type: 'refused'; readonly err: AppError };

export type TaskDecision =
  /** Written to the log as one row numbered `batch`, conditional on the owner's epoch. */
  | {
      readonly type: 'append';
      readonly epoch: number;
      readonly batch: number;
      readonly events: readonly TaskLogEvent[];
      /** Rows before this one are no longer needed once this batch is confirmed. */
      readonly dropBefore?: number;
    }
  | {
      readonly type: 'lease';
      readonly worker: InstanceName;
      readonly leases: readonly LeaseOrder[];
      /** The order must have left by this reading of the owner's clock, or is reported `not-sent`. */
      readonly sendBefore: Millis;
    }
  | {
      readonly type: 'renew';
      readonly worker: InstanceName;
      /** Epoch of the present owner; the fence may be that of a former one. */
      readonly epoch: number;
      readonly renewals: readonly RenewOrder[];
      readonly sendBefore: Millis;
    }
  | {
      readonly type: 'stop';
      readonly worker: InstanceName;
      readonly epoch: number;
      readonly id: TaskId;
      readonly fence: Fence;
      readonly mode: StopMode;
      readonly reason: StopReason;
      readonly sendBefore: Millis;
    }
  | { readonly type: 'answer'; readonly request: RequestId; readonly answer: TaskAnswer }
  | {
      readonly type: 'wait';
      readonly id: TaskId;
      readonly reason: WaitReason;
      readonly since: Millis;
    };
