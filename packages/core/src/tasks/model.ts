import type {
  InstanceName,
  Millis,
  TaskId,
  TeamName,
  WorkClass,
  ZoneName,
} from '../types/index.js';

/** Amounts of one worker, task or allowance. */
export interface Resources {
  readonly processors: number;
  readonly memoryMb: number;
  /** Whole units. */
  readonly accelerators: number;
}

/** Fencing token of a lease. Tokens are ordered by epoch, then by sequence; the later one wins. */
export interface Fence {
  /** Epoch of the owner that issued the lease. */
  readonly epoch: number;
  readonly sequence: number;
}

/** Comparator: negative if `a` is older than `b`, 0 if they are equal. */
export function compareFences(a: Fence, b: Fence): number {
  return a.epoch === b.epoch ? a.sequence - b.sequence : a.epoch - b.epoch;
}

/** Restricts the workers that may run a task. Absent fields allow all. */
export interface TaskConstraints {
  readonly zones?: readonly ZoneName[];
  /** Labels that the instance must carry. */
  readonly labels?: Readonly<Record<string, string>>;
}

/** A task as its team declared it. */
export interface TaskSpec {
  readonly id: TaskId;
  readonly team: TeamName;
  readonly workClass: WorkClass;
  /** Declared size. The size used for placement is learned from reports. */
  readonly resources: Resources;
  readonly constraints: TaskConstraints;
  /** An idempotent task may be started again after a run whose outcome is unknown. */
  readonly idempotent: boolean;
  /** Command line. Resource usage is learned per team and first word. */
  readonly command: string;
}

export type TaskState =
  | 'submitted'
  | 'leased'
  | 'running'
  | 'checkpointed'
  | 'finished'
  | 'failed'
  | 'cancelled'
  | 'unknown'
  | 'infeasible';

const FINAL_STATES: ReadonlySet<TaskState> = new Set([
  'finished',
  'failed',
  'cancelled',
  'unknown',
]);

/** True for a terminal state. An infeasible task may still run once the fleet changes. */
export function isFinal(state: TaskState): boolean {
  return FINAL_STATES.has(state);
}

/**
 * Entry of the durable task log of a pool. Times are not logged, since clocks of different
 * instances can't be compared.
 */
export type TaskLogEvent =
  | { readonly type: 'submitted'; readonly task: TaskSpec }
  /** Written before the lease is sent. `resume` continues from a checkpoint. */
  | {
      readonly type: 'leased';
      readonly id: TaskId;
      readonly fence: Fence;
      readonly worker: InstanceName;
      readonly ttlMs: Millis;
      readonly resume: boolean;
    }
  /**
   * The lease ended and the task is queued again. The cause `failed` adds the worker to `failedOn`.
   */
  | {
      readonly type: 'returned';
      readonly id: TaskId;
      readonly fence: Fence;
      readonly cause: 'not-started' | 'checkpointed' | 'stopped' | 'lost' | 'failed';
    }
  | {
      readonly type: 'ended';
      readonly id: TaskId;
      readonly state: 'finished' | 'failed' | 'cancelled' | 'unknown';
      readonly detail: string;
    }
  /** Cancellation requested while a lease may be live; `ended` follows once it no longer can be. */
  | { readonly type: 'cancel-requested'; readonly id: TaskId }
  | { readonly type: 'infeasible'; readonly id: TaskId; readonly reason: string }
  | { readonly type: 'feasible'; readonly id: TaskId }
  /**
   * Snapshot of a task at this position, written by compaction so that older rows can be deleted.
   */
  | { readonly type: 'record'; readonly record: TaskRecord };

/** Lease of a task, as replayed from the log. */
export interface LeaseRecord {
  readonly fence: Fence;
  readonly worker: InstanceName;
  readonly ttlMs: Millis;
}

/** State of one task, as replayed from the log. */
export interface TaskRecord {
  readonly task: TaskSpec;
  readonly state: TaskState;
  readonly lease?: LeaseRecord;
  /** The task continues from a checkpoint at its next start. */
  readonly resume: boolean;
  readonly cancelRequested: boolean;
  /** Distinct workers on which the task failed. */
  readonly failedOn: readonly InstanceName[];
  readonly detail: string;
}
