import type { MemberId, Millis, QueueName, TeamName } from '../types/index.js';
import type { DemandRow } from './messages.js';
import { waterFill } from './water-fill.js';

/** Age at which the demand that another entry sent is dropped. */
export const SHARE_STALE_MS = 3_000;
/** Keeps weights positive for teams whose demand here is small. */
const MIN_WEIGHT = 1e-6;

type WeightOf = (team: TeamName) => number;

/** What the local weights of one queue are computed from. */
export interface ShareInput {
  readonly queue: QueueName;
  /** Demand of this entry. */
  readonly own: readonly DemandRow[];
  /** Configured weight of a team. */
  readonly shareOf: WeightOf;
  /** Slots of the executors of the queue. */
  readonly slots: number;
}

interface PeerRows {
  readonly at: Millis;
  readonly rows: readonly DemandRow[];
}

/** Demand over all entries, and the local weight of each team that follows from it. */
export class FleetShares {
  readonly #peers = new Map<MemberId, PeerRows>();

  /** Replaces the rows of another entry. */
  replace(member: MemberId, rows: readonly DemandRow[], now: Millis): void {
    this.#peers.set(member, { at: now, rows });
  }

  /**
   * Local weight of each team: its part of the slots over the whole fleet, times the part of its
   * demand that is here. Without rows of other entries it is the configured weight.
   */
  weights(input: ShareInput, now: Millis): WeightOf {
    const remote = this.#rows(input.queue, now);
    if (remote.length === 0 || input.slots === 0) {
      return input.shareOf;
    }
    const here = totals(input.own.filter((row) => row.queue === input.queue));
    const total = totals(remote, here);
    const wants = [...total].map(([team, demand]) => ({
      team,
      demand,
      weight: input.shareOf(team),
    }));
    const { shares, level } = waterFill(input.slots, wants);
    return (team) => {
      const demand = total.get(team) ?? 0;
      const local = here.get(team) ?? 0;
      const fleetShare = shares.get(team) ?? 0;
      const weight = local > 0 ? (fleetShare * local) / demand : input.shareOf(team) * level;
      return Math.max(MIN_WEIGHT, weight);
    };
  }

  #rows(queue: QueueName, now: Millis): readonly DemandRow[] {
    const rows: DemandRow[] = [];
    for (const [member, peer] of this.#peers) {
      if (now - peer.at > SHARE_STALE_MS) {
        this.#peers.delete(member);
      } else {
        rows.push(...peer.rows.filter((row) => row.queue === queue));
      }
    }
    return rows;
  }
}

function totals(
  rows: readonly DemandRow[],
  start: ReadonlyMap<TeamName, number> = new Map(),
): ReadonlyMap<TeamName, number> {
  const sums = new Map(start);
  for (const row of rows) {
    sums.set(row.team, (sums.get(row.team) ?? 0) + row.waiting + row.running);
  }
  return sums;
}
