import type { Millis } from '../types/index.js';
import { criticalPathMs } from './critical-path.js';
import type { ArrivalTimes } from './fair-backlog.js';
import type { JobSpec, QueuePolicy } from './model.js';
import { MAX_LATENESS_FACTOR } from './ordering.js';

/**
 * A job is refused only if its expected end exceeds the end of its value by this factor: declared
 * durations are rough, and less work may be ahead of the job than was known.
 */
export const CERTAINTY_FACTOR = 1.5;
/** Age from which figures decide nothing: that of counts that callers accept, see `WaitingCounts`. */
const MAX_FIGURES_AGE_MS: Millis = 3_500;
/** Between the leader's read of the jobs and a member's decision, in which work goes on arriving. */
const USUAL_FIGURES_AGE_MS: Millis = 1_000;
/** Longer peaks are not expected. */
const MAX_ARRIVALS_MS: Millis = 10_000;
const MIN_RETRY_MS: Millis = 1_000;
/** Longer ones would keep callers away after the end of most peaks. */
const MAX_RETRY_MS: Millis = 30_000;
/** Fraction of the time to the retry by which retries are spread. */
const RETRY_JITTER = 0.25;

/** When a job that is submitted now would start, as far as it is known. */
export interface ExpectedStart {
  /** Start if the job is still in time then: late jobs of its team are served after it. */
  readonly inTimeMs: Millis;
  /** Start if it has become late before. */
  readonly lateMs: Millis;
  /** Age of the figures on which it is based. */
  readonly ageMs: Millis;
}

/** A refusal: the job would end without value. */
export interface AdmissionRefusal {
  readonly type: 'refuse';
  readonly expected: ExpectedStart;
  /** Latest expected end with which the job would be accepted. */
  readonly limitMs: Millis;
  /** Time after which a job of that queue and team is expected to have capacity, with jitter. */
  readonly retryAfterMs: Millis;
}

export type AdmissionDecision = { readonly type: 'accept' } | AdmissionRefusal;

const ACCEPT: AdmissionDecision = { type: 'accept' };

/**
 * Decides whether a job is accepted. Without an expected start it is. `jitter` is drawn for each
 * response, from 0 to 1, so that callers do not retry at the same time.
 */
export function decideAdmission(
  spec: JobSpec,
  policy: QueuePolicy,
  expected: ExpectedStart | undefined,
  jitter: number,
): AdmissionDecision {
  const isKnown = expected !== undefined && expected.ageMs <= MAX_FIGURES_AGE_MS;
  if (!isKnown || !mayBeRefused(spec, policy)) {
    return ACCEPT;
  }
  const pathMs = criticalPathMs(spec.steps);
  const limitMs = endLimitMs(policy, pathMs);
  const startsInTime = expected.inTimeMs <= objectiveMs(policy, pathMs);
  if (startsInTime || expected.lateMs + pathMs <= limitMs) {
    return ACCEPT;
  }
  const retryAfterMs = Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, expected.lateMs));
  return {
    type: 'refuse',
    expected,
    limitMs,
    retryAfterMs: retryAfterMs * (1 + RETRY_JITTER * jitter),
  };
}

/** Longest expected start with which any job of a queue is accepted; undefined if all are. */
export function startLimitMs(policy: QueuePolicy): Millis | undefined {
  if (!hasObjective(policy)) {
    return undefined;
  }
  // With a factor below 1, the limit of a job with a long critical path is before its own end.
  const isShortestFirst = endLimitMs({ ...policy, targetLatencyMs: 0 }, 1) >= 1;
  return isShortestFirst ? endLimitMs(policy, 0) : 0;
}

/**
 * Times from the read of the jobs until a job of a queue with this critical path, which a member
 * receives when the figures are usually used, is late, and until its limit.
 */
export function arrivalTimes(policy: QueuePolicy, pathMs: Millis): ArrivalTimes {
  const objective = objectiveMs(policy, pathMs);
  const until = (ageMs: Millis): Millis => Math.min(MAX_ARRIVALS_MS, USUAL_FIGURES_AGE_MS + ageMs);
  return { inTimeMs: until(objective), lateMs: until(endLimitMs(policy, pathMs)) };
}

function mayBeRefused(
  { steps, firstAtWallMs, occurrences }: JobSpec,
  policy: QueuePolicy,
): boolean {
  const runsOnceAtOnce = firstAtWallMs <= 0 && occurrences === 1;
  return runsOnceAtOnce && hasObjective(policy) && !steps.some(({ lasting }) => lasting);
}

function hasObjective({ slackFactor, targetLatencyMs }: QueuePolicy): boolean {
  return slackFactor !== 0 || targetLatencyMs !== 0;
}

function objectiveMs({ slackFactor, targetLatencyMs }: QueuePolicy, pathMs: Millis): Millis {
  return slackFactor * pathMs + targetLatencyMs;
}

function endLimitMs(policy: QueuePolicy, pathMs: Millis): Millis {
  return CERTAINTY_FACTOR * MAX_LATENESS_FACTOR * objectiveMs(policy, pathMs);
}
