import type { MemberId, Millis, TeamName } from '@turmerichoist/core';
import { GRANT_ROUND_MS, WANT_REPEAT_MS, WANT_STALE_MS } from './constants.js';
import type { Want } from './types.js';

/** Units that other entries lack. */
export class PeerWants {
  readonly #members = new Map<
    MemberId,
    { readonly units: ReadonlyMap<TeamName, number>; readonly at: Millis }
  >();

  /** Replaces all wants of a member. */
  set(member: MemberId, wants: readonly Want[], now: Millis): void {
    const units = new Map(wants.map((want) => [want.team, want.units]));
    this.#members.set(member, { units, at: now });
  }

  /** Sum over all members whose wants are recent. */
  of(team: TeamName, now: Millis): number {
    let sum = 0;
    for (const { units, at } of this.#members.values()) {
      sum += now - at < WANT_STALE_MS ? (units.get(team) ?? 0) : 0;
    }
    return sum;
  }
}

/** Decides when the own wants are published: when they change, and repeated while they last. */
export class OwnWants {
  #published: readonly Want[] = [];
  #at: Millis = Number.NEGATIVE_INFINITY;

  /** The wants to be published now, or undefined. */
  update(wants: readonly Want[], now: Millis): readonly Want[] | undefined {
    const age = now - this.#at;
    const changed = JSON.stringify(wants) !== JSON.stringify(this.#published);
    const due = changed ? age >= GRANT_ROUND_MS : wants.length > 0 && age >= WANT_REPEAT_MS;
    if (!due) {
      return undefined;
    }
    this.#published = wants;
    this.#at = now;
    return wants;
  }
}
