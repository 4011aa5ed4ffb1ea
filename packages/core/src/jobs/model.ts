import type { Resources } from '../tasks/model.js';
import type { Millis, QueueName, TeamName, PoolName, ZoneName } from '../types/index.js';

export type JobId = string;
/** Identifies one process run of an executor, the process that runs tasks on an instance. */
export type ExecutorId = string;

/** One step of a job: a number of like tasks. */
export interface StepSpec {
  readonly taskCount: number;
  readonly resources: Resources;
  /** Rough duration of one task as its submitter states it. */
  readonly estimateMs: Millis;
  /** Steps, counted from 0, whose tasks must all be done before this one starts. */
  readonly after: readonly number[];
  readonly checkpointing: boolean;
  /** All tasks run together or not at all. */
  readonly gang: boolean;
  /** The tasks are faster when they run on one rack. */
  readonly sameRack: boolean;
  /** Label that the executor must have; empty for none. */
  readonly requiredLabel: string;
  /** Rack that holds the data; empty for none. */
  readonly preferredRack: string;
  /** Tasks of the step that may run on one executor; 0 for no limit. */
  readonly maxPerExecutor: number;
  readonly speculative: boolean;
  /** The tasks run until the job is cancelled and are restarted however they end. */
  readonly lasting: boolean;
  readonly image: string;
  /** Bound of the tail latency of a lasting task that serves users; 0 for none. */
  readonly targetMs: Millis;
  /** The tasks use the processor time that others leave; their `processors` take no capacity. */
  readonly fills: boolean;
  /** Tasks of a lasting step that may be unavailable at once through planned acts. */
  readonly maxUnavailable: number;
}

/** What the submitter sent. */
export interface JobSpec {
  /** Passed on to executors as it came. */
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  /** How often the steps run; at least 1. */
  readonly occurrences: number;
  /** Wall time of the first occurrence; 0 when the job starts at once. */
  readonly firstAtWallMs: Millis;
  readonly intervalMs: Millis;
}

/** Rules of the queue that a job was submitted to. */
export interface QueuePolicy {
  readonly pool: PoolName;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Failed runs after which a task, and with it its job, has failed. */
  readonly maxAttempts: number;
  /** The objective is this factor times the longest chain of work, plus `targetLatencyMs`. */
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
  /** The queue's policy at acceptance, used when the queue no longer exists. */
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

/** Limits and weight of a team, as far as jobs are concerned. */
export interface TeamPolicy {
  readonly name: TeamName;
  readonly weight: number;
  /** What the team may have running; 0 in a field means no limit. */
  readonly cap: Resources;
}

export interface PoolPolicy {
  readonly name: PoolName;
  /** Instances of a standby pool are off until they are moved to another pool. */
  readonly standby: boolean;
}

/** The parts of the configuration that scheduling follows. */
export interface SchedulingConfig {
  readonly queues: ReadonlyMap<QueueName, QueuePolicy>;
  readonly pools: ReadonlyMap<PoolName, PoolPolicy>;
  readonly teams: ReadonlyMap<TeamName, TeamPolicy>;
}

/** An executor as it describes itself. */
export interface ExecutorInfo {
  readonly id: ExecutorId;
  /** Wall time of its start, which tells two lives under one id apart. */
  readonly bornWallMs: Millis;
  readonly address: string;
  readonly pool: PoolName;
  readonly zone: ZoneName;
  readonly rack: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  readonly draining: boolean;
}

/** How a run ended, as its executor lists it. */
export type EndKind = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** One run that an executor has at work. */
export interface ReportedRun {
  readonly task: TaskRef;
  readonly attempt: number;
  readonly checkpoint: string;
  /** Progress, or for a lasting task its readiness; 100 is at work. */
  readonly percent: number;
  /** Tail latency in milliseconds for a task that serves, otherwise processors in use. */
  readonly gauge: number;
}

export interface ReportedEnd {
  /** Rises with each end of one life of an executor, from 1. */
  readonly seq: number;
  readonly task: TaskRef;
  readonly attempt: number;
  readonly how: EndKind;
  readonly checkpoint: string;
}

/** What an executor answered to one look at it. */
export interface ExecutorReport {
  readonly executor: ExecutorId;
  readonly bornWallMs: Millis;
  /** Own clock when the look was sent: what the report says held at that time or later. */
  readonly sentAt: Millis;
  readonly running: readonly ReportedRun[];
  readonly ended: readonly ReportedEnd[];
}

/** What became of an order to start a task. */
export type StartOutcome =
  | 'started'
  /** Refused: no room, an attempt number that is too low, a deadline in the past, no ticket. */
  | 'no-room'
  | 'old-attempt'
  | 'too-late'
  | 'no-ticket'
  /** Refused because a later owner has been there. */
  | 'fenced'
  /** The executor is unhealthy and did nothing. */
  | 'unhealthy'
  /** Another life of the executor answered. */
  | 'other-life'
  | 'rejected'
  /** Not sent, because the owner's lease had ended. */
  | 'not-sent'
  /** No answer: it may run now or later. */
  | 'unknown';

export type JobState = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled';

/** Durable progress of a job. Absent fields stand for nothing yet. */
export interface JobProgress {
  readonly state: JobState;
  /** Wall time at which the job ended; 0 while it is open. */
  readonly endedWallMs: Millis;
  /** For `occurrence.step`: the tasks that are done, or `all`. */
  readonly done: Readonly<Record<string, 'all' | readonly number[]>>;
  /** For `occurrence.step.index`: the attempts that failed. */
  readonly failures: Readonly<Record<string, readonly number[]>>;
}

/** What a task takes of an executor's capacity. */
export function footprint(step: StepSpec): Resources {
  return step.fills ? { ...step.resources, processors: 0 } : step.resources;
}
