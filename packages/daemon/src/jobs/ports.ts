import type {
  AppError,
  ExecutorInfo,
  InstanceOrder,
  InstanceOrderOutcome,
  JobConfig,
  JobSpec,
  JobState,
  MaintenanceWave,
  Millis,
  PoolInstance,
  EndedRun,
  ReportedRun,
  Result,
  StartOutcome,
  TaskRef,
  ZoneName,
} from '@turmerichoist/core';
import type { RowChange } from '@turmerichoist/coordination';

export interface StartOrder {
  readonly task: TaskRef;
  readonly attempt: number;
  readonly payload: string;
  /** Empty for a start from the beginning. */
  readonly checkpoint: string;
}

export interface HoldRequest {
  /** Ends up to this number need not be listed again. */
  readonly acknowledged: number;
  /** Extends the lease of everything that runs there to this time from now; undefined: not. */
  readonly leaseMs: Millis | undefined;
  /** Time to wait for an end before answering. */
  readonly waitMs: Millis;
}

export type HoldAnswer =
  | {
      readonly type: 'report';
      readonly startedWallMs: Millis;
      readonly running: readonly ReportedRun[];
      readonly ended: readonly EndedRun[];
    }
  | { readonly type: 'fenced' }
  | { readonly type: 'other-life' }
  | { readonly type: 'unanswered' };

/** Calls to one life of one executor, under one fencing token. They never reject. */
export interface ExecutorCalls {
  hold(req: HoldRequest, signal: AbortSignal): Promise<HoldAnswer>;
  start(order: StartOrder, signal: AbortSignal): Promise<StartOutcome>;
  /** Resolves to whether the executor answered. */
  stop(task: TaskRef, attempt: number, signal: AbortSignal): Promise<boolean>;
  /** Lets a task work at a share of its speed. Resolves to whether the executor answered. */
  pace(task: TaskRef, attempt: number, percent: number, signal: AbortSignal): Promise<boolean>;
}

export interface ExecutorConnector {
  /** Connections close when the signal fires. */
  connect(info: ExecutorInfo, fencingToken: number, signal: AbortSignal): ExecutorCalls;
}

/** The platform's instances, which can be moved between pools and maintained. */
export interface InstanceFleet {
  list(signal: AbortSignal): Promise<Result<readonly PoolInstance[], AppError>>;
  order(
    order: InstanceOrder,
    fencingToken: number,
    signal: AbortSignal,
  ): Promise<InstanceOrderOutcome>;
}

/** What operators have asked for, as decoded from the platform. */
export interface OperatorView {
  readonly config: JobConfig | undefined;
  readonly zonesOut: ReadonlySet<ZoneName>;
  /** Waves without what was begun of them. */
  readonly waves: readonly Omit<MaintenanceWave, 'begun' | 'completed'>[];
}

/** Decodes rows that others write. */
export interface RowDecoder {
  /** Table in which the platform lists executors. */
  readonly executorTable: string;
  /** Executors by row key; undefined where the row names none that could be used. */
  executor(change: RowChange): ExecutorInfo | undefined;
  /** A status row about a wave, in the form that operators read. */
  waveStatus(
    wave: number,
    state: 'running' | 'completed',
  ): { readonly key: string; readonly value: Readonly<Record<string, string>> };
}

/** One call of a caller, decoded. */
export interface JobCall {
  readonly host: string;
  readonly path: string;
  readonly key: string | undefined;
  /** Time that the caller waits for an answer. */
  readonly patienceMs: Millis;
  readonly action:
    | { readonly type: 'submit'; readonly spec: Result<JobSpec, AppError> }
    | { readonly type: 'read' }
    | { readonly type: 'cancel' };
}

export type JobReply =
  | { readonly type: 'accepted' }
  | { readonly type: 'state'; readonly state: JobState }
  | { readonly type: 'waiting'; readonly count: number }
  | { readonly type: 'cancelled' };
