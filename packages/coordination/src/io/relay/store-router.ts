import type { Clock, MemberId, Millis } from '@turmerichoist/core';
import { every, type Logger, type Metrics, type Recipient } from '@turmerichoist/runtime';
import {
  RouteDecider,
  type RelayCandidate,
  type RouteDecision,
  type RouteEvent,
  type StoreRoute,
} from '../../state/relay/index.js';
import { CONTACT_TICK_MS } from '../../state/store-contact.js';
import { callTimeout } from '../store/call-timeout.js';
import { DirectPath } from '../store/direct-path.js';
import { isRefusal, type Exchange, type HttpCall, type StorePath } from '../store/store-path.js';
import type { StoreRoutes } from '../store/store-routes.js';
import { MAX_RELAYED_CALLS } from './relay-client.js';
import type { ServingStatus } from './relay-heartbeat.js';
import type { RelayEvent, RelayLinksMessage } from './relay-links.js';
import { RelayServer } from './relay-server.js';

/** Well above the time in which the store answers reads; the next probe uses new connections. */
const PROBE_TIMEOUT_MS: Millis = 500;
/** Several members may ask this one to relay at the same time. */
const PROBE_CONNECTIONS = 4;
/** Connections for calls of other members. */
const SERVING_CONNECTIONS = 2 * MAX_RELAYED_CALLS;

/** The calls of this member have begun to take another route. */
export interface RouteChange {
  readonly type: 'route';
  readonly route: StoreRoute;
}

export interface StoreRouterOptions {
  /** Base URL of the store, `http://host:port`. */
  readonly url: string;
  /** A cheap read, which tells whether the store answers. */
  readonly probe: HttpCall;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: Logger;
  readonly signal: AbortSignal;
}

/** What the router needs to relay calls. */
export interface Relaying {
  readonly links: Recipient<RelayLinksMessage>;
  /** The members that may relay. */
  readonly members: () => readonly RelayCandidate[];
  /** Told of each change of the route, after it has taken effect. */
  readonly listener: Recipient<RouteChange>;
}

/** The route that calls take now. */
interface PresentRoute {
  readonly number: number;
  /** The relay and the path through it; undefined if calls go straight to the store. */
  readonly relay: { readonly member: MemberId; readonly path: StorePath } | undefined;
  readonly since: Millis;
}

/** A call that the router can take back from its route. */
interface CallInFlight {
  readonly longPoll: boolean;
  readonly abort: () => void;
}

/**
 * Sends the store calls of this member on the route that `RouteDecider` decides on, straight to the
 * store or through another member, and the calls of other members straight to the store. A read that
 * loses its route is sent again on the next one; the outcome of such a write is unknown if it was
 * sent.
 */
export class StoreRouter implements StoreRoutes, Recipient<RelayEvent> {
  readonly #options: StoreRouterOptions;
  readonly #log: Logger;
  readonly #decider = new RouteDecider();
  readonly #probePath: DirectPath;
  readonly #inFlight = new Set<CallInFlight>();
  #route: PresentRoute;
  #relaying: Relaying | undefined;

  /** Serves the calls of other members. */
  readonly server: RelayServer;

  constructor(options: StoreRouterOptions) {
    this.#options = options;
    const { url, signal, clock } = options;
    this.#log = options.log.child('route');
    this.#route = { number: 0, relay: undefined, since: clock.now() };
    this.#probePath = new DirectPath({ url, connections: PROBE_CONNECTIONS, signal });
    const serving = new DirectPath({ url, connections: SERVING_CONNECTIONS, signal });
    this.server = new RelayServer({
      direct: {
        exchange: (call, ended) => {
          options.metrics.count('relay.served');
          return this.#exchangeDirect(call, serving, ended);
        },
      },
      mayServe: () => this.#decider.mayServe(clock.now()),
      probe: () => this.#probeDirect(),
    });
  }

  get number(): number {
    return this.#route.number;
  }

  get status(): ServingStatus {
    const now = this.#options.clock.now();
    const serving = this.#decider.mayServe(now);
    return { serving, inTouchForMs: this.#decider.inTouchForMs(now) ?? 0 };
  }

  /** From now on, calls are relayed when the store does not serve this member. */
  start(relaying: Relaying): void {
    this.#relaying = relaying;
    every(CONTACT_TICK_MS, this.#options.signal, () => {
      this.#handle({ type: 'tick' });
    });
  }

  async exchange(call: HttpCall, direct: StorePath, signal: AbortSignal): Promise<Exchange> {
    for (;;) {
      const route = this.#route;
      const exchange = await this.#exchangeOn(route, call, direct, signal);
      const lostRoute = exchange.isErr() && route.number !== this.#route.number;
      if (!lostRoute || call.kind === 'write' || signal.aborted) {
        return exchange;
      }
    }
  }

