import type {
  AcceptedJob,
  JobDecider,
  JobDecision,
  JobEvent,
  Millis,
  Resources,
  TaskRef,
  TeamPolicy,
} from '../../src/index.js';
import type { CallFaults } from './call-network.js';

/** Probabilities of faults, each from 0 to 1. */
export interface JobFaults extends CallFaults {
  /** A run ends `failed`. */
  readonly runFails: number;
  /** Whether an executor that has restarted carries out polls that were sent to its former process. */
  readonly pollsOutliveExecutors?: boolean;
}

export const NO_FAULTS: JobFaults = { answerLost: 0, late: 0, runFails: 0 };

export const POLL_PERIOD_MS: Millis = 200;
export const TICK_MS: Millis = 100;
export const STORE_WRITE_MS: Millis = 15;
export const LEASE_MS: Millis = 4_500;
export const LEASE_BOUND_MS: Millis = 4_840;
export const LONGEST_LEASE_BOUND_MS: Millis = 6_370;
/** As in the executor link: a lease that ends sooner may seem ended before the poll is answered. */
export const MAX_POLL_MS: Millis = 2_500;
export const TAKEOVER_DELAY_MS: Millis = 2_800;
export const LAPSE_MS: Millis = 3_200;
export const ATTEMPTS_PER_TERM = 1_000;
/** As on the users' platform. */
export const MAX_LISTED_ENDS = 500;
/** Start time of the executors that `executor` makes. */
export const FIRST_START_MS: Millis = 1;

export interface JobWorldOptions {
  /** Number of ended runs that an executor lists at once. */
  readonly maxListedEnds?: number;
  /** Time that an executor takes to stop a run; 0 by default. */
  readonly stopMs?: Millis;
  /** Cap of the team of all jobs; unlimited by default. */
  readonly cap?: Resources;
  /** Other teams of the configuration. */
  readonly teams?: readonly TeamPolicy[];
}

/** Called with an event that a decider has handled and what it has decided. */
export type HandledListener = (
  decider: JobDecider,
  event: JobEvent,
  decisions: readonly JobDecision[],
) => void;

/** Time for which a task of a job runs. */
export function durationOf(job: AcceptedJob | undefined, { step }: TaskRef): Millis {
  const spec = job?.spec.steps[step];
  return spec === undefined || spec.lasting ? Infinity : spec.estimateMs;
}
