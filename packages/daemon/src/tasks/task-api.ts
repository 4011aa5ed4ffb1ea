import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  appError,
  Err,
  fail,
  TeamKeyIndex,
  Ok,
  Result,
  type AppError,
  type Configuration,
  type PoolName,
  type TeamName,
} from '@turmerichoist/core';
import type { BodyReader } from '@turmerichoist/runtime';
import { readJson, sendError, sendJson, type BodySource } from '../http/responses.js';
import { bearerToken, sha256Hex } from '../requests/caller-fields.js';
import type { TaskCommand } from './messages.js';
import { parseCancellation, parseSubmission, poolOfTask } from './task-requests.js';

const MAX_BODY_BYTES = 2_097_152;
const HTTP_ACCEPTED = 202;

/** Routes a command to the entry that owns its pool. */
export type RouteCommand = (
  command: TaskCommand,
  signal: AbortSignal,
) => Promise<Result<unknown, AppError>>;

export interface TaskApiOptions {
  readonly cfg: () => Configuration;
  /** Whether the configuration is confirmed as current, so that its keys can be trusted. */
  readonly isConfigFresh: () => boolean;
  readonly route: RouteCommand;
  readonly signal: AbortSignal;
}

/** Serves `/tasks` to callers that authenticate with a team key. */
export class TaskApi {
  readonly #options: TaskApiOptions;

  constructor(options: TaskApiOptions) {
    this.#options = options;
  }

  async handle(req: IncomingMessage, res: ServerResponse, bodies: BodyReader): Promise<void> {
    const team = this.#authenticate(req);
    if (team.isErr()) {
      sendError(res, team.error);
      return;
    }
    const { pathname } = new URL(req.url ?? '/', 'http://entry');
    const answer = await this.#route({ req, res, bodies }, pathname, team.value);
    if (answer.isErr()) {
      sendError(res, answer.error);
    } else {
      sendJson(res, req.method === 'POST' ? HTTP_ACCEPTED : 200, answer.value);
    }
  }

  async #route(
    source: BodySource,
    pathname: string,
    team: TeamName,
  ): Promise<Result<unknown, AppError>> {
    const { req } = source;
    const route = `${req.method ?? 'GET'} ${pathname}`;
    if (route === 'POST /tasks') {
      return this.#submit(source, team);
    }
    if (route === 'POST /tasks/cancel') {
      return this.#cancel(source, team);
    }
    if (req.method === 'GET' && pathname.startsWith('/tasks/')) {
      const id = decodeURIComponent(pathname.slice('/tasks/'.length));
      return this.#withPool(poolOfTask(id), (pool) => ({ type: 'show', pool, id, team }));
    }
    return fail('unknown-route', route);
  }

  async #submit(source: BodySource, team: TeamName): Promise<Result<unknown, AppError>> {
    const json = await readJson(source, MAX_BODY_BYTES);
    const submission = json.andThen((body) => parseSubmission(body, team));
    if (submission.isErr()) {
      return submission;
    }
    const { pool, task } = submission.value;
    return this.#routeCommand({ type: 'submit', pool, task });
  }

  async #cancel(source: BodySource, team: TeamName): Promise<Result<unknown, AppError>> {
    const json = await readJson(source, MAX_BODY_BYTES);
    const pools = json.andThen(parseCancellation);
    if (pools.isErr()) {
      return pools;
    }
    const answers = await Promise.all(
      [...pools.value].map(([pool, ids]) =>
        this.#routeCommand({ type: 'cancel', pool, team, ids }),
      ),
    );
    return Result.all(answers);
  }

  #withPool(
    pool: Result<PoolName, AppError>,
    command: (pool: PoolName) => TaskCommand,
  ): Promise<Result<unknown, AppError>> {
    return pool.isErr() ? Promise.resolve(pool) : this.#routeCommand(command(pool.value));
  }

  #routeCommand(command: TaskCommand): Promise<Result<unknown, AppError>> {
    if (this.#options.cfg().get('pool', command.pool) === undefined) {
      return Promise.resolve(fail('not-found', `pool/${command.pool}`));
    }
    return this.#options.route(command, this.#options.signal);
  }

  #authenticate(req: IncomingMessage): Result<TeamName, AppError> {
    const token = bearerToken(req.headers);
    if (token === undefined) {
      return Err(appError('key-missing'));
    }
    if (!this.#options.isConfigFresh()) {
      return Err(appError('config-stale'));
    }
    const team = new TeamKeyIndex(this.#options.cfg()).teamOf(sha256Hex(token));
    return team === undefined ? fail('key-rejected') : Ok(team);
  }
}
