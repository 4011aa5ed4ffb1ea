import type { Clock, LeaseOrder, LeaseReply, Millis, OwnerFence } from '@turmerichoist/core';
import {
  cordonBody,
  drainBody,
  leasesBody,
  rebootBody,
  renewBody,
  stopBody,
} from '@turmerichoist/daemon';
import type { WorkerModel } from './worker-model.js';

const NO_VALIDITY_LIMIT: Millis = Number.MAX_SAFE_INTEGER;

/**
 * Decodes the calls of the worker API (section 5 of docs/design.md), applies them to a `WorkerModel`
 * and encodes its replies. Throws for an invalid body and for a stale fence.
 */
export class WorkerApi {
  readonly #model: WorkerModel;
  readonly #clock: Clock;

  constructor(model: WorkerModel, clock: Clock) {
    this.#model = model;
    this.#clock = clock;
  }

  lease(body: unknown): unknown {
    const now = this.#clock.now();
    const results = leasesBody.parse(body).leases.map(({ taskId, ...lease }) => {
      const order: LeaseOrder = {
        ...lease,
        id: taskId,
        validBeforeMs: lease.validBeforeMs ?? NO_VALIDITY_LIMIT,
        incarnation: lease.incarnation ?? this.#model.incarnation,
        resume: lease.resume ?? false,
      };
      return { taskId, fence: lease.fence, reply: this.#model.lease(order, now) };
    });
    return { results };
  }

  renew(body: unknown): unknown {
    const now = this.#clock.now();
    const { leases, epoch } = renewBody.parse(body);
    const results = leases.map(({ taskId, validBeforeMs = NO_VALIDITY_LIMIT, ...lease }) => {
      const order = { ...lease, id: taskId, validBeforeMs, throttled: lease.throttled ?? false };
      const reply = this.#model.renew(epoch ?? lease.fence.epoch, order, now);
      return { taskId, fence: lease.fence, reply };
    });
    return { results };
  }

  stop(body: unknown): unknown {
    const { taskId, fence, mode, epoch } = stopBody.parse(body);
    const order = { id: taskId, fence };
    const reply: LeaseReply = this.#model.stop(
      epoch ?? fence.epoch,
      order,
      mode,
      this.#clock.now(),
    );
    return { results: [{ taskId, fence, reply }] };
  }

  /** The report on all tasks, without those that finished up to the cursor in the query. */
  report(url: string): unknown {
    const after = Number(new URL(url, 'http://worker').searchParams.get('after') ?? 0);
    const report = this.#model.report(Number.isFinite(after) ? after : 0, this.#clock.now());
    return {
      ...report,
      running: report.running.map(({ id, ...task }) => ({ taskId: id, ...task })),
      finished: report.finished.map(({ id, ...task }) => ({ taskId: id, ...task })),
    };
  }

  cordon(body: unknown): unknown {
    const { fence, on } = cordonBody.parse(body);
    this.#requireCurrentFence(fence);
    this.#model.cordon(on);
    return {};
  }

  drain(body: unknown): unknown {
    this.#requireCurrentFence(drainBody.parse(body).fence);
    this.#model.drain(this.#clock.now());
    return {};
  }

  reboot(body: unknown): unknown {
    const { fence, boot } = rebootBody.parse(body);
    this.#requireCurrentFence(fence);
    if (boot !== undefined && String(boot) !== this.#model.incarnation) {
      throw new Error(`boot ${boot} is not the current boot`);
    }
    this.#model.reboot(this.#clock.now());
    return {};
  }

  /** Throws for a request of a former owner, which a later owner has replaced. */
  #requireCurrentFence(fence: OwnerFence | undefined): void {
    if (!this.#model.acceptOwnerFence(fence)) {
      throw new Error('stale fence: a later owner has acted on this worker');
    }
  }
}
