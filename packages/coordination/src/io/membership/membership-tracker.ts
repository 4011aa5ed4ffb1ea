import type { Clock, MemberId, Millis } from '@turmerichoist/core';
import { Actor, every, timeoutSignal, type ActorContext } from '@turmerichoist/runtime';
import type { InstanceList, ListedInstance } from '../../store/index.js';
import {
  Membership,
  type ListedMember,
  type MembershipDecision,
  type MembershipEvent,
  type ViewMember,
} from '../../state/membership/index.js';
import type { PeerMember } from '../peers/index.js';

const LIST_POLL_INTERVAL_MS: Millis = 2_000;
const LIST_TIMEOUT_MS: Millis = 1_500;
/** Interval between checks of the view: members lose contact by time-out, without an event. */
const TICK_INTERVAL_MS: Millis = 250;

/** Receives the decisions of the tracker. Methods must not block. */
export interface MembershipListener {
  onView(members: readonly ViewMember[]): void;
  /** `until` is absent when the unanimous-outage rule does not apply. */
  onOutage(until: Millis | undefined): void;
}

export interface MembershipTrackerOptions {
  readonly self: MemberId;
  readonly clock: Clock;
  readonly instances: InstanceList;
  /** Address of a listed instance's peer listener; undefined when the instance is not a member. */
  readonly peerAddress: (instance: ListedInstance) => string | undefined;
  readonly listener: MembershipListener;
}

export type TrackerMessage = MembershipEvent | { readonly type: 'poll' };

/**
 * Owns the membership view. Polls the platform's instance list itself; member rows, expiries, links
 * and reports are posted to it.
 */
export class MembershipTracker extends Actor<TrackerMessage> {
  readonly #options: MembershipTrackerOptions;
  readonly #membership: Membership;
  #polling = false;

  constructor(options: MembershipTrackerOptions, context: ActorContext) {
    super('membership', context);
    this.#options = options;
    this.#membership = new Membership(options.self, options.clock.now());
  }

  start(): void {
    this.post({ type: 'poll' });
    every(LIST_POLL_INTERVAL_MS, this.signal, () => this.post({ type: 'poll' }));
    every(TICK_INTERVAL_MS, this.signal, () => this.post({ type: 'tick' }));
  }

  protected receive(message: TrackerMessage): void {
    if (message.type === 'poll') {
      void this.#poll();
      return;
    }
    const decisions = this.#membership.handle(message, this.#options.clock.now());
    for (const decision of decisions) {
      this.#execute(decision);
    }
  }

  #execute(decision: MembershipDecision): void {
    if (decision.type === 'view') {
      this.#options.listener.onView(decision.members);
    } else {
      this.#options.listener.onOutage(decision.until);
    }
  }

  async #poll(): Promise<void> {
    if (this.#polling) {
      return;
    }
    this.#polling = true;
    const signal = timeoutSignal(this.signal, LIST_TIMEOUT_MS);
    const listed = await this.#options.instances.instances(signal);
    this.#polling = false;
    if (listed.isOk()) {
      this.post({
        type: 'listed',
        members: listed.value.flatMap((instance) => this.#toListedMembers(instance)),
      });
    }
  }

  #toListedMembers(instance: ListedInstance): readonly ListedMember[] {
    const address = this.#options.peerAddress(instance);
    const { id: member, zone, state } = instance;
    return address === undefined ? [] : [{ member, address, zone, state }];
  }
}

/** The members of a view that the mesh may link with. */
export function linkableMembers(view: readonly ViewMember[]): readonly PeerMember[] {
  return view
    .filter(({ state }) => state !== 'expired' && state !== 'replaced')
    .map(({ member, incarnation = '', address, zone }) => ({ member, incarnation, address, zone }));
}
