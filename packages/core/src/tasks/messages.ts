import type { AppError } from '../errors/index.js';
import type { Configuration } from '../resources/index.js';
import type { InstanceName, Millis, RequestId, TaskId, TeamName } from '../types/index.js';
import type { Fence, Resources, TaskLogEvent, TaskSpec, TaskState } from './model.js';

/** Outcome of a run, as reported by its worker. */
export type RunOutcome = 'succeeded' | 'failed' | 'checkpointed' | 'stopped';

export interface RunningTask {
  readonly id: TaskId;
  readonly fence: Fence;
  /** Measured usage, older than the report by `lagMs`. */
  readonly usage: Resources;
  /** Milliseconds since the start of this run, on the clock of the worker. */
  readonly runMs: Millis;
  readonly throttled: boolean;
}

export interface FinishedTask {
  readonly id: TaskId;
  readonly fence: Fence;
  readonly outcome: RunOutcome;
  /** Highest measured usage of the run. */
  readonly peak: Resources;
  readonly runMs: Millis;
  readonly detail: string;
}

/**
 * Status report of a worker. Reports may be delayed, duplicated or lost. At most one request per
 * worker is in flight, and the response to a request that timed out is dropped.
 */
export interface WorkerReport {
  readonly worker: InstanceName;
  /**
   * Owner's clock when the report was requested. A report requested before the last one is stale.
   */
  readonly requestedAt: Millis;
  /** Changes when the worker restarts, which ends every task that it ran. */
  readonly incarnation: string;
  /** Reading of the worker's monotonic clock when it wrote the report. */
  readonly clockMs: Millis;
  /** Age of the usage figures. */
  readonly lagMs: Millis;
  readonly draining: boolean;
  /**
   * Positions in the worker's list of finished tasks: `finished` holds the entries after position
   * `after`, up to and including `cursor`. A gap means that an earlier report was lost.
   */
  readonly after: number;
  readonly cursor: number;
  readonly running: readonly RunningTask[];
  readonly finished: readonly FinishedTask[];
}

/**
 * Reply of a worker to one lease or renewal. Only `accepted` means that the task runs. Every other
 * reply to a lease means that the task was not started.
 */
export type LeaseReply = 'accepted' | 'stale-fence' | 'expired' | 'draining' | 'busy' | 'not-held';

export interface LeaseResult {
  readonly id: TaskId;
  readonly fence: Fence;
  /** `unknown`: sent but not answered, so the task may run; `not-sent`: nothing was transmitted. */
  readonly reply: LeaseReply | 'unknown' | 'not-sent';
}

export type TaskEvent =
  | { readonly type: 'submitted'; readonly request: RequestId; readonly task: TaskSpec }
  | {
      readonly type: 'cancelled';
      readonly request: RequestId;
      /** The authenticated team; tasks of other teams are not cancelled. */
      readonly team: TeamName;
      readonly ids: readonly TaskId[];
    }
  /** Results of an append carry its epoch; results for an earlier ownership are ignored. */
  | { readonly type: 'append-confirmed'; readonly epoch: number; readonly batch: number }
  /** The batch was not written. `not-owner` ends the ownership. */
  | {
      readonly type: 'append-rejected';
      readonly epoch: number;
      readonly batch: number;
      readonly cause: 'unavailable' | 'not-owner';
    }
  /** The batch may have been written; it is retried under the same number. */
  | { readonly type: 'append-unknown'; readonly epoch: number; readonly batch: number }
  /** Replies to leases. Replies to renewals and stops are ignored: reports show their effect. */
  | {
      readonly type: 'lease-result';
      readonly worker: InstanceName;
      readonly results: readonly LeaseResult[];
    }
  | { readonly type: 'worker-report'; readonly report: WorkerReport }
  | { readonly type: 'worker-unreachable'; readonly worker: InstanceName }
  | { readonly type: 'config-changed'; readonly cfg: Configuration }
  /** Resource allowance of each team on this pool. A team that is not listed starts nothing. */
  | { readonly type: 'allowances'; readonly teams: ReadonlyMap<TeamName, Resources> }
  /** `nextBatch` is the number of the first batch that this owner will append. */
  | {
      readonly type: 'ownership-gained';
      readonly epoch: number;
      readonly log: readonly TaskLogEvent[];
      readonly nextBatch: number;
    }
  | { readonly type: 'ownership-lost' }
  /**
   * No task starts after `configUntil`, when the configuration may be outdated. Nothing is sent to
   * a worker after `ownerUntil`, when another instance may have become the owner.
   */
  | { readonly type: 'freshness'; readonly configUntil: Millis; readonly ownerUntil: Millis }
  | { readonly type: 'tick' };

export interface LeaseOrder {
  readonly id: TaskId;
  readonly fence: Fence;
  readonly ttlMs: Millis;
  /** The worker ignores the order once its own clock has passed this reading. */
  readonly validBeforeMs: Millis;
  /** The worker ignores the order if it has restarted since. */
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
  /** A throttle lasts until a renewal with `throttled: false`. */
  readonly throttled: boolean;
}

export type StopMode = 'throttle' | 'checkpoint' | 'stop';

/** Why work is throttled, checkpointed or stopped. */
export type StopReason =
  'overload' | 'urgent-work' | 'share-called-back' | 'cancelled' | 'superseded';

/** Reason why a task has not started or ended yet. */
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
  /** The task is accepted but no worker of the current fleet can run it. */
  | { readonly type: 'infeasible'; readonly id: TaskId; readonly reason: string }
  | {
      readonly type: 'cancelled';
      /** State of each listed task, in request order; `absent` if the team has no such task. */
      readonly states: readonly { readonly id: TaskId; readonly state: TaskState | 'absent' }[];
    }
  | { readonly type: 'refused'; readonly err: AppError };

export type TaskDecision =
  /** Writes one log row numbered `batch`, conditional on the owner's epoch. */
  | {
      readonly type: 'append';
      readonly epoch: number;
      readonly batch: number;
      readonly events: readonly TaskLogEvent[];
      /** Rows before this number can be deleted once this batch is confirmed. */
      readonly dropBefore?: number;
    }
  | {
      readonly type: 'lease';
      readonly worker: InstanceName;
      readonly leases: readonly LeaseOrder[];
      /** Deadline on the owner's clock for transmitting; an order that misses it is `not-sent`. */
      readonly sendBefore: Millis;
    }
  | {
      readonly type: 'renew';
      readonly worker: InstanceName;
      /** Epoch of the current owner; the fences may have been issued by a former one. */
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
