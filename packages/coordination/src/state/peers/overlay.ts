import { createHash } from 'node:crypto';
import type { MemberId, ZoneName } from '@turmerichoist/core';
import { FULL_MESH_MEMBERS, LINKS_PER_OTHER_ZONE } from './constants.js';

export interface PlacedMember {
  readonly member: MemberId;
  readonly zone: ZoneName;
}

/** Symmetric, so that members tend to choose each other, which needs fewer links. */
function pairWeight(a: MemberId, b: MemberId): string {
  const pair = a < b ? `${a}\n${b}` : `${b}\n${a}`;
  return createHash('sha1').update(pair).digest('hex');
}

function groupByZone(members: readonly PlacedMember[]): ReadonlyMap<ZoneName, readonly MemberId[]> {
  const zones = new Map<ZoneName, MemberId[]>();
  for (const { member, zone } of members) {
    const list = zones.get(zone) ?? [];
    list.push(member);
    zones.set(zone, list);
  }
  return zones;
}

function chosenNeighbours(
  self: PlacedMember,
  zones: ReadonlyMap<ZoneName, readonly MemberId[]>,
): readonly MemberId[] {
  return [...zones].flatMap(([zone, ids]) => {
    if (zone === self.zone) {
      return ids.filter((id) => id !== self.member);
    }
    const weighted = ids.map((id) => ({ id, weight: pairWeight(self.member, id) }));
    weighted.sort((a, b) => (a.weight < b.weight ? -1 : 1));
    return weighted.slice(0, LINKS_PER_OTHER_ZONE).map(({ id }) => id);
  });
}

/** Whether that number of members is linked as a full mesh. */
export function isFullMesh(members: number): boolean {
  return members <= FULL_MESH_MEMBERS;
}

/**
 * The members that `self` has a link with: all of them in a full mesh; otherwise those in its own
 * availability zone and, in each other zone, those that it chose or that chose it.
 */
export function neighbours(
  self: PlacedMember,
  members: readonly PlacedMember[],
): ReadonlySet<MemberId> {
  const others = members.filter(({ member }) => member !== self.member);
  if (isFullMesh(others.length + 1)) {
    return new Set(others.map(({ member }) => member));
  }
  const zones = groupByZone([self, ...others]);
  const mutual = others
    .filter((other) => chosenNeighbours(other, zones).includes(self.member))
    .map(({ member }) => member);
  return new Set([...chosenNeighbours(self, zones), ...mutual]);
}

/** Whether `self` opens the link. The member with the smaller id does. */
export function isDialer(self: MemberId, other: MemberId): boolean {
  return self < other;
}

/**
 * The members to which this member forwards a broadcast. In a full mesh the origin reaches
 * everyone. In a sparse view, a member that received it from another zone forwards it once within
 * its own zone.
 */
export function relayTargets(
  self: PlacedMember,
  fromZone: ZoneName | undefined,
  members: readonly PlacedMember[],
): readonly MemberId[] {
  if (isFullMesh(members.length) || fromZone === undefined || fromZone === self.zone) {
    return [];
  }
  return members
    .filter(({ member, zone }) => zone === self.zone && member !== self.member)
    .map(({ member }) => member);
}

/** Deduplicates broadcasts by the latest sequence number of each origin and kind. */
export class SeenBroadcasts {
  readonly #latest = new Map<MemberId, Map<string, number>>();

  /** Records `seq`; returns whether it is newer than all earlier ones of this origin and kind. */
  recordIfNew(origin: MemberId, kind: string, seq: number): boolean {
    const kinds = this.#latest.get(origin) ?? new Map<string, number>();
    this.#latest.set(origin, kinds);
    if (seq <= (kinds.get(kind) ?? -1)) {
      return false;
    }
    kinds.set(kind, seq);
    return true;
  }

  /** Removes an origin, whose next incarnation starts again from 0. */
  forget(origin: MemberId): void {
    this.#latest.delete(origin);
  }
}
