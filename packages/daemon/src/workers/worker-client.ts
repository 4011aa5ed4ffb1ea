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

/** Time-out of one call. Shorter than the renewal period, so that renewals don't accumulate. */
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

/** Conditions on a reboot: the fence of the owner, and the boot count that the worker must have. */
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
 * Calls one worker. The client never retries a call. Errors: `peer-unavailable` when no byte of the
 * call was sent or the worker refused it with 4xx or 503, `outcome-unknown` when the call may have
 * taken effect, `upstream-failed` when the reply is malformed.
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
    return this.#sendOrders('/v1/leases', body, signal);
  }

  async renew(
    epoch: number,
    renewals: readonly RenewOrder[],
    signal: AbortSignal,
  ): Promise<Result<readonly WorkerReply[], AppError>> {
    const leases = renewals.map(({ id, ...rest }) => ({ taskId: id, ...rest }));
    return this.#sendOrders('/v1/leases/renew', { epoch, leases }, signal);
  }

  async stop(
    epoch: number,
    id: TaskId,
    fence: Fence,
    mode: StopMode,
    signal: AbortSignal,
  ): Promise<Result<readonly WorkerReply[], AppError>> {
    return this.#sendOrders('/v1/leases/stop', { epoch, taskId: id, fence, mode }, signal);
  }

  /**
   * Fetches the report. `after` omits finished tasks up to that position. Pass the `cursor` of the
   * last report that was processed, or 0 for a worker that has restarted. Request one report at a
   * time, so that reports stay in order.
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

  /** Stops (`on`) or resumes the start of new work. Resuming also ends a drain. */
  async cordon(
    fence: OwnerFence,
    on: boolean,
    signal: AbortSignal,
  ): Promise<Result<void, AppError>> {
    const answer = await this.#call('POST', '/v1/cordon', { fence, on }, signal);
    return answer.map(() => undefined);
  }

  /** Asks the worker to accept no new work and to end or checkpoint its running tasks. */
  async drain(signal: AbortSignal, fence?: OwnerFence): Promise<Result<void, AppError>> {
    const answer = await this.#call('POST', '/v1/drain', { fence }, signal);
    return answer.map(() => undefined);
  }

  /** Reboots the worker, unless its boot count differs from the one in the order. */
  async reboot(signal: AbortSignal, order: RebootOrder = {}): Promise<Result<void, AppError>> {
    const answer = await this.#call('POST', '/v1/reboot', order, signal);
    return answer.map(() => undefined);
  }

  /** Closes all connections. Calls in flight fail. */
  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  async #sendOrders(
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
        return fail(errorKindOfStatus(res.statusCode), `${this.#worker}: status ${res.statusCode}`);
      }
      return Ok(await res.body.json());
    } catch (err) {
      return fail(errorKindOf(err), `${this.#worker}: ${String(err)}`);
    }
  }
}

/** Only a connection that was never established proves that nothing was sent. */
function errorKindOf(err: unknown): 'peer-unavailable' | 'outcome-unknown' {
  const code = (err as { code?: string }).code;
  const unsent = err instanceof errors.ConnectTimeoutError || code === 'ECONNREFUSED';
  return unsent ? 'peer-unavailable' : 'outcome-unknown';
}

/** A call refused with 4xx or 503 had no effect. With any other status it may have taken effect. */
function errorKindOfStatus(status: number): 'peer-unavailable' | 'outcome-unknown' {
  return status === 503 || (status >= 400 && status < 500) ? 'peer-unavailable' : 'outcome-unknown';
}
