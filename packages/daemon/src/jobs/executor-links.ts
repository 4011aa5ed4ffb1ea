import type { Clock, ExecutorId, ExecutorInfo, JobEvent, Millis } from '@turmerichoist/core';
import type { ActorContext, Recipient } from '@turmerichoist/runtime';
import { ExecutorLink, type LinkOrder } from './executor-link.js';
import type { ExecutorConnector } from './ports.js';

export interface ExecutorLinksOptions {
  readonly connector: ExecutorConnector;
  readonly fencingToken: number;
  readonly clock: Clock;
  /** Term of the leases of runs. */
  readonly leaseMs: Millis;
  readonly mayAct: () => boolean;
  readonly owner: Recipient<JobEvent>;
}

interface OpenLink {
  readonly address: string;
  readonly link: ExecutorLink;
  readonly end: () => void;
}

/** The links of one owner, one for each executor that may run something. */
export class ExecutorLinks {
  readonly #options: ExecutorLinksOptions;
  readonly #context: ActorContext;
  readonly #links = new Map<ExecutorId, OpenLink>();

  constructor(options: ExecutorLinksOptions, context: ActorContext) {
    this.#options = options;
    this.#context = context;
  }

  /** Passes an order on; without a link it is dropped, as if it had got no answer. */
  post(executor: ExecutorId, order: LinkOrder): void {
    this.#links.get(executor)?.link.post(order);
  }

  /** Opens links to new executors and closes those to executors that run nothing any more. */
  sync(executors: readonly ExecutorInfo[]): void {
    const wanted = new Map(executors.map(({ id, address }) => [id, address]));
    for (const [id, { address, end }] of [...this.#links]) {
      if (wanted.get(id) !== address) {
        this.#context.log.info('executor gone', { executor: id });
        end();
        this.#links.delete(id);
      }
    }
    for (const info of executors) {
      if (!this.#links.has(info.id)) {
        this.#links.set(info.id, this.#open(info));
      }
    }
  }

  #open(info: ExecutorInfo): OpenLink {
    const { connector, fencingToken, clock, leaseMs, mayAct, owner } = this.#options;
    const { log } = this.#context;
    const ending = new AbortController();
    const signal = AbortSignal.any([this.#context.signal, ending.signal]);
    const calls = connector.connect(info, fencingToken, signal);
    const link = new ExecutorLink({ info, calls, clock, leaseMs, mayAct, owner }, { log, signal });
    log.info('executor linked', { executor: info.id, pool: info.pool, zone: info.zone });
    link.start();
    return {
      address: info.address,
      link,
      end: () => {
        ending.abort();
      },
    };
  }
}
