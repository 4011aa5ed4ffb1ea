import { NEVER, type MemberId, type Millis, type TeamName } from '@turmerichoist/core';
import { GRANT_ROUND_MS, UNMET_DEMAND_REPEAT_MS, UNMET_DEMAND_STALE_MS } from './constants.js';
import type { UnmetDemand } from './types.js';

/** The unmet demand that other members have published. */
export class PeerUnmetDemand {
  readonly #members = new Map<
    MemberId,
    { readonly units: ReadonlyMap<TeamName, number>; readonly at: Millis }
  >();

  /** Replaces all unmet demand of a member. */
  set(member: MemberId, wants: readonly UnmetDemand[], now: Millis): void {
    const units = new Map(wants.map((want) => [want.team, want.units]));
    this.#members.set(member, { units, at: now });
  }

  /** Unmet demand of each member for a team, in units, without outdated and zero values. */
  of(team: TeamName, now: Millis): ReadonlyMap<MemberId, number> {
    const wants = new Map<MemberId, number>();
    for (const [member, { units, at }] of this.#members) {
      const missing = units.get(team) ?? 0;
      if (missing > 0 && now - at < UNMET_DEMAND_STALE_MS) {
        wants.set(member, missing);
      }
    }
    return wants;
  }
}

/** Decides when unmet demand is published: when its teams change, and at intervals. */
export class UnmetDemandPublisher {
  #published: readonly UnmetDemand[] = [];
  #publishedAt: Millis = NEVER;

  /** The unmet demand to be published now; undefined when no publication is due. */
  update(wants: readonly UnmetDemand[], now: Millis): readonly UnmetDemand[] | undefined {
    const age = now - this.#publishedAt;
    const teams = (list: readonly UnmetDemand[]): string => list.map(({ team }) => team).join();
    const changed = teams(wants) !== teams(this.#published);
    const due = changed ? age >= GRANT_ROUND_MS : wants.length > 0 && age >= UNMET_DEMAND_REPEAT_MS;
    if (!due) {
      return undefined;
    }
    this.#published = wants;
    this.#publishedAt = now;
    return wants;
  }
}
