import type { Clock, Millis, UpstreamName } from '@turmerichoist/core';
import { Actor, every, type ActorContext, type Recipient } from '@turmerichoist/runtime';
import type { AttemptCompletion } from './attempt.js';
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
  /** Upstreams that were removed or whose target changed, until their open attempts have ended. */
  readonly #removed = new Set<UpstreamConnections>();
  readonly #states: UpstreamStates;
  /** States last reported to the dispatcher. Upstreams missing here are healthy. */
  readonly #reportedStates = new Map<UpstreamName, UpstreamState>();

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
          upstream.findAttempt(message.id)?.abort('decision');
        }
        break;
      case 'targets':
        this.#setTargets(message.targets);
        break;
      case 'probed':
        this.#onProbeResult(message.upstream, message.generation, message.alive);
        break;
      case 'listed-leaving':
        this.#states.setListedLeaving(message.upstreams);
        this.#reportStates();
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
      this.#notify({ type: 'attempt-ended', id, upstream: name, result: { type: 'not-sent' } });
      return;
    }
    const onEnd = (end: AttemptCompletion): void => {
      if (end.leaving) {
        this.#states.markLeaving(name);
        this.#reportStates();
      }
      const load = end.load === undefined ? {} : { load: end.load };
      this.#notify({ type: 'attempt-ended', id, upstream: name, result: end.result, ...load });
    };
    upstream.send({ id, request, sink, deadline, onEnd });
  }

  #setTargets(targets: readonly UpstreamTarget[]): void {
    const targetsByName = new Map(targets.map((target) => [target.name, target]));
    for (const [name, upstream] of this.#upstreams) {
      const target = targetsByName.get(name);
      if (target === undefined || !sameTarget(target, upstream.target)) {
        upstream.retire();
        this.#states.forget(name);
        this.#upstreams.delete(name);
        this.#removed.add(upstream);
      }
    }
    for (const [name, target] of targetsByName) {
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
    this.#reportStates();
    for (const [name, upstream] of this.#upstreams) {
      if (upstream.shouldProbe(this.#states.isSuspect(name))) {
        const { generation } = upstream;
        void probe(upstream.target, this.signal).then((alive) =>
          this.post({ type: 'probed', upstream: name, generation, alive }),
        );
      }
    }
  }

  #onProbeResult(name: UpstreamName, generation: number, alive: boolean): void {
    const upstream = this.#upstreams.get(name);
    if (upstream === undefined) {
      return;
    }
    if (upstream.onProbeResult(generation, alive)) {
      this.log.warn('connections went silent and were replaced', { upstream: name, generation });
    }
    this.#states.recordProbe(name, alive);
    this.#reportStates();
  }

  /** Reports the states that changed since the last report. */
  #reportStates(): void {
    for (const upstream of this.#upstreams.keys()) {
      const state = this.#states.state(upstream);
      if (state !== (this.#reportedStates.get(upstream) ?? 'healthy')) {
        this.#reportedStates.set(upstream, state);
        this.#notify({ type: 'upstream-state', upstream, state });
      }
    }
  }

  #notify(event: UpstreamEvent): void {
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
