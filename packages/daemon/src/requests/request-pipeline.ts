import type { Clock, Configuration, RequestEvent } from '@turmerichoist/core';
import type { ActorContext, Metrics } from '@turmerichoist/runtime';
import { UpstreamPool, type UpstreamTarget } from '../upstreams/index.js';
import { Dispatcher, type RequestDeciderWithDemand } from './dispatcher.js';
import { Frontend } from './frontend.js';

export interface RequestPipelineOptions {
  readonly context: ActorContext;
  readonly clock: Clock;
  readonly decider: RequestDeciderWithDemand;
  readonly metrics: Metrics;
  /** Maximum number of open requests. */
  readonly maxOpen: number;
}

/** The actors that carry requests from callers to upstreams, wired to each other. */
export class RequestPipeline {
  readonly front: Frontend;
  readonly dispatcher: Dispatcher;
  readonly #upstreams: UpstreamPool;

  constructor({ context, clock, decider, metrics, maxOpen }: RequestPipelineOptions) {
    this.dispatcher = new Dispatcher(context, { clock, decider, front: () => this.front });
    this.#upstreams = new UpstreamPool(context, clock, this.dispatcher);
    const { dispatcher } = this;
    const upstreams = this.#upstreams;
    this.front = new Frontend(context, { clock, dispatcher, upstreams, metrics, maxOpen });
  }

  /** Applies a configuration. */
  configure(cfg: Configuration): void {
    this.#upstreams.post({ type: 'targets', targets: upstreamTargets(cfg) });
    this.front.post({ type: 'config-changed', cfg });
    this.dispatcher.post({ type: 'config-changed', cfg });
  }

  /** Stops sending requests to upstreams that the platform lists as leaving. */
  setListedInstances(
    instances: readonly { readonly id: string; readonly state: 'live' | 'leaving' }[],
  ): void {
    const leaving = instances.filter(({ state }) => state === 'leaving').map(({ id }) => id);
    this.#upstreams.post({ type: 'listed-leaving', upstreams: leaving });
  }

  post(event: RequestEvent): void {
    this.dispatcher.post(event);
  }
}

function upstreamTargets(cfg: Configuration): readonly UpstreamTarget[] {
  return cfg.list('upstream').map(({ name, spec }) => ({
    name,
    address: spec.address,
    connections: Math.min(spec.slots, spec.connections),
    probePath: spec.probePath,
  }));
}
