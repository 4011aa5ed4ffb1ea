import type { MemberId, Millis, Random, ZoneName } from '@turmerichoist/core';

/** A member that may relay store calls. */
export interface RelayCandidate {
  readonly member: MemberId;
  /** `IP:port` of its peer listener. */
  readonly address: string;
  readonly zone: ZoneName;
  /** Capacity for leading, as returned by `leaderCapacity`. */
  readonly capacity: number;
}

/** Time for which a member that could not relay is tried after all others. */
const AVOID_FAILED_MS: Millis = 5_000;

/**
 * Chooses members to ask for relaying: those that have not failed lately first, then those of at
 * least the own capacity, since the calls must not overload the relay, then those of the own
 * availability zone; at random among equals, so that members that are turned away together spread.
 */
export class RelayChoice {
  readonly #self: RelayCandidate;
  readonly #random: Random;
  readonly #failedAt = new Map<MemberId, Millis>();

  constructor(self: RelayCandidate, random: Random) {
    this.#self = self;
    this.#random = random;
  }

  /** Records that a member was not reachable, refused to relay, or has ceased to. */
  onFailed(member: MemberId, now: Millis): void {
    this.#failedAt.set(member, now);
  }

  /** Returns the first `count` members to ask, without this one. */
  choose(
    members: readonly RelayCandidate[],
    count: number,
    now: Millis,
  ): readonly RelayCandidate[] {
    return members
      .filter(({ member }) => member !== this.#self.member)
      .map((candidate) => ({ candidate, rank: this.#rank(candidate, now) }))
      .sort((a, b) => a.rank - b.rank)
      .slice(0, count)
      .map(({ candidate }) => candidate);
  }

  /** Lower is better; the fraction is random. */
  #rank({ member, capacity, zone }: RelayCandidate, now: Millis): number {
    const failed = now - (this.#failedAt.get(member) ?? -Infinity) < AVOID_FAILED_MS;
    const small = capacity < this.#self.capacity;
    const remote = zone !== this.#self.zone;
    return 4 * Number(failed) + 2 * Number(small) + Number(remote) + this.#random.next();
  }
}
