import {
  DEFAULT_CALLER_LIMITS,
  Err,
  Ok,
  fail,
  type AcceptedJob,
  type AppError,
  type CallerLimits,
  type Clock,
  type JobDirectory,
  type JobId,
  type JobProgress,
  type JobSpec,
  type JobState,
  type Millis,
  type QueueName,
  type QueueRoute,
  type Random,
  type Result,
  type TeamName,
} from '@turmerichoist/core';
import { callTimeout, type JsonValue } from '@turmerichoist/coordination';
import { WindowStats, type LogFields, type Logger, type Metrics } from '@turmerichoist/runtime';
import { checkHead, requireJobId, type CheckedCall } from './call-check.js';
import type { JobIntake } from './intake.js';
import type { CallHead, CallerTables, JobCall, JobReply } from './ports.js';
import { RetryAdvice } from './retry-advice.js';
import { SubmissionGate, type WorkAheadRead } from './submission-gate.js';
import { WaitingCounts, type CountsRead } from './waiting-counts.js';

/** Part of the caller's timeout that is reserved for sending the response. */
const ANSWER_RESERVE_MS: Millis = 100;
const MAX_CALL_MS: Millis = 2_500;
const RETRY_AFTER_MS: Millis = 1_000;
/** Number of jobs whose state is cached, so that reads need not go to the store. */
const MAX_CACHED_STATES = 20_000;

export interface JobServiceOptions {
  readonly intake: JobIntake;
  /** Holds the progress of jobs. */
  readonly cell: CallerTables['cell'];
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly signal: AbortSignal;
}

interface SubmissionTime {
  /** Time that the store may take. */
  readonly storeTimeoutMs: Millis;
  /** Whether the caller can't have submitted the job to another member before. */
  readonly isFirstTry: boolean;
}

