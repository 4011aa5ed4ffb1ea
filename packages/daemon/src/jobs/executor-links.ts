import type { Clock, ExecutorId, ExecutorInfo, JobEvent, Millis } from '@turmerichoist/core';
import type { ActorContext, Metrics, Recipient } from '@turmerichoist/runtime';
import { CallLoss } from './call-loss.js';
import { ExecutorLink, type ExecutorLinkMessage } from './executor-link.js';
import type { ExecutorConnector } from './ports.js';

export interface ExecutorLinksOptions {
  readonly connector: ExecutorConnector;
  readonly fencingToken: number;
  readonly clock: Clock;
  /** Term of the leases under which executors run tasks. */
  readonly leaseMs: Millis;
  /** Longest lease that executors grant. */
  readonly maxLeaseMs: Millis;
  /** Whether the owner holds its lease now. */
  readonly mayAct: () => boolean;
  readonly metrics: Metrics;
  readonly owner: Recipient<JobEvent>;
}

interface OpenLink {
  readonly link: ExecutorLink;
  readonly close: () => void;
}

/** The links of one owner, one for each executor that may have running tasks. */
export class ExecutorLinks {
  readonly #options: ExecutorLinksOptions;
  readonly #context: ActorContext;
  readonly #loss: CallLoss;
  readonly #links = new Map<ExecutorId, OpenLink>();
  /** Addresses to which links were opened, or could not be, by executor. */
  #addresses: ReadonlyMap<ExecutorId, string> = new Map();

  constructor(options: ExecutorLinksOptions, context: ActorContext) {
    this.#options = options;
    this.#context = context;
    this.#loss = new CallLoss(options.clock);
  }

  /** Forwards a message to an executor's link; dropped without one, like an unanswered request. */
  post(executor: ExecutorId, order: ExecutorLinkMessage): void {
    this.#links.get(executor)?.link.post(order);
  }

  /** Forwards a message to all links. */
  broadcast(message: ExecutorLinkMessage): void {
    this.#links.forEach(({ link }) => link.post(message));
  }

  /**
   * Opens links to new executors. Closes links to executors that can have no more running tasks, or
   * whose address has changed. A link that can't be opened is tried again when its address changes.
   */
  sync(executors: readonly ExecutorInfo[]): void {
    const before = this.#addresses;
    this.#addresses = new Map(executors.map(({ id, address }) => [id, address]));
    for (const [id, { close }] of [...this.#links]) {
      if (this.#addresses.get(id) !== before.get(id)) {
        this.#context.log.info('executor link closed', { executor: id });
        close();
        this.#links.delete(id);
      }
    }
    for (const info of executors) {
      if (before.get(info.id) !== info.address) {
        this.#tryOpen(info);
      }
    }
  }

  /** One executor that can't be called must not keep the others from being called. */
  #tryOpen(info: ExecutorInfo): void {
    try {
      this.#links.set(info.id, this.#open(info));
    } catch (err) {
      const { id, address } = info;
      this.#options.metrics.count('executors.links_failed');
      this.#context.log.error('executor link not opened', {
        executor: id,
        address,
        err: String(err),
      });
    }
  }

  #open(info: ExecutorInfo): OpenLink {
    const { connector, fencingToken, clock, leaseMs, maxLeaseMs, mayAct, owner } = this.#options;
    const { log } = this.#context;
    const controller = new AbortController();
    const signal = AbortSignal.any([this.#context.signal, controller.signal]);
    const client = connector.connect(info, fencingToken, signal);
    const link = new ExecutorLink(
      { info, client, clock, leaseMs, maxLeaseMs, mayAct, loss: this.#loss, owner },
      { log, signal },
    );
    log.info('executor link opened', { executor: info.id, pool: info.pool, zone: info.zone });
    link.start();
    return {
      link,
      close: () => {
        controller.abort();
      },
    };
  }
}
