import type { Clock, MemberId, Millis, Revision } from '@turmerichoist/core';
import { Actor, every, type ActorContext, type Recipient } from '@turmerichoist/runtime';
import {
  ConfigFreshness,
  type FreshnessDecision,
  type FreshnessEvent,
  type FreshnessReport,
} from '../state/config-freshness.js';
import type { ConfigEvent } from './config-replica.js';
import type { SessionEvent } from './session-manager.js';

/** Interval between pings; the same as that of the heartbeats on peer links. */
const PING_INTERVAL_MS = 1_000;

export type FreshnessMessage = FreshnessEvent | ConfigEvent | SessionEvent;

/** A message to a peer. The transport drops it when there is no link to that peer. */
export type FreshnessPeerMessage =
  | { readonly type: 'ping'; readonly to: MemberId; readonly nonce: number }
  | {
      readonly type: 'pong';
      readonly to: MemberId;
      readonly nonce: number;
      readonly report: FreshnessReport;
    };

export interface FreshnessTrackerOptions {
  readonly clock: Clock;
  readonly peers: Recipient<FreshnessPeerMessage>;
  readonly replica: Recipient<{ readonly type: 'head-seen'; readonly revision: Revision }>;
  readonly session: Recipient<{ readonly type: 'outage'; readonly until: Millis }>;
  /** Are notified of the time until which the configuration may be used. */
  readonly listeners: readonly Recipient<{
    readonly type: 'freshness';
    readonly until: Millis;
  }>[];
}

/** Feeds events and timer ticks to `ConfigFreshness` and executes its decisions. */
export class FreshnessTracker extends Actor<FreshnessMessage> {
  readonly #options: FreshnessTrackerOptions;
  readonly #freshness = new ConfigFreshness(() => this.#incarnation);
  #incarnation = '';

  constructor(options: FreshnessTrackerOptions, context: ActorContext) {
    super('freshness', context);
    this.#options = options;
  }

  start(): void {
    every(PING_INTERVAL_MS, this.signal, () => {
      this.post({ type: 'tick' });
    });
  }

  protected receive(message: FreshnessMessage): void {
    switch (message.type) {
      case 'session':
        this.#incarnation = message.incarnation;
        return;
      case 'session-ended':
      case 'config-changed':
        return;
      default:
        this.#freshness.handle(message, this.#options.clock.now()).forEach((decision) => {
          this.#execute(decision);
        });
    }
  }

  #execute(decision: FreshnessDecision): void {
    const { peers, replica, session, listeners } = this.#options;
    switch (decision.type) {
      case 'send-ping':
        peers.post({ type: 'ping', to: decision.to, nonce: decision.nonce });
        return;
      case 'send-pong': {
        const { to, nonce, report } = decision;
        peers.post({ type: 'pong', to, nonce, report });
        return;
      }
      case 'fresh':
        listeners.forEach((listener) =>
          listener.post({ type: 'freshness', until: decision.until }),
        );
        return;
      case 'outage':
        session.post({ type: 'outage', until: decision.until });
        return;
      case 'behind':
        replica.post({ type: 'head-seen', revision: decision.revision });
    }
  }
}