/** Serves the calls of callers, on every member of a cell. Errors: as in `ERROR_TABLE`. */
export class JobService {
  readonly #options: JobServiceOptions;
  #directory: JobDirectory | undefined;
  /** Aborted while the store doesn't answer this process. */
  #contact = new AbortController();
  readonly #counts: WaitingCounts;
  readonly #gate: SubmissionGate;
  /** By queue and type of call, since how much time callers give depends on both. */
  readonly #advice = new Map<string, RetryAdvice>();
  /** Latest known state of jobs. A final state never changes. */
  readonly #cachedStates = new Map<JobId, JobState>();
  readonly #calls = {
    submit: new WindowStats(),
    read: new WindowStats(),
    cancel: new WindowStats(),
  };

  constructor(options: JobServiceOptions) {
    this.#options = options;
    this.#counts = new WaitingCounts(options.clock);
    this.#gate = new SubmissionGate(options);
    options.signal.addEventListener('abort', () => {
      this.#contact.abort();
    });
  }

  get ready(): boolean {
    return this.#directory !== undefined;
  }

  /** Applies a configuration if its revision is higher than the current one. */
  setDirectory(directory: JobDirectory): void {
    const present = this.#directory?.config.revision ?? -1;
    const { revision } = directory.config;
    if (revision > present) {
      this.#directory = directory;
      // Callers of a queue may give other times from now on.
      this.#advice.clear();
      this.#counts.setDirectory(directory);
      this.#options.log.info('configuration applied', { revision, present });
    }
  }

  /** Ends the reads under way when the store ceases to answer; until it answers, none are sent. */
  setReachable(reachable: boolean): void {
    this.#options.intake.setReachable(reachable);
    if (!reachable) {
      this.#contact.abort();
    } else if (this.#contact.signal.aborted) {
      this.#contact = new AbortController();
    }
  }

  /** Processes what the leader has published, as read from its lease row. */
  observePublication(read: CountsRead & WorkAheadRead): void {
    this.#counts.observe(read);
    this.#gate.observe(read);
  }

  /** Takes the figures of the calls since the last call; durations in milliseconds. */
  takeLoad(): LogFields {
    const { submit, read, cancel } = this.#calls;
    const { ageMs } = this.#counts;
    const aheadAgeMs = this.#gate.ageMs;
    return {
      calls: { submit: submit.take(), read: read.take(), cancel: cancel.take() },
      waitingCountAgeMs: ageMs && Math.round(ageMs),
      workAheadAgeMs: aheadAgeMs && Math.round(aheadAgeMs),
    };
  }

  /** The limits of requests in the configuration in force. */
  get limits(): CallerLimits {
    return this.#directory?.config.callers.limits ?? DEFAULT_CALLER_LIMITS;
  }

  /** Checks route, key and id of a call for one job, before its body is read. */
  checkJob(head: CallHead): Result<CheckedCall, AppError> {
    return checkHead(this.#directory, head).andThen(requireJobId);
  }

  async handle(call: JobCall): Promise<Result<JobReply, AppError>> {
    const found = checkHead(this.#directory, call);
    if (call.action.type === 'read' && found.isOk() && found.value.rest === '') {
      return this.#countWaiting(found.value.route.queue);
    }
    const checked = found.andThen(requireJobId);
    if (checked.isErr()) {
      return checked;
    }
    const { directory, route, team, rest } = checked.value;
    const advice = this.#adviceFor(route.queue, call.action.type);
    advice.observe(call.timeoutMs);
    const startedAt = this.#options.clock.now();
    const isFirstTry = advice.isFirstTry(call.timeoutMs);
    const reply = await this.#dispatch(directory, route, team, rest, call, isFirstTry);
    const elapsedMs = this.#options.clock.now() - startedAt;
    this.#options.metrics.timing(`calls.${call.action.type}`, elapsedMs);
    this.#calls[call.action.type].add(elapsedMs);
    return reply.mapErr((err) => this.#advise(err, advice, call.timeoutMs));
  }

  /** Tells a caller whom the store's silence kept from being served when to come back. */
  #advise(err: AppError, advice: RetryAdvice, timeoutMs: Millis): AppError {
    if (err.kind !== 'store-unavailable' || this.#isReachable()) {
      return err;
    }
    return { ...err, retryAfterMs: advice.retryAfterMs(timeoutMs) };
  }

  #adviceFor(queue: QueueName, action: JobCall['action']['type']): RetryAdvice {
    const key = `${action}/${queue}`;
    const advice = this.#advice.get(key) ?? new RetryAdvice();
    this.#advice.set(key, advice);
    return advice;
  }

  #dispatch(
    directory: JobDirectory,
    route: QueueRoute,
    team: TeamName,
    id: JobId,
    { action, timeoutMs }: JobCall,
    isFirstTry: boolean,
  ): Promise<Result<JobReply, AppError>> {
    const storeTimeoutMs = Math.max(0, Math.min(MAX_CALL_MS, timeoutMs - ANSWER_RESERVE_MS));
    switch (action.type) {
      case 'submit':
        return action.spec.isErr()
          ? Promise.resolve(action.spec)
          : this.#submit(directory, route, team, id, action.spec.value, {
              storeTimeoutMs,
              isFirstTry,
            });
      case 'read':
        return this.#readState(id, storeTimeoutMs);
      case 'cancel':
        return this.#cancel(id, storeTimeoutMs);
    }
  }

  async #submit(
    directory: JobDirectory,
    { queue }: QueueRoute,
    team: TeamName,
    id: JobId,
    spec: JobSpec,
    { storeTimeoutMs, isFirstTry }: SubmissionTime,
  ): Promise<Result<JobReply, AppError>> {
    const { intake, clock } = this.#options;
    const policy = directory.policyOf(queue);
    if (policy === undefined) {
      return fail('unknown-queue', queue);
    }
    const job: AcceptedJob = { id, queue, team, acceptedWallMs: clock.wall(), policy, spec };
    // Without the store, the figures are not renewed.
    const checked = this.#isReachable() && !this.#cachedStates.has(id);
    const refusal = checked ? this.#gate.check(job, isFirstTry) : undefined;
    if (refusal !== undefined) {
      this.#logSubmission(job, refusal.error.kind, refusal.fields);
      return Err(refusal.error);
    }
    this.#gate.markKnown(id);
    const row = job as unknown as JsonValue;
    const stored = await intake.accept('jobs', id, row, clock.now() + storeTimeoutMs);
    this.#logSubmission(job, stored.isOk() ? 'accepted' : stored.error.kind);
    if (stored.isErr()) {
      return stored.error.kind === 'store-unavailable'
        ? fail('store-unavailable', stored.error.detail, RETRY_AFTER_MS)
        : stored;
    }
    if (!this.#cachedStates.has(id)) {
      this.#counts.recordAccepted(queue);
      this.#gate.recordAccepted(job);
    }
    this.#cacheState(id, this.#cachedStates.get(id) ?? 'queued');
    return Ok({ type: 'accepted' });
  }

  #logSubmission({ id, queue, team }: AcceptedJob, outcome: string, fields: LogFields = {}): void {
    const revision = this.#directory?.config.revision;
    const identity = { job: id, queue, team, revision };
    this.#options.log.info('job submitted', { ...identity, outcome, ...fields });
  }

  async #readState(id: JobId, timeoutMs: Millis): Promise<Result<JobReply, AppError>> {
    const state = await this.#getState(id, timeoutMs);
    return state.map((value) => ({ type: 'state', state: value }));
  }

  /** Returns the cached state if it is final, and otherwise the state in the store. */
  async #getState(id: JobId, timeoutMs: Millis): Promise<Result<JobState, AppError>> {
    const known = this.#cachedStates.get(id);
    if (known !== undefined && isFinal(known)) {
      return Ok(known);
    }
    if (!this.#isReachable()) {
      return this.#stateWithoutStore(known);
    }
    const found = await this.#readStoredState(id, known, timeoutMs);
    if (found.isOk()) {
      return Ok(this.#cacheState(id, found.value));
    }
    if (found.error.kind === 'job-unknown') {
      return found;
    }
    this.#options.log.info('failed to read job state', { job: id, known, error: found.error.kind });
    if (!this.#isReachable()) {
      return this.#stateWithoutStore(known);
    }
    return known === undefined ? found : Ok(known);
  }

  async #readStoredState(
    id: JobId,
    known: JobState | undefined,
    timeoutMs: Millis,
  ): Promise<Result<JobState, AppError>> {
    const limit = callTimeout(this.#contact.signal, timeoutMs);
    try {
      return await this.#readRows(id, known, limit.signal);
    } finally {
      limit.clear();
    }
  }

  /** Most jobs that callers ask for have progress, so the job itself is read only without any. */
  async #readRows(
    id: JobId,
    known: JobState | undefined,
    signal: AbortSignal,
  ): Promise<Result<JobState, AppError>> {
    const { cell, intake } = this.#options;
    const progress = await cell.read([`progress/${id}`], signal);
    if (progress.isErr()) {
      return progress;
    }
    const [row] = progress.value;
    if (row !== undefined) {
      return Ok((row.value as unknown as JobProgress).state);
    }
    if (known !== undefined) {
      return Ok(known);
    }
    const jobs = await intake.read('jobs', id, signal);
    return jobs.andThen(({ length }) => (length === 0 ? fail('job-unknown', id) : Ok('queued')));
  }

  #isReachable(): boolean {
    return !this.#contact.signal.aborted;
  }

  /** The latest known state, since the store doesn't answer; its reads change nothing. */
  #stateWithoutStore(known: JobState | undefined): Result<JobState, AppError> {
    return known === undefined ? fail('store-unavailable', 'the store does not answer') : Ok(known);
  }

  async #cancel(id: JobId, timeoutMs: Millis): Promise<Result<JobReply, AppError>> {
    const { intake, clock, log } = this.#options;
    const deadline = clock.now() + timeoutMs;
    if (this.#cachedStates.get(id) === undefined) {
      const state = await this.#getState(id, timeoutMs);
      if (state.isErr()) {
        return state;
      }
    }
    const state = this.#cachedStates.get(id);
    if (state !== undefined && isFinal(state)) {
      return Ok({ type: 'cancelled' });
    }
    const value = { wallMs: clock.wall() };
    const stored = await intake.accept('cancels', id, value, deadline);
    const outcome = stored.isOk() ? 'accepted' : stored.error.kind;
    log.info('job cancellation', { job: id, outcome });
    return stored.map(() => ({ type: 'cancelled' }));
  }

  #countWaiting(queue: QueueName): Result<JobReply, AppError> {
    const { log, metrics } = this.#options;
    const answer = this.#counts.count(queue);
    if (answer.type === 'count') {
      metrics.timing('calls.count-age', answer.ageMs);
      return Ok({ type: 'waiting', count: answer.count });
    }
    const { reason, ageMs } = answer;
    log.info('waiting count refused', { queue, reason, ageMs: ageMs && Math.round(ageMs) });
    metrics.count(`calls.count-refused.${reason}`);
    return fail('not-ready', `waiting count ${reason}`, RETRY_AFTER_MS);
  }

  /**
   * Keeps a state that was read, unless a later one is known: reads overtake each other. Returns the
   * later one.
   */
  #cacheState(id: JobId, read: JobState): JobState {
    const known = this.#cachedStates.get(id);
    const state = known !== undefined && stageOf(known) > stageOf(read) ? known : read;
    this.#cachedStates.set(id, state);
    if (this.#cachedStates.size > MAX_CACHED_STATES) {
      const [oldest] = this.#cachedStates.keys();
      if (oldest !== undefined) {
        this.#cachedStates.delete(oldest);
      }
    }
    return state;
  }
}

/** States of a job follow each other in the order of their stages. */
function stageOf(state: JobState): number {
  return state === 'queued' ? 0 : isFinal(state) ? 2 : 1;
}

function isFinal(state: JobState): boolean {
  return state === 'completed' || state === 'failed' || state === 'cancelled';
}
