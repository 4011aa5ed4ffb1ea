import type { Clock, Millis, UpstreamName } from '@turmerichoist/core';
import { Actor, every, type ActorContext, type Recipient } from '@turmerichoist/runtime';
import type { AttemptEnd } from './attempt.js';
import type { UpstreamEvent, UpstreamMessage, UpstreamTarget } from './messages.js';
import { probe } from './probe.js';
import { UpstreamStates, type UpstreamState } from './upstream-states.js';
import { UpstreamConnections } from './upstream-connections.js';

const TICK_MS: Millis = 250;

type SendMessage = Extract<UpstreamMessage, { type: 'send' }>;

/** Owns the connections to all upstreams. */
export class UpstreamPool extends Actor<UpstreamMessage> {
  readonly #clock: Clock;
  readonly #dispatcher: Recipient<UpstreamEvent>;
  readonly #upstreams = new Map<UpstreamName, UpstreamConnections>();
  /** Removed or readdressed upstreams whose open attempts still run. */
  readonly #removed = new Set<UpstreamConnections>();
  readonly #states: UpstreamStates;
  /** What the dispatcher was told last; upstreams that are left out are healthy. */
  readonly #told = new Map<UpstreamName, UpstreamState>();

  constructor(context: ActorContext, clock: Clock, dispatcher: Recipient<UpstreamEvent>) {
    super('upstreams', context);
    this.#clock = clock;
    this.#dispatcher = dispatcher;
    this.#states = new UpstreamStates(clock);
    every(TICK_MS, this.signal, () => this.post({ type: 'tick' }));
    this.signal.addEventListener('abort', () => void this.#destroyAll(), { once: true });
  }

  protected receive(message: UpstreamMessage): void {
    switch (message.type) {
      case 'send':
        this.#send(message);
        break;
      case 'abort':
        for (const upstream of [...this.#upstreams.values(), ...this.#removed]) {
          upstream.find(message.id)?.abort('decision');
        }
        break;
      case 'targets':
        this.#setTargets(message.targets);
        break;
      case 'probed':
        this.#probed(message.upstream, message.generation, message.alive);
        break;
      case 'listed-leaving':
        this.#states.listed(message.upstreams);
        this.#tellStates();
        break;
      case 'tick':
        this.#tick();
        break;
    }
  }

  #send(message: SendMessage): void {
    const { id, upstream: name, request, sink, deadline } = message;
    const upstream = this.#upstreams.get(name);
    if (upstream === undefined) {
      this.#tell({ type: 'attempt-ended', id, upstream: name, result: { type: 'not-sent' } });
      return;
    }
    const onEnd = (end: AttemptEnd): void => {
      if (end.leaving) {
        this.#states.saidLeaving(name);
        this.#tellStates();
      }
      const load = end.load === undefined ? {} : { load: end.load };
      this.#tell({ type: 'attempt-ended', id, upstream: name, result: end.result, ...load });
    };
    upstream.send({ id, request, sink, deadline, onEnd });
  }

  #setTargets(targets: readonly UpstreamTarget[]): void {
    const wanted = new Map(targets.map((target) => [target.name, target]));
    for (const [name, upstream] of this.#upstreams) {
      const target = wanted.get(name);
      if (target === undefined || !sameTarget(target, upstream.target)) {
        upstream.retire();
        this.#states.forget(name);
        this.#upstreams.delete(name);
        this.#removed.add(upstream);
      }
    }
    for (const [name, target] of wanted) {
      if (!this.#upstreams.has(name)) {
        this.#upstreams.set(name, new UpstreamConnections(target, this.#clock));
      }
    }
  }

  #tick(): void {
    for (const upstream of this.#removed) {
      if (upstream.open === 0) {
        this.#removed.delete(upstream);
      }
    }
    this.#tellStates();
    for (const [name, upstream] of this.#upstreams) {
      if (upstream.shouldProbe(this.#states.isSuspect(name))) {
        const { generation } = upstream;
        void probe(upstream.target, this.signal).then((alive) =>
          this.post({ type: 'probed', upstream: name, generation, alive }),
        );
      }
    }
  }

  #probed(name: UpstreamName, generation: number, alive: boolean): void {
    const upstream = this.#upstreams.get(name);
    if (upstream === undefined) {
      return;
    }
    if (upstream.probed(generation, alive)) {
      this.log.warn('connections went silent and were replaced', { upstream: name, generation });
    }
    this.#states.probed(name, alive);
    this.#tellStates();
  }

  /** Tells the dispatcher what has changed since it was told. */
  #tellStates(): void {
    for (const upstream of this.#upstreams.keys()) {
      const state = this.#states.state(upstream);
      if (state !== (this.#told.get(upstream) ?? 'healthy')) {
        this.#told.set(upstream, state);
        this.#tell({ type: 'upstream-state', upstream, state });
      }
    }
  }

  #tell(event: UpstreamEvent): void {
    this.#dispatcher.post(event);
  }

  async #destroyAll(): Promise<void> {
    const all = [...this.#upstreams.values(), ...this.#removed];
    await Promise.all(all.map((upstream) => upstream.destroy()));
  }
}

function sameTarget(a: UpstreamTarget, b: UpstreamTarget): boolean {
  return a.address === b.address && a.connections === b.connections && a.probePath === b.probePath;
}
