import {
  Ok,
  fail,
  type AcceptedJob,
  type AppError,
  type Clock,
  type JobDirectory,
  type JobId,
  type JobProgress,
  type JobSpec,
  type JobState,
  type Millis,
  type QueueName,
  type QueueRoute,
  type Result,
  type TeamName,
} from '@turmerichoist/core';
import type { TableStore } from '@turmerichoist/coordination';
import { timeoutSignal, type Logger, type Metrics } from '@turmerichoist/runtime';
import { jobRow, type Acceptor } from './acceptor.js';
import type { JobCall, JobReply } from './ports.js';

const JOB_ID = /^[0-9a-f]{16}$/;
/** Kept back from the caller's time for the way of the answer. */
const ANSWER_RESERVE_MS: Millis = 100;
const MAX_CALL_MS: Millis = 2_500;
const RETRY_AFTER_MS: Millis = 1_000;
/** Jobs whose state is kept to answer without the store. */
const MAX_KNOWN = 20_000;

export interface JobServiceOptions {
  readonly acceptor: Acceptor;
  readonly store: TableStore;
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly signal: AbortSignal;
}

/** Answers callers of any entry. Errors: as in `ERROR_TABLE`. */
export class JobService {
  readonly #options: JobServiceOptions;
  #directory: JobDirectory | undefined;
  #waiting: ReadonlyMap<QueueName, number> | undefined;
  /** Latest state of jobs seen here; final ones never change. */
  readonly #known = new Map<JobId, JobState>();

  constructor(options: JobServiceOptions) {
    this.#options = options;
  }

  get ready(): boolean {
    return this.#directory !== undefined;
  }

  /** Puts a configuration in force. A lower revision than the present one is never taken. */
  setDirectory(directory: JobDirectory): void {
    const present = this.#directory?.config.revision ?? -1;
    const { revision } = directory.config;
    if (revision > present) {
      this.#directory = directory;
      this.#options.log.info('configuration in force', { revision, present });
    }
  }

  setWaiting(waiting: ReadonlyMap<QueueName, number>): void {
    this.#waiting = waiting;
  }

  async handle(call: JobCall): Promise<Result<JobReply, AppError>> {
    const directory = this.#directory;
    if (directory === undefined) {
      return fail('not-ready', 'no configuration yet', RETRY_AFTER_MS);
    }
    const match = directory.resolve(call.host, call.path);
    if (match === undefined) {
      return fail('unknown-queue', call.path);
    }
    const team = teamOf(directory, match.route, call.key);
    if (team.isErr()) {
      return team;
    }
    const { route, rest } = match;
    if (rest === '' && call.action.type === 'read') {
      return this.#count(route.queue);
    }
    if (!JOB_ID.test(rest)) {
      return fail('bad-request', 'the job id is 16 hexadecimal digits');
    }
    const started = this.#options.clock.now();
    const reply = await this.#act(directory, route, team.value, rest, call);
    this.#options.metrics.timing(`calls.${call.action.type}`, this.#options.clock.now() - started);
    return reply;
  }

