import type { Resources } from '../tasks/model.js';
import type { Millis, QueueName, TeamName, PoolName, ZoneName } from '../types/index.js';

export type JobId = string;
/** Identifies an executor, the process that runs tasks on an instance. Survives its restart. */
export type ExecutorId = string;

/** One step of a job: `taskCount` identical tasks. */
export interface StepSpec {
  readonly taskCount: number;
  readonly resources: Resources;
  /** Rough duration of one task, as declared by the submitter. */
  readonly estimateMs: Millis;
  /** Indexes of the steps that must be complete before this one starts. */
  readonly after: readonly number[];
  /** The tasks write checkpoints from which a later run can continue. */
  readonly checkpointing: boolean;
  /** All tasks must run at the same time (gang scheduling). */
  readonly gang: boolean;
  /** The tasks run faster when they are all on one rack. */
  readonly sameRack: boolean;
  /** Label that the executor must have; empty for none. */
  readonly requiredLabel: string;
  /** Rack that holds the input data; empty for none. */
  readonly preferredRack: string;
  /** Number of the step's tasks that may run on one executor; 0 for no limit. */
  readonly maxPerExecutor: number;
  readonly speculative: boolean;
  /** The tasks are services: they run until the job is cancelled and restart when they end. */
  readonly lasting: boolean;
  readonly image: string;
  /** Tail latency target of a lasting task that serves users; 0 for none. */
  readonly targetMs: Millis;
  /** Best-effort tasks: they use idle processor time, and their `processors` take no capacity. */
  readonly fills: boolean;
  /** Disruption budget of a lasting step: tasks that planned work may make unavailable at once. */
  readonly maxUnavailable: number;
}

/** A step without conditions on where and how its tasks run. */
export const UNCONSTRAINED_STEP: Omit<StepSpec, 'taskCount' | 'resources' | 'estimateMs'> = {
  after: [],
  checkpointing: false,
  gang: false,
  sameRack: false,
  requiredLabel: '',
  preferredRack: '',
  maxPerExecutor: 0,
  speculative: false,
  lasting: false,
  image: '',
  targetMs: 0,
  fills: false,
  maxUnavailable: 0,
};

/** A job as submitted. */
export interface JobSpec {
  /** Passed to executors unchanged. */
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  /** Number of times that the steps run; at least 1. */
  readonly occurrences: number;
  /** Wall-clock time of the first occurrence; 0 if the job starts at once. */
  readonly firstAtWallMs: Millis;
  readonly intervalMs: Millis;
}

/** Rules of the queue that a job was submitted to. */
export interface QueuePolicy {
  readonly pool: PoolName;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Number of failed runs after which a task, and with it its job, has failed. */
  readonly maxAttempts: number;
  /** The latency objective is this factor times the critical path, plus `targetLatencyMs`. */
  readonly slackFactor: number;
  readonly targetLatencyMs: Millis;
  /** Executors need a placement ticket from the queue's policy service. */
  readonly ticketed: boolean;
}

/** A job that has been accepted and stored. */
export interface AcceptedJob {
  readonly id: JobId;
  readonly queue: QueueName;
  /** Empty for a job of an open queue. */
  readonly team: TeamName;
  readonly acceptedWallMs: Millis;
  /** The queue's policy at acceptance, used if the queue no longer exists. */
  readonly policy: QueuePolicy;
  readonly spec: JobSpec;
}