  /** Takes note of what has happened to the relay. */
  post(event: RelayEvent): boolean {
    const now = this.#options.clock.now();
    switch (event.type) {
      case 'relay-found': {
        const { member, path } = event;
        const decisions = this.#decider.handle({ type: 'relay-found' }, now);
        this.#execute(decisions, { member, path }, 'direct path is silent or refused');
        break;
      }
      case 'relay-lost':
        this.#execute(this.#decider.handle({ type: 'relay-lost' }, now), undefined, event.reason);
        break;
      case 'relay-not-found':
        this.#options.metrics.count('relay.not_found');
        this.#log.info('no relay found', { asked: event.asked });
        this.#handle({ type: 'relay-not-found' });
    }
    return true;
  }

  /** Sends a call on a route, from which it is taken back when the route changes. */
  async #exchangeOn(
    { relay }: PresentRoute,
    call: HttpCall,
    direct: StorePath,
    signal: AbortSignal,
  ): Promise<Exchange> {
    const controller = new AbortController();
    const abort = (): void => {
      controller.abort();
    };
    const inFlight = { longPoll: call.waitMs !== undefined, abort };
    signal.addEventListener('abort', abort, { once: true });
    this.#inFlight.add(inFlight);
    if (relay !== undefined) {
      this.#options.metrics.count('relay.sent');
    }
    const exchange = await (relay === undefined
      ? this.#exchangeDirect(call, direct, controller.signal)
      : relay.path.exchange(call, controller.signal));
    this.#inFlight.delete(inFlight);
    signal.removeEventListener('abort', abort);
    return exchange;
  }

  async #exchangeDirect(call: HttpCall, path: StorePath, signal: AbortSignal): Promise<Exchange> {
    const longPoll = call.waitMs !== undefined;
    if (!longPoll) {
      this.#handle({ type: 'sent' });
    }
    const exchange = await path.exchange(call, signal);
    if (exchange.isOk()) {
      this.#handle({ type: 'answered', refused: isRefusal(exchange.value), longPoll });
    } else if (!longPoll) {
      this.#handle({ type: 'unanswered' });
    }
    return exchange;
  }

  #handle(event: RouteEvent): void {
    this.#execute(this.#decider.handle(event, this.#options.clock.now()), undefined, 'recovered');
  }

  #execute(
    decisions: readonly RouteDecision[],
    relay: PresentRoute['relay'],
    reason: string,
  ): void {
    for (const decision of decisions) {
      switch (decision.type) {
        case 'take':
          this.#take(decision.route, relay, reason);
          break;
        case 'seek-relay':
          this.#seek();
          break;
        case 'release-relay':
          this.#relaying?.links.post({ type: 'release' });
          break;
        case 'probe':
          void this.#probe();
      }
    }
  }

  #seek(): void {
    if (this.#relaying !== undefined) {
      const { links, members } = this.#relaying;
      links.post({ type: 'seek', members: members() });
    }
  }

  #take(route: StoreRoute, relay: PresentRoute['relay'], reason: string): void {
    const now = this.#options.clock.now();
    const former = this.#route;
    this.#route = { number: former.number + 1, relay, since: now };
    this.#log.info('store route changed', {
      from: former.relay === undefined ? 'direct' : 'relayed',
      to: route,
      relay: (relay ?? former.relay)?.member,
      fromForMs: Math.round(now - former.since),
      direct: this.#decider.directState,
      inFlight: this.#inFlight.size,
      reason,
    });
    this.#options.metrics.count(`relay.route_${route}`);
    // Calls that are relayed still end as they do; changes are to come by the shorter way.
    for (const { longPoll, abort } of this.#inFlight) {
      if (former.relay === undefined || longPoll) {
        abort();
      }
    }
    this.#relaying?.listener.post({ type: 'route', route });
  }

  async #probe(): Promise<void> {
    this.#handle({ type: 'probed', answered: await this.#probeDirect() });
  }

  /** Sends the probe straight to the store; tells whether it was carried out. */
  async #probeDirect(): Promise<boolean> {
    const { probe, signal } = this.#options;
    const { generation } = this.#probePath;
    const timeout = callTimeout(signal, PROBE_TIMEOUT_MS);
    const exchange = await this.#exchangeDirect(probe, this.#probePath, timeout.signal);
    timeout.clear();
    if (timeout.expired()) {
      this.#probePath.retire(generation);
    }
    return exchange.isOk() && !isRefusal(exchange.value);
  }
}