  #act(
    directory: JobDirectory,
    route: QueueRoute,
    team: TeamName,
    id: JobId,
    { action, patienceMs }: JobCall,
  ): Promise<Result<JobReply, AppError>> {
    const timeMs = Math.max(0, Math.min(MAX_CALL_MS, patienceMs - ANSWER_RESERVE_MS));
    switch (action.type) {
      case 'submit':
        return action.spec.isErr()
          ? Promise.resolve(action.spec)
          : this.#submit(directory, route, team, id, action.spec.value, timeMs);
      case 'read':
        return this.#read(id, timeMs);
      case 'cancel':
        return this.#cancel(id, timeMs);
    }
  }

  async #submit(
    directory: JobDirectory,
    { queue }: QueueRoute,
    team: TeamName,
    id: JobId,
    spec: JobSpec,
    timeMs: Millis,
  ): Promise<Result<JobReply, AppError>> {
    const { acceptor, clock, log } = this.#options;
    const policy = directory.policyOf(queue);
    if (policy === undefined) {
      return fail('unknown-queue', queue);
    }
    const job: AcceptedJob = { id, queue, team, acceptedWallMs: clock.wall(), policy, spec };
    const row = jobRow(job);
    const stored = await acceptor.accept(row.key, row.value, clock.now() + timeMs);
    log.info('job submitted', {
      job: id,
      queue,
      team,
      revision: directory.config.revision,
      outcome: stored.isOk() ? 'accepted' : stored.error.kind,
    });
    if (stored.isErr()) {
      return stored.error.kind === 'store-unavailable'
        ? fail('store-unavailable', stored.error.detail, RETRY_AFTER_MS)
        : stored;
    }
    this.#learn(id, this.#known.get(id) ?? 'queued');
    return Ok({ type: 'accepted' });
  }

  async #read(id: JobId, timeMs: Millis): Promise<Result<JobReply, AppError>> {
    const state = await this.#stateOf(id, timeMs);
    return state.map((value) => ({ type: 'state', state: value }));
  }

  /** From what is known here if that is final, otherwise from the store. */
  async #stateOf(id: JobId, timeMs: Millis): Promise<Result<JobState, AppError>> {
    const known = this.#known.get(id);
    if (known !== undefined && isFinal(known)) {
      return Ok(known);
    }
    const { store, signal, log } = this.#options;
    const limit = timeoutSignal(signal, timeMs);
    const keys = known === undefined ? [`progress/${id}`, `jobs/${id}`] : [`progress/${id}`];
    const rows = await store.read(keys, limit);
    if (rows.isErr()) {
      log.info('state not read', { job: id, known, error: rows.error.kind });
      return known === undefined ? rows : Ok(known);
    }
    const progress = rows.value.find(({ key }) => key === `progress/${id}`);
    if (progress !== undefined) {
      const { state } = progress.value as unknown as JobProgress;
      this.#learn(id, state);
      return Ok(state);
    }
    if (known === undefined && rows.value.length === 0) {
      return fail('job-unknown', id);
    }
    this.#learn(id, known ?? 'queued');
    return Ok(known ?? 'queued');
  }

  async #cancel(id: JobId, timeMs: Millis): Promise<Result<JobReply, AppError>> {
    const { acceptor, clock, log } = this.#options;
    const deadline = clock.now() + timeMs;
    if (this.#known.get(id) === undefined) {
      const state = await this.#stateOf(id, timeMs);
      if (state.isErr()) {
        return state;
      }
    }
    const state = this.#known.get(id);
    if (state !== undefined && isFinal(state)) {
      return Ok({ type: 'cancelled' });
    }
    const value = { wallMs: clock.wall() };
    const stored = await acceptor.accept(`cancels/${id}`, value, deadline);
    const outcome = stored.isOk() ? 'accepted' : stored.error.kind;
    log.info('job cancellation', { job: id, outcome });
    return stored.map(() => ({ type: 'cancelled' }));
  }

  #count(queue: QueueName): Result<JobReply, AppError> {
    return this.#waiting === undefined
      ? fail('not-ready', 'the queue lengths are not known yet', RETRY_AFTER_MS)
      : Ok({ type: 'waiting', count: this.#waiting.get(queue) ?? 0 });
  }

  #learn(id: JobId, state: JobState): void {
    this.#known.set(id, state);
    if (this.#known.size > MAX_KNOWN) {
      const [oldest] = this.#known.keys();
      if (oldest !== undefined) {
        this.#known.delete(oldest);
      }
    }
  }
}

function isFinal(state: JobState): boolean {
  return state === 'completed' || state === 'failed' || state === 'cancelled';
}

function teamOf(
  directory: JobDirectory,
  route: QueueRoute,
  key: string | undefined,
): Result<TeamName, AppError> {
  const team = key === undefined ? undefined : directory.teamOf(key);
  if (team !== undefined) {
    return Ok(team);
  }
  if (route.open) {
    return Ok('');
  }
  return fail(key === undefined ? 'key-missing' : 'key-rejected', route.queue);
}
