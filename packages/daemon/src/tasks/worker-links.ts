import type {
  AppError,
  Clock,
  InstanceName,
  LeaseResult,
  Millis,
  Result,
  TaskDecision,
  TaskEvent,
} from '@turmerichoist/core';
import type { Recipient } from '@turmerichoist/runtime';
import { WorkerClient, type WorkerReply } from '../workers/index.js';

type WorkerOrder = Extract<TaskDecision, { type: 'lease' | 'renew' | 'stop' }>;

interface Link {
  readonly address: string;
  readonly client: WorkerClient;
  /** Incarnation of the worker that `cursor` belongs to. */
  incarnation: string;
  cursor: number;
  polling: boolean;
}

export interface WorkerAddress {
  readonly worker: InstanceName;
  readonly address: string;
}

/** Calls the workers of one pool and posts their replies to the task owner. */
export class WorkerLinks {
  readonly #clock: Clock;
  readonly #owner: Recipient<TaskEvent>;
  readonly #signal: AbortSignal;
  readonly #links = new Map<InstanceName, Link>();

  constructor(clock: Clock, owner: Recipient<TaskEvent>, signal: AbortSignal) {
    this.#clock = clock;
    this.#owner = owner;
    this.#signal = signal;
    signal.addEventListener('abort', () => void this.#closeAll(), { once: true });
  }

  /** Sets the workers of the pool and closes the links to all others. */
  setWorkers(workers: readonly WorkerAddress[]): void {
    const wanted = new Map(workers.map(({ worker, address }) => [worker, address]));
    for (const [worker, link] of this.#links) {
      if (wanted.get(worker) !== link.address) {
        void link.client.close();
        this.#links.delete(worker);
      }
    }
    for (const [worker, address] of wanted) {
      if (!this.#links.has(worker)) {
        const client = new WorkerClient({ worker, address });
        this.#links.set(worker, { address, client, incarnation: '', cursor: 0, polling: false });
      }
    }
  }

  /** Requests a report from each worker that has no request for one in flight. */
  poll(): void {
    for (const [worker, link] of this.#links) {
      if (!link.polling) {
        link.polling = true;
        void this.#poll(worker, link);
      }
    }
  }

  /** Sends an order of the decider and posts the results of leases. */
  async send(order: WorkerOrder): Promise<void> {
    const link = this.#links.get(order.worker);
    const late = this.#clock.now() >= order.sendBefore;
    const ids = order.type === 'lease' ? order.leases.map(({ id, fence }) => ({ id, fence })) : [];
    if (link === undefined || late) {
      this.#postLeaseResults(
        order.worker,
        ids.map((each) => ({ ...each, reply: 'not-sent' })),
      );
      return;
    }
    const answer = await this.#call(link.client, order);
    // The results of renewals and stops show in the reports.
    if (order.type === 'lease') {
      this.#postLeaseResults(order.worker, toLeaseResults(ids, answer));
    }
  }

  #call(
    client: WorkerClient,
    order: WorkerOrder,
  ): Promise<Result<readonly WorkerReply[], AppError>> {
    switch (order.type) {
      case 'lease':
        return client.lease(order.leases, this.#signal);
      case 'renew':
        return client.renew(order.epoch, order.renewals, this.#signal);
      case 'stop':
        return client.stop(order.epoch, order.id, order.fence, order.mode, this.#signal);
    }
  }

  async #poll(worker: InstanceName, link: Link): Promise<void> {
    const page = await link.client.report(link.cursor, this.#signal);
    link.polling = false;
    if (page.isOk()) {
      const { incarnation, cursor } = page.value;
      const restarted = link.incarnation !== '' && link.incarnation !== incarnation;
      link.cursor = restarted ? 0 : cursor;
      link.incarnation = incarnation;
      this.#owner.post({ type: 'worker-report', report: page.value });
    } else {
      this.#owner.post({ type: 'worker-unreachable', worker });
    }
  }

  #postLeaseResults(worker: InstanceName, results: readonly LeaseResult[]): void {
    this.#owner.post({ type: 'lease-result', worker, results });
  }

  async #closeAll(): Promise<void> {
    await Promise.all([...this.#links.values()].map(({ client }) => client.close()));
  }
}

type LeaseIdentity = Pick<LeaseResult, 'id' | 'fence'>;

function toLeaseResults(
  ids: readonly LeaseIdentity[],
  answer: Result<readonly WorkerReply[], AppError>,
): readonly LeaseResult[] {
  if (answer.isErr()) {
    const reply = answer.error.kind === 'peer-unavailable' ? 'not-sent' : 'unknown';
    return ids.map((each) => ({ ...each, reply }));
  }
  const replies = new Map(answer.value.map(({ id, reply }) => [id, reply]));
  return ids.map((each) => ({ ...each, reply: replies.get(each.id) ?? 'unknown' }));
}

/** Period at which each worker is polled for its report. */
export const REPORT_PERIOD_MS: Millis = 1_000;
