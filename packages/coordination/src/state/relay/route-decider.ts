import type { Decider, Millis } from '@turmerichoist/core';
import { StoreContact, type ContactState } from '../store-contact.js';

/** `direct`: straight to the store; `relayed`: through another member. */
export type StoreRoute = 'direct' | 'relayed';

/** Time for which a member must have been in touch before it relays calls of others. */
const SERVING_AFTER_MS: Millis = 500;
/** Pause before the first search after one that found no relay; doubles with each. */
const SEEK_BACKOFF_BASE_MS: Millis = 100;
const SEEK_BACKOFF_CAP_MS: Millis = 1_000;
/** Pause before the first probe of the direct path while calls are relayed; doubles with each. */
const PROBE_BACKOFF_BASE_MS: Millis = 250;
const PROBE_BACKOFF_CAP_MS: Millis = 1_000;
/** Probes in a row that must be answered before calls go straight to the store again. */
const PROBES_TO_RETURN = 2;

/** What has happened on the direct path, and to the relay. */
export type RouteEvent =
  /** A direct call was sent. Long polls are not reported. */
  | { readonly type: 'sent' }
  /** A direct call was answered; `refused`: turned away without being carried out. */
  | { readonly type: 'answered'; readonly refused: boolean; readonly longPoll: boolean }
  /** A direct call has ended without an answer. Long polls are not reported. */
  | { readonly type: 'unanswered' }
  /** A probe has ended; it is reported as a direct call, too. */
  | { readonly type: 'probed'; readonly answered: boolean }
  | { readonly type: 'relay-found' }
  | { readonly type: 'relay-not-found' }
  | { readonly type: 'relay-lost' }
  /** To be sent every `CONTACT_TICK_MS`. */
  | { readonly type: 'tick' };

export type RouteDecision =
  | { readonly type: 'take'; readonly route: StoreRoute }
  /** To find a member that is in touch with the store. */
  | { readonly type: 'seek-relay' }
  /** To end the link with the relay once its calls have ended. */
  | { readonly type: 'release-relay' }
  /** To send one cheap call straight to the store. */
  | { readonly type: 'probe' };

/**
 * Decides whether the store calls of a member go through another member. A refused call counts like
 * one that was not answered: the store may turn away some members while it serves the others. Calls
 * are relayed when the direct path has been silent in the sense of `StoreContact` and a relay is
 * known, and go straight to the store again when probes are answered.
 */
export class RouteDecider implements Decider<RouteEvent, RouteDecision> {
  readonly #direct = new StoreContact();
  #directState: ContactState = 'in-touch';
  /** Time since which the direct path has been in touch; undefined before the first answer. */
  #inTouchSince: Millis | undefined;
  #route: StoreRoute = 'direct';
  #relayKnown = false;
  #seeking = false;
  #failedSeeks = 0;
  #nextSeekAt: Millis = -Infinity;
  #probing = false;
  #probeBackoffMs = PROBE_BACKOFF_BASE_MS;
  #nextProbeAt: Millis = -Infinity;
  #answeredProbes = 0;

  get route(): StoreRoute {
    return this.#route;
  }

  /** State of the direct path, whichever route is taken. */
  get directState(): ContactState {
    return this.#directState;
  }

  /** Time for which this member has been in touch by itself; undefined if it is not. */
  inTouchForMs(now: Millis): Millis | undefined {
    return this.#inTouchSince === undefined ? undefined : now - this.#inTouchSince;
  }

  /** Whether this member may relay calls of others. One that relays its own calls never does. */
  mayServe(now: Millis): boolean {
    return this.#route === 'direct' && (this.inTouchForMs(now) ?? 0) >= SERVING_AFTER_MS;
  }

  handle(event: RouteEvent, now: Millis): readonly RouteDecision[] {
    switch (event.type) {
      case 'sent':
        this.#direct.onSent(now);
        return [];
      case 'answered':
        this.#onAnswered(event, now);
        return [];
      case 'unanswered':
        this.#direct.onUnanswered(now);
        return [];
      case 'probed':
        return this.#onProbed(event.answered, now);
      case 'relay-found':
        return this.#onRelayFound();
      case 'relay-not-found':
        this.#onRelayNotFound(now);
        return [];
      case 'relay-lost':
        return this.#onRelayLost(now);
      case 'tick':
        return this.#onTick(now);
    }
  }

  #onAnswered(
    { refused, longPoll }: { readonly refused: boolean; readonly longPoll: boolean },
    now: Millis,
  ): void {
    if (!refused) {
      this.#direct.onAnswered(now, longPoll);
      this.#directState = 'in-touch';
      this.#inTouchSince ??= now;
    } else if (!longPoll) {
      this.#direct.onUnanswered(now);
    }
  }

  #onTick(now: Millis): readonly RouteDecision[] {
    this.#directState = this.#direct.tick(now);
    if (this.#directState !== 'in-touch') {
      this.#inTouchSince = undefined;
    }
    return this.#route === 'relayed' ? this.#considerProbe(now) : this.#considerRelay(now);
  }

  #considerRelay(now: Millis): readonly RouteDecision[] {
    if (this.#directState === 'in-touch') {
      // Without a call in flight nothing would tell whether the store still refuses.
      return this.#direct.refusedAll && !this.#probing ? this.#probe() : [];
    }
    if (this.#seeking || now < this.#nextSeekAt) {
      return [];
    }
    this.#seeking = true;
    return [{ type: 'seek-relay' }];
  }

  #considerProbe(now: Millis): readonly RouteDecision[] {
    return this.#probing || now < this.#nextProbeAt ? [] : this.#probe();
  }

  #probe(): readonly RouteDecision[] {
    this.#probing = true;
    return [{ type: 'probe' }];
  }

  #onProbed(answered: boolean, now: Millis): readonly RouteDecision[] {
    this.#probing = false;
    this.#answeredProbes = answered ? this.#answeredProbes + 1 : 0;
    this.#probeBackoffMs = answered
      ? PROBE_BACKOFF_BASE_MS
      : Math.min(PROBE_BACKOFF_CAP_MS, 2 * this.#probeBackoffMs);
    this.#nextProbeAt = now + this.#probeBackoffMs;
    if (this.#route === 'direct' || this.#answeredProbes < PROBES_TO_RETURN) {
      return [];
    }
    this.#relayKnown = false;
    return [...this.#take('direct'), { type: 'release-relay' }];
  }

  #onRelayFound(): readonly RouteDecision[] {
    this.#seeking = false;
    this.#failedSeeks = 0;
    if (this.#directState === 'in-touch') {
      return [{ type: 'release-relay' }];
    }
    this.#relayKnown = true;
    return this.#take('relayed');
  }

  #onRelayNotFound(now: Millis): void {
    this.#seeking = false;
    const backoffMs = SEEK_BACKOFF_BASE_MS * 2 ** this.#failedSeeks;
    this.#nextSeekAt = now + Math.min(SEEK_BACKOFF_CAP_MS, backoffMs);
    this.#failedSeeks += 1;
  }

  #onRelayLost(now: Millis): readonly RouteDecision[] {
    if (!this.#relayKnown) {
      return [];
    }
    this.#relayKnown = false;
    this.#nextSeekAt = now;
    return [...this.#take('direct'), ...this.#considerRelay(now)];
  }

  #take(route: StoreRoute): readonly RouteDecision[] {
    this.#route = route;
    this.#answeredProbes = 0;
    this.#probeBackoffMs = PROBE_BACKOFF_BASE_MS;
    return [{ type: 'take', route }];
  }
}
