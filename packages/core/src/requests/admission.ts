import { type AppError, Err, Ok, type Result, fail } from '../errors/index.js';
import { Configuration, MAX_WORK_MS } from '../resources/index.js';
import { NEVER, type Millis, type TeamName } from '../types/index.js';
import { TeamKeyIndex } from './team-key-index.js';
import type { Arrival } from './messages.js';

/**
 * Pseudo-team that owns requests in open queues. Cannot clash with a team, whose names are never
 * empty.
 */
export const OPEN_TEAM: TeamName = '';

/**
 * Admission control: authenticates the team of each request on arrival and again before it starts.
 */
export class Admission {
  #cfg = Configuration.empty;
  #keys = new TeamKeyIndex(Configuration.empty);
  #freshUntil: Millis = NEVER;

  get cfg(): Configuration {
    return this.#cfg;
  }

  configure(cfg: Configuration): void {
    this.#cfg = cfg;
    this.#keys = new TeamKeyIndex(cfg);
  }

  /** Marks the configuration as confirmed until the given clock reading. */
  confirmUntil(until: Millis): void {
    this.#freshUntil = until;
  }

  /** Whether the configuration is still confirmed as current. */
  isFresh(now: Millis): boolean {
    return now < this.#freshUntil;
  }

  /**
   * Returns the team that owns the request. Fails with `not-ready` before the first configuration,
   * and with `unknown-queue`, `config-stale`, `key-missing` or `key-rejected`.
   */
  teamOf(arrival: Arrival, now: Millis): Result<TeamName, AppError> {
    if (this.#cfg.revision === 0) {
      return fail('not-ready', 'no configuration yet');
    }
    const queue = this.#cfg.spec('queue', arrival.queue);
    if (queue === undefined) {
      return fail('unknown-queue', arrival.queue);
    }
    return queue.open ? Ok(OPEN_TEAM) : this.#teamOfKey(arrival, now);
  }

  /** Like `teamOf`, for a request that was accepted for `team` earlier. */
  recheck(arrival: Arrival, team: TeamName, now: Millis): Result<TeamName, AppError> {
    const current = this.teamOf(arrival, now);
    if (current.isOk() && current.value !== team) {
      return fail('key-rejected', 'the team of the request changed while it waited');
    }
    return current;
  }

  /** Fleet-wide concurrency limit of the team, in units. Open queues are unlimited. */
  limitOf(team: TeamName): number {
    return team === OPEN_TEAM
      ? Number.POSITIVE_INFINITY
      : (this.#cfg.spec('team', team)?.limit.requests ?? 0);
  }

  /**
   * Deadline of the caller, capped by the maximum of the queue and by the time that a grant covers.
   */
  deadlineOf(arrival: Arrival, now: Millis): Millis {
    const queueMs = this.#cfg.spec('queue', arrival.queue)?.maxDeadlineMs ?? MAX_WORK_MS;
    return Math.min(arrival.deadline, now + Math.min(queueMs, MAX_WORK_MS));
  }

  #teamOfKey(arrival: Arrival, now: Millis): Result<TeamName, AppError> {
    if (!this.isFresh(now)) {
      return fail('config-stale');
    }
    if (arrival.keySha256 === undefined) {
      return fail('key-missing');
    }
    const team = this.#keys.teamOf(arrival.keySha256);
    return team === undefined ? Err({ kind: 'key-rejected' }) : Ok(team);
  }
}
