import type { Clock, Millis } from '@turmerichoist/core';
import { Actor, every, type ActorContext, type Recipient } from '@turmerichoist/runtime';
import {
  CONTACT_TICK_MS,
  type ContactState,
  type StoreContact,
} from '../../state/store-contact.js';

export interface StoreContactEvent {
  readonly type: 'contact';
  readonly state: ContactState;
}

export type StoreContactMessage =
  { readonly type: 'tick' } | { readonly type: 'probed'; readonly state: ContactState };

export interface StoreContactMonitorOptions {
  /** Fed by the transports of this process. */
  readonly contact: StoreContact;
  /** Sends one cheap call to the store; resolves when it was answered or has failed. */
  readonly probe: (signal: AbortSignal) => Promise<unknown>;
  readonly clock: Clock;
  /** Told of each change of the state. */
  readonly listener: Recipient<StoreContactEvent>;
}

/**
 * Tells its listener when the store ceases to answer this process and when it answers again. While
 * it doesn't answer, sends one probe at a time, so that callers need not try it.
 */
export class StoreContactMonitor extends Actor<StoreContactMessage> {
  readonly #options: StoreContactMonitorOptions;
  #announced: ContactState = 'in-touch';
  #changedAt: Millis;
  #probing = false;

  constructor(options: StoreContactMonitorOptions, context: ActorContext) {
    super('contact', context);
    this.#options = options;
    this.#changedAt = options.clock.now();
  }

  start(): void {
    every(CONTACT_TICK_MS, this.signal, () => this.post({ type: 'tick' }));
  }

  protected receive(message: StoreContactMessage): void {
    const { contact, clock } = this.#options;
    if (message.type === 'probed') {
      this.#probing = false;
      this.#announce(message.state);
      return;
    }
    const state = contact.tick(clock.now());
    this.#announce(state);
    if (state !== 'in-touch' && !this.#probing) {
      this.#probing = true;
      void this.#probe();
    }
  }

  async #probe(): Promise<void> {
    await this.#options.probe(this.signal);
    this.post({ type: 'probed', state: this.#options.contact.state });
  }

  #announce(state: ContactState): void {
    if (state === this.#announced) {
      return;
    }
    const now = this.#options.clock.now();
    const fields = { state, was: this.#announced, wasMs: Math.round(now - this.#changedAt) };
    this.log.info('contact with the store', fields);
    this.#announced = state;
    this.#changedAt = now;
    this.#options.listener.post({ type: 'contact', state });
  }
}
