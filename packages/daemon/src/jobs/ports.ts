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
  PaceOrder,
  ReportedRun,
  Result,
  StartOrder,
  StartOutcome,
  StopOrder,
  ZoneName,
} from '@turmerichoist/core';
import type { ChangeFeed, RowChange, TableStore } from '@turmerichoist/coordination';

/** What applies to a call until it is sent, and after. */
export interface CallGuard {
  /** Checked directly before the call is sent, whatever it has waited for; if false, it is not. */
  readonly isWanted: () => boolean;
  readonly signal: AbortSignal;
}

export interface GuardedCall extends CallGuard {
  /** Time after which the outcome is not known. */
  readonly timeoutMs: Millis;
}

export interface PollRequest {
  /** Ended runs up to this sequence number need not be reported again. */
  readonly acknowledgedThrough: number;
  /** New lease term of the executor's runs, from now; undefined leaves the lease as it is. */
  readonly leaseMs: Millis | undefined;
  /** Longest time for which the executor delays its answer until a run ends. */
  readonly waitMs: Millis;
}

export type PollResponse =
  | {
      readonly type: 'report';
      readonly startedWallMs: Millis;
      readonly running: readonly ReportedRun[];
      readonly ended: readonly EndedRun[];
      /** Whether more runs may have ended than `ended` lists. */
      readonly moreEnded?: boolean;
    }
  /** The executor has seen the fencing token of a later owner. */
  | { readonly type: 'fenced' }
  /** The executor has restarted, or another one answered at its address. */
  | { readonly type: 'other-life' }
  | { readonly type: 'unanswered' };

/** Client of one executor, under one fencing token. Its promises never reject. */
export interface ExecutorClient {
  /**
   * Number of processes of the executor that its answers have shown before the present one, by their
   * start times and clocks.
   */
  readonly process: number;
  poll(req: PollRequest, guard: CallGuard): Promise<PollResponse>;
  start(order: StartOrder, call: GuardedCall): Promise<StartOutcome>;
  /** Resolves to whether the executor confirmed the stop. */
  stop(order: StopOrder, call: GuardedCall): Promise<boolean>;
  /** Resolves to whether the executor confirmed the pace. */
  pace(order: PaceOrder, call: GuardedCall): Promise<boolean>;
}

export interface ExecutorConnector {
  /**
   * Creates a client whose connections close when the signal aborts. Throws for an address that no
   * call can be sent to, which a `RowCodec` should have refused.
   */
  connect(info: ExecutorInfo, fencingToken: number, signal: AbortSignal): ExecutorClient;
}

/**
 * The platform's instances, which can be listed, moved between pools and maintained. One list and
 * `MAX_ORDERS_IN_FLIGHT` orders at once are sent without delay.
 */
export interface InstanceFleet {
  list(signal: AbortSignal): Promise<Result<readonly PoolInstance[], AppError>>;
  order(
    order: InstanceOrder,
    fencingToken: number,
    guard: CallGuard,
  ): Promise<InstanceOrderOutcome>;
}

/** Configuration and requests of the operators, as decoded from the platform's rows. */
export interface OperatorView {
  readonly config: JobConfig | undefined;
  /** Availability zones that operators have taken out of service. */
  readonly zonesOut: ReadonlySet<ZoneName>;
  readonly waves: readonly RequestedWave[];
}

/** A maintenance wave as operators request it, without the progress that the owner stores. */
export interface RequestedWave extends Pick<
  MaintenanceWave,
  'number' | 'instances' | 'maxParallel' | 'window'
> {
  /** Time within which the maintenance of all instances must have begun. */
  readonly durationMs: Millis;
}

/** Decodes and encodes the rows that are shared with the platform and its operators. */
export interface RowCodec {
  /** Table in which executors are registered. */
  readonly executorTable: string;
  /** Decodes the row of an executor, which any program may have written. Errors: `bad-document`. */
  executor(change: RowChange): Result<ExecutorInfo, AppError>;
  /** Encodes the status row of a wave, which operators read. */
  waveStatus(
    wave: number,
    state: 'running' | 'completed',
  ): { readonly key: string; readonly value: Readonly<Record<string, string>> };
}

/**
 * Tables for the calls of callers. Their limits and their backoff are apart from those of the
 * leader's tables.
 */
export interface CallerTables {
  /** The leader's part of the cell, which callers only read. */
  readonly cell: Pick<TableStore, 'read'>;
  /** Opens the part of the cell with this name, for the rows of some of the jobs. */
  openIntake(part: string): TableStore;
}

/** Opens the changes of all these parts of the cell, which the leader follows. */
export type IntakeFeedOpener = (parts: readonly string[]) => ChangeFeed;

/** The parts of a call that are known before its body is read. */
export interface CallHead {
  readonly host: string;
  readonly path: string;
  /** API key; undefined if the call has none. */
  readonly key: string | undefined;
  /** Time for which the caller waits for a response. */
  readonly timeoutMs: Millis;
}

/** A decoded call of a caller. */
export interface JobCall extends CallHead {
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
