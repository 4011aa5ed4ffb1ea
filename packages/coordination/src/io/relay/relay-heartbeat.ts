import type { Incarnation, MemberId, Millis } from '@turmerichoist/core';
import type { Heartbeat } from '../../state/peers/index.js';

/** What a member says of itself to those that it may relay calls for. */
export interface ServingStatus {
  /** Whether it relays calls of others. */
  readonly serving: boolean;
  /** Time for which it has been in touch with the store by itself. */
  readonly inTouchForMs: Millis;
}

/** Builds the heartbeat of a link that relays calls; it has nothing to say of configurations. */
export function relayHeartbeat(
  self: { readonly member: MemberId; readonly incarnation: Incarnation },
  { serving, inTouchForMs }: ServingStatus,
  now: Millis,
  echo: number | null,
): Heartbeat {
  return {
    type: 'heartbeat',
    member: self.member,
    incarnation: self.incarnation,
    revision: 0,
    storeReachable: serving,
    storeForMs: Math.floor(inTouchForMs),
    freshMs: 0,
    stopping: false,
    sentAt: Math.floor(now),
    echo,
    vouched: [],
  };
}
