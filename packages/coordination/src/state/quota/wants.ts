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

  /** Units that each member lacks, where that is recent and more than none. */
  of(team: TeamName, now: Millis): ReadonlyMap<MemberId, number> {
    const wants = new Map<MemberId, number>();
    for (const [member, { units, at }] of this.#members) {
      const missing = units.get(team) ?? 0;
      if (missing > 0 && now - at < WANT_STALE_MS) {
        wants.set(member, missing);
      }
    }
    return wants;
  }
}

/** Decides when the own wants are published: when teams come or go, and repeated while they last. */
export class OwnWants {
  #published: readonly Want[] = [];
  #at: Millis = Number.NEGATIVE_INFINITY;

  /** The wants to be published now, or undefined. */
  update(wants: readonly Want[], now: Millis): readonly Want[] | undefined {
    const age = now - this.#at;
    const teams = (list: readonly Want[]): string => list.map(({ team }) => team).join();
    const changed = teams(wants) !== teams(this.#published);
    const due = changed ? age >= GRANT_ROUND_MS : wants.length > 0 && age >= WANT_REPEAT_MS;
    if (!due) {
      return undefined;
    }
    this.#published = wants;
    this.#at = now;
    return wants;
  }
}