export interface TaskRef {
  readonly jobId: JobId;
  /** Counted from 0. */
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

/** Text form of a `TaskRef`, usable as a key. */
export type TaskKey = string;

export function taskKey({ jobId, occurrence, step, index }: TaskRef): TaskKey {
  return `${jobId}.${occurrence}.${step}.${index}`;
}

/** One attempt to run a task. */
export interface TaskAttempt {
  readonly task: TaskRef;
  readonly attempt: number;
}

/** Text form of a `TaskAttempt`, usable as a key. */
export function attemptKey({ task, attempt }: TaskAttempt): string {
  return `${taskKey(task)}#${attempt}`;
}

/** Text form of an attempt on one executor, usable as a key. */
export function attemptKeyAt(executor: ExecutorId, run: TaskAttempt): string {
  return `${attemptKey(run)}@${executor}`;
}

/** A team's weight and resource limit for jobs. */
export interface TeamPolicy {
  readonly name: TeamName;
  readonly weight: number;
  /** Upper limit of the resources of the team's runs; 0 in a field means no limit. */
  readonly cap: Resources;
}

export interface PoolPolicy {
  readonly name: PoolName;
  /** Instances of a standby pool are switched off until they are moved to another pool. */
  readonly standby: boolean;
}

/** The parts of the configuration that scheduling depends on. */
export interface SchedulingConfig {
  readonly queues: ReadonlyMap<QueueName, QueuePolicy>;
  readonly pools: ReadonlyMap<PoolName, PoolPolicy>;
  readonly teams: ReadonlyMap<TeamName, TeamPolicy>;
}

/** An executor as it describes itself. */
export interface ExecutorInfo {
  readonly id: ExecutorId;
  /** Wall-clock time of its start, its incarnation number: the id stays the same on a restart. */
  readonly startedWallMs: Millis;
  readonly address: string;
  readonly pool: PoolName;
  readonly zone: ZoneName;
  readonly rack: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  readonly draining: boolean;
}

/** How a run ended, as its executor reports it. */
export type RunEndReason = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** A run in progress, as its executor reports it. */
export interface ReportedRun {
  readonly task: TaskRef;
  readonly attempt: number;
  readonly checkpoint: string;
  /** Progress, or for a lasting task its readiness; 100 is ready. */
  readonly percent: number;
  /** Tail latency in milliseconds for a serving task, otherwise processors in use. */
  readonly gauge: number;
}

/** The end of a run, reported until it is acknowledged. */
export interface EndedRun {
  /** Sequence number of ended runs since the executor's start, from 1. */
  readonly seq: number;
  readonly task: TaskRef;
  readonly attempt: number;
  readonly reason: RunEndReason;
  readonly checkpoint: string;
}

/** An executor's answer to one poll. */
export interface ExecutorReport {
  readonly executor: ExecutorId;
  readonly startedWallMs: Millis;
  /** Owner's monotonic time at which the poll was sent; the report is no older than that. */
  readonly sentAt: Millis;
  readonly running: readonly ReportedRun[];
  readonly ended: readonly EndedRun[];
  /** Whether more runs may have ended than `ended` lists; they are listed after acknowledgements. */
  readonly moreEnded?: boolean;
}

/** Outcome of a start. */
export type StartOutcome =
  | 'started'
  /** Refused: no capacity, an attempt number that is too low, an expired deadline, no ticket. */
  | 'no-room'
  | 'old-attempt'
  | 'too-late'
  | 'no-ticket'
  /** Refused because the executor has seen the fencing token of a later owner. */
  | 'fenced'
  /** The executor is unhealthy and did not act on it. */
  | 'unhealthy'
  /** The executor has restarted, or another one answered at its address. */
  | 'other-life'
  | 'rejected'
  /**
   * Not sent, because the owner's own lease had ended, the executor has no lease yet, or too much waits
   * for it.
   */
  | 'not-sent'
  /** Not sent, because its run was stopped before, or the executor does not answer or has restarted. */
  | 'withdrawn'
  /** Timed out: the start may still take effect. */
  | 'unknown';

export type JobState = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled';

/** Stored progress of a job. Steps and tasks without progress are left out. */
export interface JobProgress {
  readonly state: JobState;
  /** Wall-clock time at which the job ended; 0 while it is open. */
  readonly endedWallMs: Millis;
  /** Indexes of the tasks that are done, or `all`, by `occurrence.step`. */
  readonly done: Readonly<Record<string, 'all' | readonly number[]>>;
  /** Failed attempt numbers, by `occurrence.step.index`. */
  readonly failures: Readonly<Record<string, readonly number[]>>;
}

/** Capacity that a task takes on its executor. */
export function footprint(step: StepSpec): Resources {
  return step.fills ? { ...step.resources, processors: 0 } : step.resources;
}
