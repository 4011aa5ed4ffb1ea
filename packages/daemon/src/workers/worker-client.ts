import {
  Err,
  Ok,
  appError,
  fail,
  type AppError,
  type Clock,
  type Fence,
  type InstanceName,
  type LeaseOrder,
  type LeaseReply,
  type Millis,
  type OwnerFence,
  type RenewOrder,
  type Result,
  type StopMode,
  type TaskId,
  type WorkerReport,
} from '@turmerichoist/core';
import { SystemClock, timeoutSignal } from '@turmerichoist/runtime';
import { Pool, errors } from 'undici';
import type { z } from 'zod';
import { reportBody, resultsBody } from './wire.js';

/** Longest time that one call may take. Below the renewal period, so that renewals don't pile up. */
const CALL_TIMEOUT_MS = 1_500;
const CONNECT_TIMEOUT_MS = 1_000;
const CONNECTIONS = 4;

export interface WorkerClientOptions {
  readonly worker: InstanceName;
  /** `host:port`. */
  readonly address: string;
  readonly timeoutMs?: Millis;
  readonly clock?: Clock;
}

export interface RebootOrder {
  readonly fence?: OwnerFence;
  readonly boot?: number;
}

/** Reply to one lease, renewal or stop. */
export interface WorkerReply {
  readonly id: TaskId;
  readonly fence: Fence;
  readonly reply: LeaseReply;
}

/**
 * Calls one worker. Calls are never repeated by the client. Errors: `peer-unavailable` when no
 * byte of the call was sent or the worker refused it with 4xx or 503, `outcome-unknown` when the
 * worker may have acted, `upstream-failed` when the reply is malformed.
 */
export class WorkerClient {
  readonly #pool: Pool;
  readonly #worker: InstanceName;
  readonly #timeoutMs: Millis;
  readonly #clock: Clock;

  constructor(options: WorkerClientOptions) {
    this.#worker = options.worker;
    this.#clock = options.clock ?? new SystemClock();
    this.#timeoutMs = options.timeoutMs ?? CALL_TIMEOUT_MS;
    this.#pool = new Pool(`http://${options.address}`, {
      connections: CONNECTIONS,
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
    });
  }

  async lease(
    leases: readonly LeaseOrder[],
    signal: AbortSignal,
  ): Promise<Result<readonly WorkerReply[], AppError>> {
    const body = { leases: leases.map(({ id, ...rest }) => ({ taskId: id, ...rest })) };
    return this.#orders('/v1/leases', body, signal);
  }

  async renew(
    epoch: number,
    renewals: readonly RenewOrder[],
    signal: AbortSignal,
  ): Promise<Result<readonly WorkerReply[], AppError>> {
    const leases = renewals.map(({ id, ...rest }) => ({ taskId: id, ...rest }));
    return this.#orders('/v1/leases/renew', { epoch, leases }, signal);
  }

  async stop(
    epoch: number,
    id: TaskId,
    fence: Fence,
    mode: StopMode,
    signal: AbortSignal,
  ): Promise<Result<readonly WorkerReply[], AppError>> {
    return this.#orders('/v1/leases/stop', { epoch, taskId: id, fence, mode }, signal);
  }

  /**
   * Reads the report. `after` leaves out finished tasks up to that position; it is the `cursor` of
   * the last report that was handed on, and 0 for a worker that has restarted. One report is to be
   * asked for at a time, so that reports are in order.
   */
  async report(after: number, signal: AbortSignal): Promise<Result<WorkerReport, AppError>> {
    const requestedAt = this.#clock.now();
    const answer = await this.#call('GET', `/v1/report?after=${after}`, undefined, signal);
    return answer
      .andThen((raw) => this.#parse(reportBody, raw))
      .map(({ running, finished, ...rest }) => ({
        ...rest,
        worker: this.#worker,
        requestedAt,
        after,
        running: running.map(({ taskId, ...task }) => ({ id: taskId, ...task })),
        finished: finished.map(({ taskId, ...task }) => ({ id: taskId, ...task })),
      }));
  }

  /** Stops (`on`) or resumes the start of work. Resuming also ends a drain. */
  async cordon(
    fence: OwnerFence,
    on: boolean,
    signal: AbortSignal,
  ): Promise<Result<void, AppError>> {
    const answer = await this.#call('POST', '/v1/cordon', { fence, on }, signal);
    return answer.map(() => undefined);
  }

  /** Asks the worker to take no new work and to end or checkpoint what runs. */
  async drain(signal: AbortSignal, fence?: OwnerFence): Promise<Result<void, AppError>> {
    const answer = await this.#call('POST', '/v1/drain', { fence }, signal);
    return answer.map(() => undefined);
  }

  /** Reboots the worker, unless its boot count is no longer the one of the order. */
  async reboot(signal: AbortSignal, order: RebootOrder = {}): Promise<Result<void, AppError>> {
    const answer = await this.#call('POST', '/v1/reboot', order, signal);
    return answer.map(() => undefined);
  }

  /** Ends all connections; calls that run fail. */
  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  async #orders(
    path: string,
    body: unknown,
    signal: AbortSignal,
  ): Promise<Result<readonly WorkerReply[], AppError>> {
    const answer = await this.#call('POST', path, body, signal);
    return answer
      .andThen((raw) => this.#parse(resultsBody, raw))
      .map(({ results }) => results.map(({ taskId, ...rest }) => ({ id: taskId, ...rest })));
  }

  #parse<S extends z.ZodType>(schema: S, raw: unknown): Result<z.output<S>, AppError> {
    const parsed = schema.safeParse(raw);
    return parsed.success
      ? Ok(parsed.data)
      : Err(appError('upstream-failed', `${this.#worker}: ${parsed.error.message}`));
  }

  async #call(
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
    signal: AbortSignal,
  ): Promise<Result<unknown, AppError>> {
    if (signal.aborted) {
      return fail('peer-unavailable', `${this.#worker}: not sent`);
    }
    try {
      const res = await this.#pool.request({
        method,
        path,
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
        headers: { 'content-type': 'application/json' },
        signal: timeoutSignal(signal, this.#timeoutMs),
      });
      if (res.statusCode !== 200) {
        await res.body.dump();
        return fail(kindOfStatus(res.statusCode), `${this.#worker}: status ${res.statusCode}`);
      }
      return Ok(await res.body.json());
    } catch (err) {
      return fail(kindOfFault(err), `${this.#worker}: ${String(err)}`);
    }
  }
}

/** Only a connection that was never made proves that nothing was sent. */
function kindOfFault(err: unknown): 'peer-unavailable' | 'outcome-unknown' {
  const code = (err as { code?: string }).code;
  const unsent = err instanceof errors.ConnectTimeoutError || code === 'ECONNREFUSED';
  return unsent ? 'peer-unavailable' : 'outcome-unknown';
}

/** A worker that refuses a call with 4xx or 503 has not acted on it; any other status may hide an act. */
function kindOfStatus(status: number): 'peer-unavailable' | 'outcome-unknown' {
  return status === 503 || (status >= 400 && status < 500) ? 'peer-unavailable' : 'outcome-unknown';
}
